// Package thrift reads and writes the platform's client protocol on byte slices: Thrift's framed transport and strict binary
// protocol, and the service that clients call. It does no I/O and uses no clock. Returned slices point into the input. Every
// length is checked against the number of remaining bytes before anything is read or skipped.
package thrift

import (
	"encoding/binary"
	"errors"
)

// Bounds of a request.
const (
	MaxBodyBytes  = 16 << 10              // bytes of its body
	MaxFrameBytes = MaxBodyBytes + 48<<10 // bytes of its frame, with space for its fields
)

const frameHeadBytes = 4

// The errors of ReadFrame and ReadMessage, and the faults of messages. Their texts are sent to clients.
var (
	errFrameLength    = errors.New("a frame's length is negative or too large")
	errNotStrict      = errors.New("no message of the strict binary protocol")
	errTruncated      = errors.New("a message is cut short")
	errFieldType      = errors.New("a field has an unknown type, or another than the service's")
	errNesting        = errors.New("a message is nested too deep")
	errTrailingBytes  = errors.New("bytes are left over behind a message")
	errDuplicateField = errors.New("a field is there twice")
	errInvalidNumber  = errors.New("a figure is out of range or no number")
	errInvalidField   = errors.New("a word is missing or malformed")
)

// ReadFrame returns the payload of the first frame in data and the length of the whole frame in bytes, 0 if the frame is
// incomplete. It returns an error as soon as the length in the frame's head is negative or exceeds maxBytes; the stream
// cannot be read any further then.
func ReadFrame(data []byte, maxBytes int) (payload []byte, n int, err error) {
	if len(data) < frameHeadBytes {
		return nil, 0, nil
	}
	size := int32(binary.BigEndian.Uint32(data))
	if size < 0 || int(size) > maxBytes {
		return nil, 0, errFrameLength
	}
	if len(data)-frameHeadBytes < int(size) {
		return nil, 0, nil
	}
	n = frameHeadBytes + int(size)
	return data[frameHeadBytes:n], n, nil
}
