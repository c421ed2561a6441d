// Package thrifttest implements the client's side of the platform's protocol for tests, with the published Thrift library.
package thrifttest

import (
	"context"
	"encoding/binary"
	"testing"

	lib "github.com/apache/thrift/lib/go/thrift"
)

var background = context.Background()

// Message returns the message that write encodes with the library, without a frame.
func Message(write func(protocol *lib.TBinaryProtocol)) []byte {
	buffer := lib.NewTMemoryBuffer()
	protocol := lib.NewTBinaryProtocolConf(buffer, &lib.TConfiguration{})
	write(protocol)
	protocol.Flush(background)
	return buffer.Bytes()
}

// Dispatch returns the message of a request. If withUnknown is set, it also has an argument that the service does not define,
// with fields of various types.
func Dispatch(seqID int32, fields map[string]string, body []byte, withUnknown bool) []byte {
	return Message(func(protocol *lib.TBinaryProtocol) {
		protocol.WriteMessageBegin(background, "dispatch", lib.CALL, seqID)
		if withUnknown {
			writeUnknownArgument(protocol)
		}
		protocol.WriteFieldBegin(background, "fields", lib.MAP, 1)
		protocol.WriteMapBegin(background, lib.STRING, lib.STRING, len(fields))
		for name, value := range fields {
			protocol.WriteString(background, name)
			protocol.WriteString(background, value)
		}
		protocol.WriteFieldBegin(background, "body", lib.STRING, 2)
		protocol.WriteBinary(background, body)
		protocol.WriteFieldStop(background)
	})
}

// writeUnknownArgument writes a struct with a field id that the service does not define.
func writeUnknownArgument(protocol *lib.TBinaryProtocol) {
	protocol.WriteFieldBegin(background, "", lib.STRUCT, 9)
	protocol.WriteFieldBegin(background, "", lib.LIST, 1)
	protocol.WriteListBegin(background, lib.I64, 2)
	protocol.WriteI64(background, 1)
	protocol.WriteI64(background, 2)
	protocol.WriteFieldBegin(background, "", lib.MAP, 2)
	protocol.WriteMapBegin(background, lib.I16, lib.DOUBLE, 1)
	protocol.WriteI16(background, 1)
	protocol.WriteDouble(background, 2)
	protocol.WriteFieldBegin(background, "", lib.BOOL, 3)
	protocol.WriteBool(background, true)
	protocol.WriteFieldStop(background)
}

// Cancel returns the message that cancels the request with a sequence id.
func Cancel(seqID int32) []byte {
	return Message(func(protocol *lib.TBinaryProtocol) {
		protocol.WriteMessageBegin(background, "cancelRequest", lib.ONEWAY, seqID)
		protocol.WriteFieldBegin(background, "", lib.I32, 1)
		protocol.WriteI32(background, seqID)
		protocol.WriteFieldStop(background)
	})
}

// Alive returns the message of a health check.
func Alive(seqID int32) []byte {
	return Message(func(protocol *lib.TBinaryProtocol) {
		protocol.WriteMessageBegin(background, "alive", lib.CALL, seqID)
		protocol.WriteFieldBegin(background, "", lib.BOOL, 1)
		protocol.WriteBool(background, true)
		protocol.WriteFieldStop(background)
	})
}

// ValidFields returns the fields of a valid request.
func ValidFields() map[string]string {
	return map[string]string{
		"route":    "call",
		"trace":    "9b1f03aa5c7e2d41",
		"patience": "1500",
		"nonce":    "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		"entity":   "7f3a9c21e0b4d655",
		"weight":   "8.2",
		"extras":   "memory_mb:512;lanes:2;load_ms:640",
	}
}

// Reply is a reply as the library decodes it.
type Reply struct {
	Name    string
	Kind    lib.TMessageType
	SeqID   int32
	Result  int16 // the field id of the result: 0 for a response, 1 for shed, 2 for failed
	Body    string
	Fields  map[string]string
	Success bool
	Code    int32 // type of an application exception
}

// Decode decodes the reply in a frame. It fails the test unless the frame contains exactly one reply.
func Decode(t testing.TB, frame []byte) Reply {
	t.Helper()
	if len(frame) < 4 || int(binary.BigEndian.Uint32(frame)) != len(frame)-4 {
		t.Fatalf("%d bytes are not one complete frame", len(frame))
	}
	buffer := lib.NewTMemoryBuffer()
	buffer.Write(frame[4:])
	d := decoder{protocol: lib.NewTBinaryProtocolConf(buffer, &lib.TConfiguration{TBinaryStrictRead: lib.BoolPtr(true)})}
	d.readMessage(t)
	if d.err != nil {
		t.Fatal(d.err)
	}
	if buffer.Len() > 0 {
		t.Fatalf("%d bytes after the reply", buffer.Len())
	}
	return d.reply
}

// decoder decodes a reply. It stops at the first error.
type decoder struct {
	protocol *lib.TBinaryProtocol
	reply    Reply
	err      error
}

func (d *decoder) readMessage(t testing.TB) {
	d.reply.Name, d.reply.Kind, d.reply.SeqID, d.err = d.protocol.ReadMessageBegin(background)
	d.readStruct(t)
}

// readStruct reads fields up to the end of a struct.
func (d *decoder) readStruct(t testing.TB) {
	for d.err == nil {
		var fieldType lib.TType
		var id int16
		_, fieldType, id, d.err = d.protocol.ReadFieldBegin(background)
		if d.err != nil || fieldType == lib.STOP {
			return
		}
		d.readField(t, fieldType, id)
	}
}

func (d *decoder) readField(t testing.TB, fieldType lib.TType, id int16) {
	switch fieldType {
	case lib.STRUCT:
		d.reply.Result = id
		d.readStruct(t)
	case lib.STRING:
		var body []byte
		body, d.err = d.protocol.ReadBinary(background)
		d.reply.Body = string(body)
	case lib.MAP:
		d.readMap()
	case lib.BOOL:
		d.reply.Success, d.err = d.protocol.ReadBool(background)
	case lib.I32:
		d.reply.Code, d.err = d.protocol.ReadI32(background)
	default:
		t.Fatalf("reply has a field of unexpected type %v", fieldType)
	}
}

func (d *decoder) readMap() {
	var length int
	_, _, length, d.err = d.protocol.ReadMapBegin(background)
	d.reply.Fields = map[string]string{}
	for range length {
		var name, value string
		if d.err == nil {
			name, d.err = d.protocol.ReadString(background)
		}
		if d.err == nil {
			value, d.err = d.protocol.ReadString(background)
		}
		if d.err != nil {
			return
		}
		d.reply.Fields[name] = value
	}
}
