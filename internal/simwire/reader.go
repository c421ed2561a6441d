package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"mastchute/control"
)

// reader takes fields off a frame; the first one that does not fit sets err, and all later ones read as
// zero.
type reader struct {
	b    []byte
	i    int
	base int
	err  error
}

func (r *reader) pos() int { return r.base + r.i }

func (r *reader) bytes(n int) []byte {
	if r.err == nil && n > len(r.b)-r.i {
		r.err = fmt.Errorf("%d bytes wanted at byte %d, %d left in the frame", n, r.pos(), len(r.b)-r.i)
	}
	if r.err != nil {
		return nil
	}
	r.i += n
	return r.b[r.i-n : r.i]
}

var zeros [8]byte

func (r *reader) fixed(n int) []byte {
	if b := r.bytes(n); b != nil {
		return b
	}
	return zeros[:n]
}

func (r *reader) u8() uint8       { return r.fixed(1)[0] }
func (r *reader) u16() uint16     { return binary.LittleEndian.Uint16(r.fixed(2)) }
func (r *reader) u32() uint32     { return binary.LittleEndian.Uint32(r.fixed(4)) }
func (r *reader) u64() uint64     { return binary.LittleEndian.Uint64(r.fixed(8)) }
func (r *reader) micros() float64 { return float64(r.u32()) / micro }

// f32 reads a number; what is none or has no end counts as absent, which is 0.
func (r *reader) f32() float64 {
	if v := float64(math.Float32frombits(r.u32())); !math.IsNaN(v) && !math.IsInf(v, 0) {
		return v
	}
	return 0
}

// worker packs four bytes of address and the port into one id, in wire order.
func (r *reader) worker() control.WorkerID {
	b := r.fixed(6)
	return control.WorkerID(binary.LittleEndian.Uint32(b)) | control.WorkerID(binary.LittleEndian.Uint16(b[4:]))<<32
}

// result turns an outcome code into ours.
func (r *reader) result() control.Result {
	switch c := r.u8(); c {
	case 0:
		return control.Succeeded
	case 13:
		return control.WorkerError
	case 8:
		return control.AtCapacity
	case 4:
		return control.TimedOut
	case 14:
		return control.ConnectFailed
	case 10:
		return control.ConnectionReset
	case 1:
		return control.Cancelled
	case 9:
		return control.NotSent
	case 5:
		return control.ModelNotLoaded
	default:
		if r.err == nil {
			r.err = fmt.Errorf("unknown outcome %d at byte %d", c, r.pos()-1)
		}
		return control.WorkerError
	}
}

func (r *reader) gauge() []float64 {
	n := int(r.u8())
	if n == 0 {
		return nil
	}
	g := make([]float64, n)
	for i := range g {
		g[i] = float64(math.Float32frombits(r.u32())) // the decisions leave out a report with a value that is no number
	}
	return g
}
