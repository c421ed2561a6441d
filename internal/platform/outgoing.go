package platform

import (
	"mastchute/control"
	"mastchute/internal/gateway"
	"mastchute/internal/workerproto"
)

// sent is the record of one attempt or order on its way. It stays with its attempt or order.
type sent struct {
	f        *gateway.Attempt
	o        *gateway.ControlCall
	l        *link
	c        *workerConn // nil until written
	queued   bool
	name     [24]byte // id or tag
	n        int
	renewed  int     // how often it was written anew for its age
	from, to uint64  // its place among the bytes of the connection
	handed   float64 // when it was written to the connection; the deadline in it is of then
}

func (l *link) record(call *any) *sent {
	r, _ := (*call).(*sent)
	if r == nil {
		r = &sent{}
		*call = r
	}
	*r = sent{l: l}
	return r
}

func (r *sent) end(why control.Result) {
	if r.f != nil {
		r.f.Finish(why)
	} else if r.o != nil {
		r.o.Finish(why)
	}
}

// drop gives a record up. What has not left the process never does.
func (r *sent) drop() {
	if r == nil {
		return
	}
	if r.queued {
		r.queued = false
		for i, o := range r.l.queue {
			if o == r {
				r.l.queue = append(r.l.queue[:i], r.l.queue[i+1:]...)
				break
			}
		}
		return
	}
	c := r.c
	if c == nil {
		return
	}
	r.c = nil
	c.forget(r)
	switch left := c.conn.SentBytes(); {
	case left >= r.to:
		if r.f != nil {
			b := workerproto.AppendCancel(c.l.s.p.scratch[:0], r.name[:r.n])
			c.conn.Write(b)
			c.l.s.p.scratch = b[:0]
		}
	case c.retract(r):
	default: // part of it has left: the worker does not read, and the rest is not to be sent any more
		c.end(control.ConnectionReset, "given_up_in_part")
		return
	}
	if len(c.l.queue) > 0 {
		c.l.mark()
	}
	c.awaits()
}

// left tells whether a byte of it has gone to the kernel.
func (r *sent) left() bool {
	return r != nil && !r.queued && (r.c == nil || r.c.conn.SentBytes() > r.from)
}
