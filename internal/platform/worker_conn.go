package platform

import (
	"errors"
	"io"
	"syscall"

	"mastchute/control"
	"mastchute/internal/gateway"
	"mastchute/internal/lines"
	"mastchute/internal/loop"
	"mastchute/internal/permit"
	"mastchute/internal/thrift"
)

// workerConn is one connection to a worker. It carries many attempts.
type workerConn struct {
	l     *link
	conn  *loop.Conn
	open  []*sent
	up    bool
	ended bool
	timer loop.Timer // idle, or an answer that stands still
	part  bool
	rests uint32 // of the connection when its timer was started
}

// write hands a message to the connection; it leaves at the end of the turn.
func (c *workerConn) write(r *sent) {
	p := c.l.s.p
	b := p.scratch[:0]
	now := p.l.Clock()
	name := r.name[:r.n]
	answered := true
	switch {
	case r.f != nil:
		k := r.f.Request.Client.(*call)
		budget := permit.Budget(now, r.f.Request.NotAfter())
		b = lines.AppendInvoke(b, name, k.group, []byte(r.f.Request.Model().Name), k.mark, budget, k.body)
	case r.o.Kind == gateway.OrderLoad:
		b = lines.AppendLoad(b, name, r.o.Model.Name, r.o.Copies)
	case r.o.Kind == gateway.OrderUnload:
		b, answered = lines.AppendUnload(b, r.o.Model.Name), false
	default:
		b = lines.AppendProbe(b, name)
	}
	r.c, r.handed = c, now
	r.from = c.conn.Queued()
	r.to = r.from + uint64(len(b))
	c.conn.Write(b)
	if cap(b) <= 64<<10 {
		p.scratch = b[:0]
	}
	if !answered {
		o := r.o
		r.c = nil
		p.l.Later(func() { o.End(control.Returned) })
		return
	}
	c.open = append(c.open, r)
	c.awaits()
}

// BeforeWrite implements loop.Writer: a message that waited, for the loop or for a worker that does not read, is looked at
// once more before its first byte goes, as events may have overtaken it and its deadline is out of date.
func (c *workerConn) BeforeWrite(conn *loop.Conn) {
	now, sent := c.l.s.p.l.Clock(), conn.Sent()
	for i := len(c.open) - 1; i >= 0; i-- {
		r := c.open[i]
		if r.to <= sent {
			continue
		}
		if r.f == nil { // an order has no deadline, but it may be overtaken
			if r.from >= sent && now-r.handed > permit.DeadlineAge && c.retract(r) {
				c.forget(r)
				r.c = nil
				c.l.enqueue(r)
			}
			continue
		}
		if r.from < sent { // its head has gone with a deadline that can't be changed any more
			if permit.Finish(now, r.handed) != permit.Allowed {
				c.end(control.Reset, "stale_in_part")
				return
			}
			continue
		}
		if why := r.f.Permit(now, r.handed, r.renewed); why != permit.Allowed && c.retract(r) {
			c.forget(r)
			r.c = nil
			c.l.overtaken(r, why)
		}
	}
}

// overtaken takes back a message that may not go as it is: one with an old deadline is written anew.
func (l *link) overtaken(r *sent, why permit.Reason) {
	if why == permit.Stale {
		r.renewed++
		l.enqueue(r)
		return
	}
	r.end(control.NotSent)
}

// retract takes back the bytes of a record of which none has gone, and tells whether it could.
func (c *workerConn) retract(r *sent) bool {
	if !c.conn.Retract(r.from, r.to) {
		return false
	}
	for _, o := range c.open {
		if o.from >= r.to {
			o.from -= r.to - r.from
			o.to -= r.to - r.from
		}
	}
	return true
}

// forget takes a record off those that the connection answers for.
func (c *workerConn) forget(r *sent) {
	for i, o := range c.open {
		if o == r {
			c.open = append(c.open[:i], c.open[i+1:]...)
			return
		}
	}
}

// awaits starts or stops the connection's timer as it stands.
func (c *workerConn) awaits() {
	l := c.l.s.p.l
	switch {
	case c.ended || !c.up:
	case c.part:
		if !c.timer.Pending() {
			c.rests = c.conn.Rests()
			l.Start(&c.timer, partAnswer)
		}
	case len(c.open) > 0:
		l.Cancel(&c.timer)
	case c.l.closed:
		c.end(control.NotSent, "idle")
	default:
		l.Start(&c.timer, c.l.s.idle)
		c.l.s.eased()
	}
}

func (c *workerConn) expired() {
	why := "idle"
	if c.part && c.conn.Rests() != c.rests { // our reads failed
		c.awaits()
		return
	}
	if c.part {
		why = "answer_stalled"
		c.l.s.p.refuse(why)
	}
	c.end(control.Reset, why)
}

// Opened implements loop.Handler.
func (c *workerConn) Opened(*loop.Conn) {
	c.up = true
	c.awaits()
	c.l.mark()
}

// Drained implements loop.Handler: there is room again.
func (c *workerConn) Drained(*loop.Conn) { c.l.mark() }

// Closed implements loop.Handler.
func (c *workerConn) Closed(_ *loop.Conn, err error) {
	if !c.up { // it never came up: nothing was sent on it
		c.l.s.p.g.Note("worker_connect_failed", closeReason(err), nil, c.l.w, 0)
		c.l.failed(c, err)
		return
	}
	c.end(control.Reset, closeReason(err))
}

// end ends the connection. What was handed whole to the kernel may have run; a message that was not never did.
func (c *workerConn) end(result control.Result, why string) {
	if c.ended {
		return
	}
	c.l.s.p.g.Note("worker_closed", why, nil, c.l.w, float64(len(c.open)))
	c.l.remove(c)
	sentBytes := c.conn.Sent()
	c.conn.Close()
	open := c.open
	c.open = nil
	for _, r := range open {
		r.c = nil
		if sentBytes < r.to {
			r.end(control.ConnectFailed)
		} else {
			r.end(result)
		}
	}
	if len(c.l.queue) > 0 {
		c.l.mark()
	}
}

// Data implements loop.Handler.
func (c *workerConn) Data(_ *loop.Conn, b []byte) int {
	used, p := 0, c.l.s.p
	for !c.ended {
		a, n, err := lines.Next(b[used:])
		if err != nil {
			p.refuse("answer_spoilt")
			c.end(control.Reset, "answer_spoilt")
			break
		}
		if n == 0 {
			break
		}
		used += n
		c.part = false
		p.l.Cancel(&c.timer)
		c.answer(&a)
	}
	if c.ended {
		return len(b)
	}
	c.part = used < len(b)
	c.awaits()
	return used
}

// answer takes one answer; one that nobody waits for is dropped.
func (c *workerConn) answer(a *lines.Answer) {
	for i, r := range c.open {
		if string(r.name[:r.n]) != string(a.ID) {
			continue
		}
		last := len(c.open) - 1
		c.open[i], c.open[last] = c.open[last], nil
		c.open = c.open[:last]
		r.c = nil
		if len(c.l.queue) > 0 {
			c.l.mark()
		}
		h := gateway.Reply{Result: a.Result, Found: a.Found, Crowd: -1, Copies: a.Copies}
		h.Fields = lines.ReadReport(a.Report, c.l.s.report, h.Report[:], thrift.Decimal)
		if r.f != nil {
			r.f.Reply = h
			r.f.Body = append(r.f.Body[:0], a.Body...)
			r.f.End(a.Result)
		} else {
			r.o.Reply = h
			r.o.End(a.Result)
		}
		return
	}
	c.l.s.p.refuse("answer_to_nothing")
}

// closeReason words why a connection ended, for the flight recorder.
func closeReason(err error) string {
	if errors.Is(err, io.EOF) {
		return "peer_closed"
	}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno.Error()
	}
	if err != nil {
		return err.Error()
	}
	return "unknown"
}
