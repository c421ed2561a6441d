package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"mastchute/control"
)

// recordReader reads the fields of records from the body of a batch. The first failure sets err, and every later read
// returns zero, so that a decoder needs to check err only once, after its last read.
type recordReader struct {
	buf []byte // the body
	pos int    // in buf
	err error
}

// offset returns the position in bytes from the start of the batch.
func (r *recordReader) offset() int { return batchHeaderSize + r.pos }

func (r *recordReader) remaining() int { return len(r.buf) - r.pos }

// fail sets err unless an earlier failure has set it.
func (r *recordReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// bytes returns the next n bytes, which share the memory of the body, or nil after a failure.
func (r *recordReader) bytes(n int) []byte {
	if n > r.remaining() {
		r.fail(fmt.Errorf("%w: %d bytes wanted at byte %d, %d left in the batch", ErrTruncated, n, r.offset(), r.remaining()))
	}
	if r.err != nil {
		return nil
	}
	start := r.pos
	r.pos += n
	return r.buf[start:r.pos]
}

var zeros [8]byte

// fixed returns the next n bytes, at most eight, or zeros after a failure.
func (r *recordReader) fixed(n int) []byte {
	b := r.bytes(n)
	if b == nil {
		return zeros[:n]
	}
	return b
}

func (r *recordReader) uint8() uint8   { return r.fixed(1)[0] }
func (r *recordReader) uint16() uint16 { return binary.LittleEndian.Uint16(r.fixed(2)) }
func (r *recordReader) uint32() uint32 { return binary.LittleEndian.Uint32(r.fixed(4)) }
func (r *recordReader) uint64() uint64 { return binary.LittleEndian.Uint64(r.fixed(8)) }

// float32 returns a number, which may be infinite or NaN.
func (r *recordReader) float32() float64 { return float64(math.Float32frombits(r.uint32())) }

// seconds returns a duration. On the wire it is in microseconds.
func (r *recordReader) seconds() control.Seconds { return float64(r.uint32()) / microsPerSecond }

// finiteFloat32 returns a number, or 0, which means absent on the wire, if the number is infinite or NaN.
func (r *recordReader) finiteFloat32() float64 {
	v := r.float32()
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// worker returns the id of a worker, which consists of the four bytes of its IPv4 address followed by its port, in wire
// order.
func (r *recordReader) worker() control.WorkerID {
	b := r.fixed(6)
	address := binary.LittleEndian.Uint32(b)
	port := binary.LittleEndian.Uint16(b[4:])
	return control.WorkerID(address) | control.WorkerID(port)<<32
}

// results maps the result codes of the wire to results.
var results = map[uint8]control.Result{
	0:  control.Succeeded,
	1:  control.Cancelled,
	4:  control.TimedOut,
	5:  control.ModelNotLoaded,
	8:  control.AtCapacity,
	9:  control.NotSent,
	10: control.ConnectionReset,
	13: control.WorkerError,
	14: control.ConnectFailed,
}

func (r *recordReader) result() control.Result {
	code := r.uint8()
	result, ok := results[code]
	if !ok {
		r.fail(fmt.Errorf("%w: unknown result %d at byte %d", ErrMalformed, code, r.offset()-1))
	}
	return result
}

// loadReport returns the values of a load report, or nil if there is none. Infinite and NaN values are kept, since the
// control module ignores a report that contains one.
func (r *recordReader) loadReport() []float64 {
	count := int(r.uint8())
	if count == 0 {
		return nil
	}
	report := make([]float64, count)
	for i := range report {
		report[i] = r.float32()
	}
	return report
}
