package platform

import (
	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
	"mastchute/internal/rules"
	"mastchute/internal/thrift"
)

// clientConn is one connection of a client. Idle it holds no buffers.
type clientConn struct {
	p          *front
	conn       *eventloop.Conn
	first      *call // open on it
	calls      int
	timer      eventloop.Timer
	since      float64 // when it was accepted
	faults     int
	reads      uint32
	rests      uint32 // of the connection when its timer was started
	used       bool   // a whole message has come in
	part       bool   // part of a message has
	stalled    bool   // and it stands still for too long
	closing    bool
	prev, next *clientConn
}

func (c *clientConn) link() {
	c.prev, c.next = c.p.oldest.prev, &c.p.oldest
	c.prev.next, c.p.oldest.prev = c, c
}

func (c *clientConn) unlink() {
	c.prev.next, c.next.prev = c.next, c.prev
	c.prev, c.next = nil, nil
}

// Connected implements eventloop.Handler.
func (c *clientConn) Connected(*eventloop.Conn) {}

// Flushed implements eventloop.Handler.
func (c *clientConn) Flushed(*eventloop.Conn) {}

// PeerClosed implements eventloop.HalfCloser. A client that closed its side has gone for all that can be told, and nothing goes
// on for it; should it still read, each of its requests has its final answer, those written in this turn included.
func (c *clientConn) PeerClosed(conn *eventloop.Conn) {
	for k := c.first; k != nil; k = k.next {
		c.write(thrift.AppendFailed(c.p.scratch[:0], k.seq, "the client closed its side"))
	}
	if conn.UnsentBytes() > 0 {
		c.endSoon("peer_closed")
	}
}

// Closed implements eventloop.Handler: the client has gone, and wants none of its answers.
func (c *clientConn) Closed(_ *eventloop.Conn, err error) { c.over(closeReason(err)) }

// end closes the connection; what is open on it is given up. Answers written in this turn go out first: they are given,
// and nobody would give them again.
func (c *clientConn) end(why string) {
	if c.closing {
		return
	}
	if c.conn.UnsentBytes() > 0 {
		c.conn.CloseFlushed()
	} else {
		c.conn.Close()
	}
	c.over(why)
}

// cut closes the connection at once, whose client does not keep to the protocol, or does not read.
func (c *clientConn) cut(why string) {
	if c.closing {
		return
	}
	c.conn.Flush()
	if c.closing { // the flush found it gone
		return
	}
	c.conn.Close()
	c.over(why)
}

// endSoon closes it when what was written has gone out.
func (c *clientConn) endSoon(why string) {
	if c.closing {
		return
	}
	c.conn.CloseFlushed()
	c.over(why)
}

// over lets go of a connection that has ended; what is open on it is given up.
func (c *clientConn) over(why string) {
	c.closing = true
	c.p.g.RecordEvent("client_closed", why, nil, nil, float64(c.calls))
	c.p.l.Cancel(&c.timer)
	if c.next != nil {
		c.unlink()
		c.p.conns--
	}
	for c.first != nil {
		k := c.first
		q := k.q
		k.release()
		c.p.g.ClientGone(q)
	}
}

// expired ends a connection whose time is up; bytes that lie unread have come in time.
func (c *clientConn) expired() {
	part, reads, rests := c.part, c.reads, c.rests
	if c.conn.ReadNow(); c.closing || c.reads != reads && !(part && c.part) {
		return
	}
	why := "idle"
	switch {
	case c.part && c.conn.ReadPauses() != rests: // our reads failed
		c.wait(true)
		return
	case c.part && rules.CheckClose(c.calls) != rules.Allowed:
		c.stalled = true // until its answers are given
		return
	case c.part:
		why = "message_stalled"
		c.p.refuse(why)
	case !c.used:
		why = "silent"
		c.p.refuse(why)
	case c.calls > 0:
		return
	}
	c.end(why)
}

// wait starts the time that the connection may stay as it is.
func (c *clientConn) wait(part bool) {
	switch {
	case c.closing:
	case part:
		if !c.part || !c.timer.Pending() {
			c.part, c.rests = true, c.conn.ReadPauses()
			c.p.l.Start(&c.timer, partMost)
		}
	case c.calls > 0:
		c.part = false
		c.p.l.Cancel(&c.timer)
	default:
		c.part = false
		c.p.l.Start(&c.timer, idleMost)
	}
}

// Received implements eventloop.Handler.
func (c *clientConn) Received(conn *eventloop.Conn, b []byte) int {
	used := 0
	c.reads++
	for !c.closing {
		payload, n, err := thrift.ReadFrame(b[used:], thrift.MaxFrameBytes)
		if err != nil {
			c.p.refuse("frame")
			c.cut("frame")
			return len(b)
		}
		if n == 0 {
			break
		}
		used += n
		m, err := thrift.ReadMessage(payload)
		if err != nil {
			c.p.refuse("unreadable")
			c.write(thrift.AppendException(c.p.scratch[:0], m.Seq, err.Error()))
			c.endSoon("unreadable")
			return len(b)
		}
		c.used, c.part, c.stalled = true, false, false
		c.heard(&m)
	}
	if !c.closing {
		c.unlink()
		c.link()
		if conn.UnsentBytes() > unreadMost {
			c.p.refuse("does_not_read")
			c.cut("does_not_read")
			return len(b)
		}
		c.wait(used < len(b))
		c.p.drained()
	}
	if c.closing {
		return len(b)
	}
	return used
}

func (c *clientConn) write(b []byte) {
	c.conn.Write(b)
	if cap(b) <= 64<<10 {
		c.p.scratch = b[:0]
	}
}

// heard takes one message.
func (c *clientConn) heard(m *thrift.Message) {
	p := c.p
	switch {
	case m.Method == thrift.Alive && m.Fault == nil:
		c.write(thrift.AppendAlive(p.scratch[:0], m.Seq, p.g.Ready() && p.g.Serving() && !p.leaving))
	case m.Method == thrift.Cancel:
		if k := c.find(m.Target); k != nil && m.Fault == nil {
			q := k.q
			k.release()
			p.g.ClientGone(q)
		}
	case m.Fault != nil:
		c.bad("unusable", m.Seq, m.Fault.Error())
	case c.find(m.Seq) != nil: // its answer could be taken for the other's
		p.refuse("number_in_use")
		c.cut("number_in_use")
	case c.calls >= openMost:
		p.refuse("too_many_open")
		c.cut("too_many_open")
	default:
		c.infer(m)
	}
}

// bad answers what can't be used; a client that goes on so is not listened to for ever.
func (c *clientConn) bad(why string, seq int32, text string) {
	c.p.refuse(why)
	c.write(thrift.AppendException(c.p.scratch[:0], seq, text))
	if c.faults++; c.faults >= faultsMost && c.calls == 0 {
		c.endSoon(why)
	}
}

// infer takes a request, or refuses it before it is taken.
func (c *clientConn) infer(m *thrift.Message) {
	p := c.p
	group, ok := p.groups[string(m.Group)]
	if !ok {
		c.bad("unknown_group", m.Seq, "no such model group")
		return
	}
	if p.deduped[group] && len(m.IdempotencyKey) == 0 {
		c.bad("no_mark", m.Seq, "a deduped inference needs its mark")
		return
	}
	var key id
	copy(key[:], m.ID)
	if other := p.open[key]; other != nil {
		p.refuse("id_in_use")
		if other.c == c {
			c.cut("id_in_use") // nothing it says can be told apart
			return
		}
		c.bad("id_in_use", m.Seq, "an inference with this id is open")
		return
	}
	if !p.g.Serving() || p.g.InFlight() >= p.inHand || p.bodies+int64(len(m.Body)) > p.bodyMost {
		p.refuse("full")
		c.write(thrift.AppendShed(p.scratch[:0], m.Seq, p.pause(retryInstead)))
		return
	}
	model := p.g.FindModel(m.Model)
	if model == nil {
		var err error
		if model, err = p.g.AddModel(gateway.Model{Name: string(m.Model), ID: modelID(m.Model), Group: group}); err != nil {
			p.refuse("too_many_models")
			c.write(thrift.AppendShed(p.scratch[:0], m.Seq, p.pause(retryInstead)))
			return
		}
	}
	k := p.take()
	k.c, k.seq, k.id = c, m.Seq, key
	k.group, k.mark, k.body = append(k.group[:0], m.Group...), append(k.mark[:0], m.IdempotencyKey...), append(k.body[:0], m.Body...)
	p.bodies += int64(len(k.body))
	p.open[key] = k
	k.next, c.first = c.first, k
	c.calls++
	tenant, ok := p.tenants[string(m.Tenant)]
	if !ok {
		tenant = -1
	}
	cameIn := c.conn.ReceivedAt()
	k.q = p.g.AcceptRequest(k, model, tenant, cameIn, control.Request{Group: control.GroupID(group), MemoryMB: m.MemoryMB, Concurrency: m.Concurrency,
		WorkHint: m.WorkHint, LoadTimeHint: m.LoadTimeHint, Deadline: cameIn + m.Timeout, ClientRetry: m.ClientRetry})
	k.q.SetTrace(key)
}

func (c *clientConn) find(seq int32) *call {
	k := c.first
	for k != nil && k.seq != seq {
		k = k.next
	}
	return k
}
