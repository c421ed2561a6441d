package thrift

import "encoding/binary"

// maxNesting is the depth of nested structs, maps and lists beyond which skip fails.
const maxNesting = 16

// The field types of the binary protocol.
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

// reader reads the values of a message in order. The first malformed value sets err, and all later reads return zero.
type reader struct {
	rest []byte
	err  error
}

// fail sets err unless it is already set.
func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// bytes reads n bytes.
func (r *reader) bytes(n int) []byte {
	if n < 0 || n > len(r.rest) {
		r.fail(errTruncated)
	}
	if r.err != nil {
		return nil
	}
	value := r.rest[:n:n]
	r.rest = r.rest[n:]
	return value
}

func (r *reader) u8() byte {
	value := r.bytes(1)
	if value == nil {
		return 0
	}
	return value[0]
}

func (r *reader) i16() int16 {
	value := r.bytes(2)
	if value == nil {
		return 0
	}
	return int16(binary.BigEndian.Uint16(value))
}

func (r *reader) i32() int32 {
	value := r.bytes(4)
	if value == nil {
		return 0
	}
	return int32(binary.BigEndian.Uint32(value))
}

// text reads a string or binary value.
func (r *reader) text() []byte { return r.bytes(int(r.i32())) }

// field reads the head of a field. It returns typeStop at the end of a struct, and after an error.
func (r *reader) field() (fieldType byte, id int16) {
	fieldType = r.u8()
	if fieldType == typeStop || r.err != nil {
		return typeStop, 0
	}
	return fieldType, r.i16()
}

// expectType sets an error unless fieldType is want, the type that the service defines for the field.
func (r *reader) expectType(fieldType, want byte) {
	if fieldType != want {
		r.fail(errFieldType)
	}
}

// count reads the length of a map or list whose entries take at least minEntryBytes each. It sets an error if the rest of
// the message is too short for them.
func (r *reader) count(minEntryBytes int) int {
	n := int(r.i32())
	if n < 0 || n > len(r.rest)/minEntryBytes {
		r.fail(errTruncated)
	}
	if r.err != nil {
		return 0
	}
	return n
}

// skip reads a value of any type and ignores it.
func (r *reader) skip(valueType byte, depth int) {
	if depth > maxNesting {
		r.fail(errNesting)
	}
	if r.err != nil {
		return
	}
	switch valueType {
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
		r.skipStruct(depth)
	case typeMap:
		r.skipMap(depth)
	case typeSet, typeList:
		r.skipList(depth)
	default:
		r.fail(errFieldType)
	}
}

func (r *reader) skipStruct(depth int) {
	for r.err == nil {
		fieldType, _ := r.field()
		if fieldType == typeStop {
			return
		}
		r.skip(fieldType, depth+1)
	}
}

func (r *reader) skipMap(depth int) {
	keyType := r.u8()
	valueType := r.u8()
	for n := r.count(2); n > 0 && r.err == nil; n-- {
		r.skip(keyType, depth+1)
		r.skip(valueType, depth+1)
	}
}

func (r *reader) skipList(depth int) {
	entryType := r.u8()
	for n := r.count(1); n > 0 && r.err == nil; n-- {
		r.skip(entryType, depth+1)
	}
}
