// Package thrift is the platform's client protocol on byte slices: Thrift's framed transport and strict binary protocol,
// and the service that clients call. It does no I/O and has no clock; what it returns points into what it was given.
// Every length is checked against what is there before anything is read or skipped.
package thrift

import (
	"encoding/binary"
	"errors"
)

const (
	version   = 0x80010000 // of the strict protocol, in the upper half of a message's first word
	nestMost  = 16         // structs, maps and lists inside each other that are skipped
	nameMost  = 64         // bytes of a method's name
	frameHead = 4
)

// The kinds of message.
const (
	KindCall      = 1
	KindReply     = 2
	KindException = 3
	KindOneway    = 4
)

// The types of a field.
const (
	typeStop   = 0
	typeBool   = 2
	typeByte   = 3
	typeDouble = 4
	typeI16    = 6
	typeI32    = 8
	typeI64    = 10
	typeString = 11
	typeStruct = 12
	typeMap    = 13
	typeSet    = 14
	typeList   = 15
)

var (
	errLength  = errors.New("a frame's length is negative or too large")
	errVersion = errors.New("no message of the strict binary protocol")
	errCut     = errors.New("a message is cut short")
	errType    = errors.New("a field has an unknown type, or another than the service's")
	errNest    = errors.New("a message is nested too deep")
	errRest    = errors.New("bytes are left over behind a message")
	errTwice   = errors.New("a field is there twice")
	errNumber  = errors.New("a figure is out of range or no number")
	errWord    = errors.New("a word is missing or malformed")
)

// ReadFrame returns the payload of the first frame of b and how many bytes it takes; 0 means that it is not whole yet. The
// length is judged as soon as it is there.
func ReadFrame(b []byte, most int) (payload []byte, n int, err error) {
	if len(b) < frameHead {
		return nil, 0, nil
	}
	size := int32(binary.BigEndian.Uint32(b))
	if size < 0 || int(size) > most {
		return nil, 0, errLength
	}
	if len(b)-frameHead < int(size) {
		return nil, 0, nil
	}
	return b[frameHead : frameHead+size], frameHead + int(size), nil
}

// reader takes values off a message; the first that does not fit sets err, and all later ones read as zero.
type reader struct {
	b   []byte
	err error
}

func (r *reader) bytes(n int) []byte {
	if r.err == nil && (n < 0 || n > len(r.b)) {
		r.err = errCut
	}
	if r.err != nil {
		return nil
	}
	out := r.b[:n:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) u8() byte {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) i16() int16 {
	if b := r.bytes(2); b != nil {
		return int16(binary.BigEndian.Uint16(b))
	}
	return 0
}

func (r *reader) i32() int32 {
	if b := r.bytes(4); b != nil {
		return int32(binary.BigEndian.Uint32(b))
	}
	return 0
}

func (r *reader) text() []byte { return r.bytes(int(r.i32())) }

// field returns the next field's type and id; typeStop at the end of the struct, and on a fault.
func (r *reader) field() (kind byte, id int16) {
	if kind = r.u8(); kind == typeStop || r.err != nil {
		return typeStop, 0
	}
	return kind, r.i16()
}

// is notes a fault unless a field has the type that the service gives it.
func (r *reader) is(kind, want byte) {
	if kind != want && r.err == nil {
		r.err = errType
	}
}

// skip passes over a value.
func (r *reader) skip(kind byte, depth int) {
	if depth > nestMost && r.err == nil {
		r.err = errNest
	}
	if r.err != nil {
		return
	}
	switch kind {
	case typeBool, typeByte:
		r.bytes(1)
	case typeI16:
		r.bytes(2)
	case typeI32:
		r.bytes(4)
	case typeI64, typeDouble:
		r.bytes(8)
	case typeString:
		r.text()
	case typeStruct:
		for r.err == nil {
			k, _ := r.field()
			if k == typeStop {
				return
			}
			r.skip(k, depth+1)
		}
	case typeMap:
		k, v := r.u8(), r.u8()
		for n := r.count(2); n > 0 && r.err == nil; n-- {
			r.skip(k, depth+1)
			r.skip(v, depth+1)
		}
	case typeSet, typeList:
		k := r.u8()
		for n := r.count(1); n > 0 && r.err == nil; n-- {
			r.skip(k, depth+1)
		}
	default:
		r.err = errType
	}
}

// count returns the length of a map or list whose entries take at least least bytes each.
func (r *reader) count(least int) int {
	n := int(r.i32())
	if r.err == nil && (n < 0 || n > len(r.b)/least) {
		r.err = errCut
	}
	if r.err != nil {
		return 0
	}
	return n
}

// begin opens a frame with a message in it; end closes it.
func begin(b []byte, name string, kind byte, seq int32) ([]byte, int) {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, version|uint32(kind))
	b = appendText(b, name)
	return binary.BigEndian.AppendUint32(b, uint32(seq)), at
}

func end(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-frameHead))
	return b
}

func appendField(b []byte, kind byte, id int16) []byte {
	return binary.BigEndian.AppendUint16(append(b, kind), uint16(id))
}

func appendText[T string | []byte](b []byte, s T) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}
