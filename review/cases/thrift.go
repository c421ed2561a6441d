package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// This file encodes the clients' protocol: Thrift's framed transport and strict binary protocol.

const (
	kindCall      = 1
	kindReply     = 2
	kindException = 3
	kindOneway    = 4

	typeStop   = 0
	typeBool   = 2
	typeI32    = 8
	typeString = 11
	typeStruct = 12
	typeMap    = 13

	strictVersion = 0x80010000
	maxFrame      = 1 << 20
)

var errMalformed = errors.New("an answer that can't be read")

func appendText(b []byte, text string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...)
}

func appendField(b []byte, kind byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, kind), id)
}

// frame puts a message with the given name and arguments into a frame.
func frame(name string, kind byte, seq int32, arguments []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, strictVersion|uint32(kind))
	b = appendText(b, name)
	b = binary.BigEndian.AppendUint32(b, uint32(seq))
	b = append(b, arguments...)
	b = append(b, typeStop)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

// dispatchFrame encodes a request.
func dispatchFrame(seq int32, fields map[string]string, body string) []byte {
	b := appendField(nil, typeMap, 1)
	b = append(b, typeString, typeString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for name, value := range fields {
		b = appendText(appendText(b, name), value)
	}
	b = appendText(appendField(b, typeString, 2), body)
	return frame("dispatch", kindCall, seq, b)
}

// aliveFrame encodes a health check.
func aliveFrame(seq int32) []byte {
	return frame("alive", kindCall, seq, append(appendField(nil, typeBool, 1), 1))
}

// answer is a final answer, or the answer to a health check, as a client reads it.
type answer struct {
	seq  int32
	word string // returned, shed or failed
	body string
	good bool
}

// readAnswer reads one answer.
func readAnswer(in io.Reader) (answer, error) {
	var head [4]byte
	_, err := io.ReadFull(in, head[:])
	if err != nil {
		return answer{}, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrame {
		return answer{}, errMalformed
	}
	payload := make([]byte, size)
	_, err = io.ReadFull(in, payload)
	if err != nil {
		return answer{}, fmt.Errorf("in the middle of an answer: %w", err)
	}
	return decodeAnswer(payload)
}

// decoder reads the values of an answer in order. After an error its methods return zero.
type decoder struct {
	rest []byte
	bad  bool
}

func (d *decoder) take(n int) []byte {
	if d.bad || n < 0 || n > len(d.rest) {
		d.bad = true
		return make([]byte, max(0, min(n, 8)))
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *decoder) i32() int32 { return int32(binary.BigEndian.Uint32(d.take(4))) }

func (d *decoder) text() string { return string(d.take(int(d.i32()))) }

// decodeAnswer decodes the payload of a frame.
func decodeAnswer(payload []byte) (answer, error) {
	d := decoder{rest: payload}
	kind := byte(d.i32())
	d.text()
	result := answer{seq: d.i32(), word: "failed"}
	if d.bad || kind != kindReply && kind != kindException {
		return result, errMalformed
	}
	if kind == kindException {
		return result, nil
	}
	d.take(1) // the type of the result's field, a struct
	switch binary.BigEndian.Uint16(d.take(2)) {
	case 0:
		result.word = "returned"
		result.decodeServed(&d)
	case 1:
		result.word = "shed"
	}
	if d.bad {
		return result, errMalformed
	}
	return result, nil
}

// decodeServed decodes the struct of a served answer: its body, its fields and its flag.
func (a *answer) decodeServed(d *decoder) {
	for !d.bad {
		kind := d.take(1)[0]
		if kind == typeStop {
			return
		}
		d.take(2)
		switch kind {
		case typeString:
			a.body = d.text()
		case typeBool:
			a.good = d.take(1)[0] != 0
		case typeMap:
			d.take(2)
			for n := d.i32(); n > 0 && !d.bad; n-- {
				d.text()
				d.text()
			}
		default:
			d.bad = true
		}
	}
}
