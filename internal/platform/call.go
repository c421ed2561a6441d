package platform

import (
	"math"

	"mastchute/control"
	"mastchute/internal/gateway"
	"mastchute/internal/thrift"
)

// id is a request's, as its client named it.
type id [16]byte

// call is one request as its client sent it. It implements gateway.Client.
type call struct {
	c     *clientConn
	q     *gateway.Request
	next  *call // on the same connection
	seq   int32
	id    id
	group []byte
	mark  []byte
	body  []byte
}

// modelID reads 16 hex digits.
func modelID(b []byte) control.ModelID {
	v := uint64(0)
	for _, ch := range b {
		d := uint64(ch - '0')
		if ch >= 'a' {
			d = uint64(ch-'a') + 10
		}
		v = v<<4 | d
	}
	return control.ModelID(v)
}

// pause is what a client is told to wait, in ms; 0 where it is not to be told.
func (p *front) pause(after float64) int64 {
	if !p.back {
		return 0
	}
	return int64(math.Ceil(after * 1e3))
}

func (p *front) take() *call {
	if n := len(p.free); n > 0 {
		k := p.free[n-1]
		p.free = p.free[:n-1]
		return k
	}
	return &call{}
}

// release lets go of a call whose answer is given or not wanted.
func (k *call) release() {
	c := k.c
	p := c.p
	at := &c.first
	for *at != k {
		at = &(*at).next
	}
	*at, k.next = k.next, nil
	c.calls--
	delete(p.open, k.id)
	p.bodies -= int64(len(k.body))
	k.c, k.q = nil, nil
	if len(p.free) < keptCalls && cap(k.body) <= keptBody {
		p.free = append(p.free, k)
	}
	switch {
	case c.calls > 0 || c.closing:
	case c.stalled:
		p.refuse("message_stalled")
		c.end("message_stalled")
	case !c.part:
		c.wait(false)
	}
	p.drained()
}

// WriteResponse implements gateway.Client.
func (k *call) WriteResponse(_ *gateway.Request, f *gateway.Attempt) {
	k.c.write(thrift.AppendReturned(k.c.p.scratch[:0], k.seq, f.ResponseBody))
	k.release()
}

// WriteShed implements gateway.Client.
func (k *call) WriteShed(_ *gateway.Request, retryAfter float64) {
	k.c.write(thrift.AppendShed(k.c.p.scratch[:0], k.seq, k.c.p.pause(retryAfter)))
	k.release()
}

// WriteFailure implements gateway.Client.
func (k *call) WriteFailure(_ *gateway.Request, _ bool, why string) {
	k.c.write(thrift.AppendFailed(k.c.p.scratch[:0], k.seq, why))
	k.release()
}
