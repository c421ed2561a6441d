package thrift

import (
	"encoding/binary"
	"strconv"
)

// The fields of the result of a dispatch: exactly one is set.
const (
	resultResponse = 0
	resultShed     = 1
	resultFailure  = 2
)

const (
	exceptionProtocolError = 7 // type PROTOCOL_ERROR of Thrift's application exceptions
	maxInt64Digits         = 20
)

// AppendResponse appends to buf the reply to a request with the body of a worker's response.
func AppendResponse(buf []byte, seqID int32, body []byte) []byte {
	buf, start := beginMessage(buf, nameDispatch, kindReply, seqID)
	buf = appendResult(buf, body, true)
	return endMessage(buf, start)
}

// AppendAlive appends to buf the reply to a health check.
func AppendAlive(buf []byte, seqID int32, alive bool) []byte {
	buf, start := beginMessage(buf, nameAlive, kindReply, seqID)
	buf = appendResult(buf, nil, alive)
	return endMessage(buf, start)
}

// AppendShed appends to buf the reply that a request was shed and may be retried after retryAfterMS. No time is sent if it
// is 0.
func AppendShed(buf []byte, seqID int32, retryAfterMS int64) []byte {
	buf, start := beginMessage(buf, nameDispatch, kindReply, seqID)
	buf = appendField(buf, typeStruct, resultShed)
	buf = appendField(buf, typeMap, 1)
	if retryAfterMS > 0 {
		buf = appendMapHead(buf, 1)
		buf = appendText(buf, "pause")
		var digits [maxInt64Digits]byte
		buf = appendText(buf, strconv.AppendInt(digits[:0], retryAfterMS, 10))
	} else {
		buf = appendMapHead(buf, 0)
	}
	buf = append(buf, typeStop, typeStop)
	return endMessage(buf, start)
}

// AppendFailure appends to buf the reply that a request failed.
func AppendFailure(buf []byte, seqID int32, reason string) []byte {
	buf, start := beginMessage(buf, nameDispatch, kindReply, seqID)
	buf = appendField(buf, typeStruct, resultFailure)
	buf = appendField(buf, typeMap, 1)
	buf = appendMapHead(buf, 1)
	buf = appendText(buf, "reason")
	buf = appendText(buf, reason)
	buf = append(buf, typeStop, typeStop)
	return endMessage(buf, start)
}

// AppendException appends to buf an application exception, the reply to an invalid message.
func AppendException(buf []byte, seqID int32, reason string) []byte {
	buf, start := beginMessage(buf, nameDispatch, kindException, seqID)
	buf = appendField(buf, typeString, 1)
	buf = appendText(buf, reason)
	buf = appendField(buf, typeI32, 2)
	buf = binary.BigEndian.AppendUint32(buf, exceptionProtocolError)
	buf = append(buf, typeStop)
	return endMessage(buf, start)
}

// appendResult appends the result struct with a body, an empty map and a success flag, and the end of the message.
func appendResult(buf []byte, body []byte, success bool) []byte {
	buf = appendField(buf, typeStruct, resultResponse)
	buf = appendField(buf, typeString, 1)
	buf = appendText(buf, body)
	buf = appendField(buf, typeMap, 2)
	buf = appendMapHead(buf, 0)
	buf = appendField(buf, typeBool, 3)
	flag := byte(0)
	if success {
		flag = 1
	}
	return append(buf, flag, typeStop, typeStop)
}

// beginMessage appends the head of a frame and of the message in it. It returns the offset of the frame, for endMessage.
func beginMessage(buf []byte, name string, kind byte, seqID int32) (message []byte, start int) {
	start = len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf = binary.BigEndian.AppendUint32(buf, strictVersion|uint32(kind))
	buf = appendText(buf, name)
	return binary.BigEndian.AppendUint32(buf, uint32(seqID)), start
}

// endMessage sets the length of the frame at offset start.
func endMessage(buf []byte, start int) []byte {
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-frameHeadBytes))
	return buf
}

func appendField(buf []byte, fieldType byte, id int16) []byte {
	buf = append(buf, fieldType)
	return binary.BigEndian.AppendUint16(buf, uint16(id))
}

// appendMapHead appends the head of a map from strings to strings.
func appendMapHead(buf []byte, length uint32) []byte {
	buf = append(buf, typeString, typeString)
	return binary.BigEndian.AppendUint32(buf, length)
}

func appendText[T string | []byte](buf []byte, text T) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(text)))
	return append(buf, text...)
}
