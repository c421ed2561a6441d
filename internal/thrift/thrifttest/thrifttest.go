// Package thrifttest is a client's half of the platform's protocol for tests, on the published Thrift library.
package thrifttest

import (
	"context"
	"encoding/binary"
	"testing"

	lib "github.com/apache/thrift/lib/go/thrift"
)

// Message writes a message by the library, without its frame.
func Message(f func(p *lib.TBinaryProtocol)) []byte {
	buf := lib.NewTMemoryBuffer()
	p := lib.NewTBinaryProtocolConf(buf, &lib.TConfiguration{})
	f(p)
	p.Flush(context.Background())
	return buf.Bytes()
}

var bg = context.Background()

// Call writes a request as clients do, an unknown field of every type included where extra is set.
func Call(seq int32, fields map[string]string, body []byte, extra bool) []byte {
	return Message(func(p *lib.TBinaryProtocol) {
		p.WriteMessageBegin(bg, "dispatch", lib.CALL, seq)
		if extra {
			p.WriteFieldBegin(bg, "", lib.STRUCT, 9)
			p.WriteFieldBegin(bg, "", lib.LIST, 1)
			p.WriteListBegin(bg, lib.I64, 2)
			p.WriteI64(bg, 1)
			p.WriteI64(bg, 2)
			p.WriteFieldBegin(bg, "", lib.MAP, 2)
			p.WriteMapBegin(bg, lib.I16, lib.DOUBLE, 1)
			p.WriteI16(bg, 1)
			p.WriteDouble(bg, 2)
			p.WriteFieldBegin(bg, "", lib.BOOL, 3)
			p.WriteBool(bg, true)
			p.WriteFieldStop(bg)
		}
		p.WriteFieldBegin(bg, "fields", lib.MAP, 1)
		p.WriteMapBegin(bg, lib.STRING, lib.STRING, len(fields))
		for k, v := range fields {
			p.WriteString(bg, k)
			p.WriteString(bg, v)
		}
		p.WriteFieldBegin(bg, "body", lib.STRING, 2)
		p.WriteBinary(bg, body)
		p.WriteFieldStop(bg)
	})
}

// Cancel writes the client's word that it takes a request back.
func Cancel(seq int32) []byte {
	return Message(func(p *lib.TBinaryProtocol) {
		p.WriteMessageBegin(bg, "cancelRequest", lib.ONEWAY, seq)
		p.WriteFieldBegin(bg, "", lib.I32, 1)
		p.WriteI32(bg, seq)
		p.WriteFieldStop(bg)
	})
}

// Good are the fields of a request as clients send them.
func Good() map[string]string {
	return map[string]string{"route": "call", "trace": "9b1f03aa5c7e2d41", "patience": "1500", "nonce": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		"entity": "7f3a9c21e0b4d655", "weight": "8.2", "extras": "memory_mb:512;lanes:2;load_ms:640"}
}

// Answer is what a client's library reads from a reply.
type Answer struct {
	Name   string
	Kind   lib.TMessageType
	Seq    int32
	Field  int16 // of the result: 0 an answer, 1 shed, 2 failed
	Body   string
	Fields map[string]string
	Good   bool
	Code   int32
}

// Decode reads a whole frame.
func Decode(t testing.TB, b []byte) (a Answer) {
	t.Helper()
	if len(b) < 4 || int(binary.BigEndian.Uint32(b)) != len(b)-4 {
		t.Fatalf("%d bytes are no frame", len(b))
	}
	buf := lib.NewTMemoryBuffer()
	buf.Write(b[4:])
	p := lib.NewTBinaryProtocolConf(buf, &lib.TConfiguration{TBinaryStrictRead: lib.BoolPtr(true)})
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	var err error
	a.Name, a.Kind, a.Seq, err = p.ReadMessageBegin(bg)
	must(err)
	var read func(top bool)
	read = func(top bool) {
		for {
			_, kind, id, err := p.ReadFieldBegin(bg)
			must(err)
			if kind == lib.STOP {
				return
			}
			switch kind {
			case lib.STRUCT:
				a.Field = id
				read(false)
			case lib.STRING:
				v, err := p.ReadBinary(bg)
				must(err)
				a.Body = string(v)
			case lib.MAP:
				_, _, n, err := p.ReadMapBegin(bg)
				must(err)
				a.Fields = map[string]string{}
				for range n {
					k, _ := p.ReadString(bg)
					v, err := p.ReadString(bg)
					must(err)
					a.Fields[k] = v
				}
			case lib.BOOL:
				a.Good, err = p.ReadBool(bg)
				must(err)
			case lib.I32:
				a.Code, err = p.ReadI32(bg)
				must(err)
			default:
				t.Fatalf("field of type %v", kind)
			}
		}
	}
	read(true)
	if buf.Len() > 0 {
		t.Fatalf("%d bytes left over", buf.Len())
	}
	return a
}
