package platform

import (
	"errors"
	"io"
	"syscall"

	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
	"mastchute/internal/rules"
	"mastchute/internal/thrift"
	"mastchute/internal/workerproto"
)

// workerConn is one connection to a worker. It carries many attempts.
type workerConn struct {
	l     *link
	conn  *eventloop.Conn
	open  []*sent
	up    bool
	ended bool
	timer eventloop.Timer // idle, or an answer that stands still
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
		k := r.f.Request.Responder.(*call)
		budget := rules.WorkerDeadlineMillis(now, r.f.Request.Deadline())
		b = workerproto.AppendInvoke(b, name, k.group, []byte(r.f.Request.Model().Name), k.mark, budget, k.body)
	case r.o.Kind == gateway.CallLoadModel:
		b = workerproto.AppendLoadModel(b, name, r.o.Model.Name, r.o.Replicas)
	case r.o.Kind == gateway.CallUnloadModel:
		b, answered = workerproto.AppendUnloadModel(b, r.o.Model.Name), false
	default:
		b = workerproto.AppendProbe(b, name)
	}
	r.c, r.handed = c, now
	r.from = c.conn.WrittenBytes()
	r.to = r.from + uint64(len(b))
	c.conn.Write(b)
	if cap(b) <= 64<<10 {
		p.scratch = b[:0]
	}
	if !answered {
		o := r.o
		r.c = nil
		p.l.Defer(func() { o.Finish(control.Succeeded) })
		return
	}
	c.open = append(c.open, r)
	c.awaits()
}

// BeforeWrite implements eventloop.WriteInterceptor: a message that waited, for the loop or for a worker that does not read, is looked at
// once more before its first byte goes, as events may have overtaken it and its deadline is out of date.
func (c *workerConn) BeforeWrite(conn *eventloop.Conn) {
	now, sent := c.l.s.p.l.Clock(), conn.SentBytes()
	for i := len(c.open) - 1; i >= 0; i-- {
		r := c.open[i]
		if r.to <= sent {
			continue
		}
		if r.f == nil { // an order has no deadline, but it may be overtaken
			if r.from >= sent && now-r.handed > rules.MaxDeadlineAge && c.retract(r) {
				c.forget(r)
				r.c = nil
				c.l.enqueue(r)
			}
			continue
		}
		if r.from < sent { // its head has gone with a deadline that can't be changed any more
			if rules.CheckRemainder(now, r.handed) != rules.Allowed {
				c.end(control.ConnectionReset, "stale_in_part")
				return
			}
			continue
		}
		if why := r.f.CheckFirstByte(now, r.handed, r.renewed); why != rules.Allowed && c.retract(r) {
			c.forget(r)
			r.c = nil
			c.l.overtaken(r, why)
		}
	}
}

// overtaken takes back a message that may not go as it is: one with an old deadline is written anew.
func (l *link) overtaken(r *sent, why rules.Reason) {
	if why == rules.StaleDeadline {
		r.renewed++
		l.enqueue(r)
		return
	}
	r.end(control.NotSent)
}

// retract takes back the bytes of a record of which none has gone, and tells whether it could.
func (c *workerConn) retract(r *sent) bool {
	if !c.conn.Unwrite(r.from, r.to) {
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
			c.rests = c.conn.ReadPauses()
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
	if c.part && c.conn.ReadPauses() != c.rests { // our reads failed
		c.awaits()
		return
	}
	if c.part {
		why = "answer_stalled"
		c.l.s.p.refuse(why)
	}
	c.end(control.ConnectionReset, why)
}

// Connected implements eventloop.Handler.
func (c *workerConn) Connected(*eventloop.Conn) {
	c.up = true
	c.awaits()
	c.l.mark()
}

// Flushed implements eventloop.Handler: there is room again.
func (c *workerConn) Flushed(*eventloop.Conn) { c.l.mark() }

// Closed implements eventloop.Handler.
func (c *workerConn) Closed(_ *eventloop.Conn, err error) {
	if !c.up { // it never came up: nothing was sent on it
		c.l.s.p.g.RecordEvent("worker_connect_failed", closeReason(err), nil, c.l.w, 0)
		c.l.failed(c, err)
		return
	}
	c.end(control.ConnectionReset, closeReason(err))
}

// end ends the connection. What was handed whole to the kernel may have run; a message that was not never did.
func (c *workerConn) end(result control.Result, why string) {
	if c.ended {
		return
	}
	c.l.s.p.g.RecordEvent("worker_closed", why, nil, c.l.w, float64(len(c.open)))
	c.l.remove(c)
	sentBytes := c.conn.SentBytes()
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

// Received implements eventloop.Handler.
func (c *workerConn) Received(_ *eventloop.Conn, b []byte) int {
	used, p := 0, c.l.s.p
	for !c.ended {
		a, n, err := workerproto.ReadResponse(b[used:])
		if err != nil {
			p.refuse("answer_spoilt")
			c.end(control.ConnectionReset, "answer_spoilt")
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
func (c *workerConn) answer(a *workerproto.Response) {
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
		h := gateway.WorkerResponse{Result: a.Result, ModelState: a.ModelState, SameModelInFlight: -1, Replicas: a.Replicas}
		h.LoadReportLen = workerproto.ReadLoadReport(a.LoadReport, c.l.s.report, h.LoadReport[:], thrift.ParseDecimal)
		if r.f != nil {
			r.f.Response = h
			r.f.ResponseBody = append(r.f.ResponseBody[:0], a.Body...)
			r.f.Finish(a.Result)
		} else {
			r.o.Response = h
			r.o.Finish(a.Result)
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
