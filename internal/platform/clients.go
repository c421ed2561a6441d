package platform

import (
	"math"
	"net/netip"

	"mastchute/control"
	"mastchute/internal/gateway"
	"mastchute/internal/loop"
	"mastchute/internal/thrift"
)

const (
	openMost     = 32        // requests open on one connection: the protocol's
	silentMost   = 1.5       // s a connection may say nothing at all: clients connect when they have something to send
	partMost     = 1.0       // s a message may take to come in whole: one write at the client's
	idleMost     = 20.0      // s between messages: clients close after a few
	faultsMost   = 4         // messages that can't be used, then the connection is closed: it would go on for ever
	unreadMost   = 512 << 10 // bytes of answers that may wait for a client that does not read
	keptBody     = 4 << 10   // bytes of a body for which a record is kept
	keptCalls    = 256       // records kept for the next requests
	roomTries    = 4         // connections looked at for one that is idle, for each new one
	drainQuiet   = 0.06      // s without a byte before idle connections are closed while draining: what crosses is sent again for 50 ms
	retryInstead = 0.25      // s told with a refusal of our own: about when there may be room
)

// front takes clients in, and makes the links to workers. It implements gateway.Front.
type front struct {
	g        *gateway.Gateway
	l        *loop.Loop
	listener *loop.Listener
	groups   map[string]int
	tenants  map[string]int
	deduped  []bool // by model group
	back     bool   // clients may be told when to come back
	most     int    // client connections
	inHand   int    // requests
	bodies   int64  // bytes of bodies held, and at most
	bodyMost int64
	oldest   clientConn // the ring of connections: next is the one heard of longest ago
	conns    int
	open     map[id]*call
	free     []*call
	scratch  []byte
	draining bool
	quiet    loop.Timer // while draining: since nothing was in flight or came in
	leaving  bool       // told to stop: nobody is to be sent here any more
	refused  map[string]int
	workers  workers
}

// id is a request's, as its client named it.
type id [16]byte

// clientConn is one connection of a client. Idle it holds no buffers.
type clientConn struct {
	p          *front
	conn       *loop.Conn
	first      *call // open on it
	calls      int
	timer      loop.Timer
	faults     int
	reads      uint32
	used       bool // a whole message has come in
	part       bool // part of a message has
	closing    bool
	prev, next *clientConn
}

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

func newFront(g *gateway.Gateway, f *File) (*front, error) {
	p := &front{g: g, l: g.Loop, groups: map[string]int{}, tenants: map[string]int{}, open: map[id]*call{}, refused: map[string]int{}}
	c := f.host()
	for i, v := range c.Groups {
		p.groups[v.Name] = i
		p.deduped = append(p.deduped, v.Effect == "deduped")
	}
	for i, v := range c.Tenants {
		p.tenants[v.Name] = i
	}
	p.back = f.set.Is("limits.retry_after")
	p.inHand = c.Limits.Requests
	p.bodyMost = int64(f.Limits.MemoryMB * (1 << 20) * bodyShare)
	p.most = max(8, f.Limits.Sockets/clientParts)
	p.oldest.prev, p.oldest.next = &p.oldest, &p.oldest
	p.quiet.Fire = p.closeIdle
	p.workers.init(p, f)
	var err error
	p.listener, err = p.l.Listen(f.listen, p.accept)
	return p, err
}

// Drain implements gateway.Front: connection draining. All that is still sent is answered, so connections stay open until
// nothing has been in flight and nothing has come in for a while; only then are they closed.
func (p *front) Drain() {
	p.draining = true
	p.listener.Drain()
	p.drained()
}

// drained waits for quiet where nothing is in flight while draining.
func (p *front) drained() {
	if p.draining && len(p.open) == 0 {
		p.l.Start(&p.quiet, drainQuiet)
	}
}

// closeIdle ends the drain. What lies unread in the kernel is heard first; a message that has come in part gets its time.
func (p *front) closeIdle() {
	var all []*clientConn
	for c := p.oldest.next; c != &p.oldest; c = c.next {
		all = append(all, c)
	}
	for _, c := range all {
		if c.conn.Poll(); c.calls == 0 && !c.part {
			c.end()
		}
	}
}

// Conns and Held implement gateway.Front.

func (p *front) Conns() int  { return p.conns }
func (p *front) Held() int64 { return p.bodies }

func (p *front) Addr() netip.AddrPort { return p.listener.Addr() }

func (p *front) refuse(why string) { p.refused[why]++ }

func (p *front) accept(conn *loop.Conn) loop.Handler {
	if p.conns+p.l.Lingering() >= p.most && !p.makeRoom() {
		p.refuse("no_descriptor")
		return nil
	}
	c := &clientConn{p: p, conn: conn}
	c.timer.Fire = c.expired
	p.conns++
	c.link()
	p.l.Start(&c.timer, silentMost)
	return c
}

// makeRoom closes the connection that has been idle for longest, one that never said anything first. One that turns out
// to have a request unread is not idle.
func (p *front) makeRoom() bool {
	for range roomTries {
		idle := p.longestIdle()
		if idle == nil {
			return false
		}
		if idle.conn.Poll(); idle.calls > 0 || idle.part && idle.used { // half a first message may be kept back for good
			continue
		}
		if !idle.closing {
			p.refuse("idle_closed")
			idle.end()
		}
		return p.conns+p.l.Lingering() < p.most+reservedClients // it may linger for its last answer
	}
	return false
}

func (p *front) longestIdle() *clientConn {
	var idle *clientConn
	for c := p.oldest.next; c != &p.oldest; c = c.next {
		if c.calls > 0 || c.part && c.used {
			continue
		}
		if !c.used {
			idle = c
			break
		}
		if idle == nil {
			idle = c
		}
	}
	return idle
}

func (c *clientConn) link() {
	c.prev, c.next = c.p.oldest.prev, &c.p.oldest
	c.prev.next, c.p.oldest.prev = c, c
}

func (c *clientConn) unlink() {
	c.prev.next, c.next.prev = c.next, c.prev
	c.prev, c.next = nil, nil
}

// Opened implements loop.Handler.
func (c *clientConn) Opened(*loop.Conn) {}

// Drained implements loop.Handler.
func (c *clientConn) Drained(*loop.Conn) {}

// Closed implements loop.Handler: the client has gone, and wants none of its answers.
func (c *clientConn) Closed(*loop.Conn, error) { c.over() }

// end closes the connection; what is open on it is given up. Answers written in this turn go out first: they are given,
// and nobody would give them again.
func (c *clientConn) end() {
	if c.closing {
		return
	}
	if c.conn.Waiting() > 0 {
		c.conn.CloseFlushed()
	} else {
		c.conn.Close()
	}
	c.over()
}

// cut closes the connection at once, whose client does not keep to the protocol, or does not read.
func (c *clientConn) cut() {
	if c.closing {
		return
	}
	c.conn.Flush()
	if c.closing { // the flush found it gone
		return
	}
	c.conn.Close()
	c.over()
}

// endSoon closes it when what was written has gone out.
func (c *clientConn) endSoon() {
	if c.closing {
		return
	}
	c.conn.CloseFlushed()
	c.over()
}

func (c *clientConn) over() {
	c.closing = true
	c.p.l.Cancel(&c.timer)
	if c.next != nil {
		c.unlink()
		c.p.conns--
	}
	for c.first != nil {
		k := c.first
		q := k.q
		k.release()
		c.p.g.Left(q)
	}
}

// expired ends a connection whose time is up; bytes that lie unread have come in time.
func (c *clientConn) expired() {
	part, reads := c.part, c.reads
	if c.conn.Poll(); c.closing || c.reads != reads && !(part && c.part) {
		return
	}
	switch {
	case c.part:
		c.p.refuse("message_stalled")
	case !c.used:
		c.p.refuse("silent")
	case c.calls > 0:
		return
	}
	c.end()
}

// wait starts the time that the connection may stay as it is.
func (c *clientConn) wait(part bool) {
	switch {
	case c.closing:
	case part:
		if !c.part || !c.timer.Pending() {
			c.part = true
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

// Data implements loop.Handler.
func (c *clientConn) Data(conn *loop.Conn, b []byte) int {
	used := 0
	c.reads++
	for !c.closing {
		payload, n, err := thrift.Frame(b[used:], thrift.MostFrame)
		if err != nil {
			c.p.refuse("frame")
			c.cut()
			return len(b)
		}
		if n == 0 {
			break
		}
		used += n
		m, err := thrift.Read(payload)
		if err != nil {
			c.p.refuse("unreadable")
			c.write(thrift.AppendFault(c.p.scratch[:0], m.Seq, err.Error()))
			c.endSoon()
			return len(b)
		}
		c.used, c.part = true, false
		c.heard(&m)
	}
	if !c.closing {
		c.unlink()
		c.link()
		if conn.Waiting() > unreadMost {
			c.p.refuse("does_not_read")
			c.cut()
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
func (c *clientConn) heard(m *thrift.Call) {
	p := c.p
	switch {
	case m.Verb == thrift.Alive && m.Fault == nil:
		c.write(thrift.AppendGood(p.scratch[:0], m.Seq, p.g.Ready() && p.g.Serving() && !p.leaving))
	case m.Verb == thrift.Cancel:
		if k := c.find(m.Target); k != nil && m.Fault == nil {
			q := k.q
			k.release()
			p.g.Left(q)
		}
	case m.Fault != nil:
		c.bad("unusable", m.Seq, m.Fault.Error())
	case c.find(m.Seq) != nil: // its answer could be taken for the other's
		p.refuse("number_in_use")
		c.cut()
	case c.calls >= openMost:
		p.refuse("too_many_open")
		c.cut()
	default:
		c.infer(m)
	}
}

// bad answers what can't be used; a client that goes on so is not listened to for ever.
func (c *clientConn) bad(why string, seq int32, text string) {
	c.p.refuse(why)
	c.write(thrift.AppendFault(c.p.scratch[:0], seq, text))
	if c.faults++; c.faults >= faultsMost && c.calls == 0 {
		c.endSoon()
	}
}

// infer takes a request, or refuses it before it is taken.
func (c *clientConn) infer(m *thrift.Call) {
	p := c.p
	group, ok := p.groups[string(m.Group)]
	if !ok {
		c.bad("unknown_group", m.Seq, "no such model group")
		return
	}
	if p.deduped[group] && len(m.Mark) == 0 {
		c.bad("no_mark", m.Seq, "a deduped inference needs its mark")
		return
	}
	var key id
	copy(key[:], m.ID)
	if other := p.open[key]; other != nil {
		p.refuse("id_in_use")
		if other.c == c {
			c.cut() // nothing it says can be told apart
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
	k.group, k.mark, k.body = append(k.group[:0], m.Group...), append(k.mark[:0], m.Mark...), append(k.body[:0], m.Body...)
	p.bodies += int64(len(k.body))
	p.open[key] = k
	k.next, c.first = c.first, k
	c.calls++
	tenant, ok := p.tenants[string(m.Tenant)]
	if !ok {
		tenant = -1
	}
	k.q = p.g.Accept(k, model, tenant, control.Request{Group: control.GroupID(group), MemoryMB: m.MemoryMB, Lanes: m.Lanes,
		Work: m.Work, Load: m.Load, NotAfter: p.l.Now() + m.Timeout, Repeat: m.Repeat})
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

func (c *clientConn) find(seq int32) *call {
	k := c.first
	for k != nil && k.seq != seq {
		k = k.next
	}
	return k
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
	if c.calls == 0 && !c.closing && !c.part {
		c.wait(false)
	}
	p.drained()
}

// Returned implements gateway.Client.
func (k *call) Returned(_ *gateway.Request, f *gateway.Attempt) {
	k.c.write(thrift.AppendReturned(k.c.p.scratch[:0], k.seq, f.Body))
	k.release()
}

// Shed implements gateway.Client.
func (k *call) Shed(_ *gateway.Request, retryAfter float64) {
	k.c.write(thrift.AppendShed(k.c.p.scratch[:0], k.seq, k.c.p.pause(retryAfter)))
	k.release()
}

// Failed implements gateway.Client.
func (k *call) Failed(_ *gateway.Request, _ bool, why string) {
	k.c.write(thrift.AppendFailed(k.c.p.scratch[:0], k.seq, why))
	k.release()
}
