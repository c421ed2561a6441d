package platform

import (
	"math"
	"net/netip"
	"strconv"

	"mastchute/control"
	"mastchute/internal/gateway"
	"mastchute/internal/lines"
	"mastchute/internal/loop"
	"mastchute/internal/thrift"
)

const (
	connsMost  = 4        // connections to a worker, where descriptors allow: what is spoilt on one spares the others
	partAnswer = 0.3      // s an answer that has begun may stand still: workers write one at once
	spareLeast = 3        // attempts that each connection to a worker carries before another is opened: handshakes are paid for
	idleShare  = 0.85     // of the worker's idle time after which we close: what it closes itself may cross with an attempt
	waitMost   = 64 << 10 // bytes that may wait on a connection before others are used or awaited
)

// workers holds what all links share.
type workers struct {
	p       *front
	streams int
	connect float64
	idle    float64
	conns   map[*workerConn]struct{} // of all links
	starved []*link                  // those that wait for a descriptor
	most    int
	report  []string
	seq     uint64 // of tags
}

func (s *workers) init(p *front, f *File) {
	c := f.host()
	s.p, s.report, s.conns = p, c.Report, map[*workerConn]struct{}{}
	s.streams = int(f.positive("limits.streams_per_conn", streamsUsual))
	s.connect, s.idle = c.Limits.ConnectTimeout.Seconds, c.Limits.WorkerIdleTimeout.Seconds*idleShare
	s.most = max(1, f.Limits.Sockets-p.most-reserved)
}

// link is the way to one worker, by its id: a new worker at the address of one that has gone has a link of its own. It
// implements gateway.Link.
type link struct {
	s      *workers
	addr   netip.AddrPort
	conns  []*workerConn
	queue  []*sent // not written to any connection yet
	dirty  bool
	closed bool
	pumpFn func()
}

// sent is the record of one attempt or order on its way. It stays with its attempt or order.
type sent struct {
	f        *gateway.Attempt
	o        *gateway.Order
	l        *link
	c        *workerConn // nil until written
	queued   bool
	name     [24]byte // id or tag
	n        int
	from, to uint64  // its place among the bytes of the connection
	handed   float64 // when it was written to the connection
}

// workerConn is one connection to a worker. It carries many attempts.
type workerConn struct {
	l     *link
	conn  *loop.Conn
	open  []*sent
	up    bool
	ended bool
	timer loop.Timer // idle, or an answer that stands still
	part  bool
}

// Link implements gateway.Front.
func (p *front) Link(w *gateway.Worker) gateway.Link {
	l := &link{s: &p.workers, addr: w.Addr}
	l.pumpFn = l.pump
	return l
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

// Send implements gateway.Link.
func (l *link) Send(f *gateway.Attempt) {
	r := l.record(&f.Call)
	r.f = f
	r.n = copy(r.name[:], f.Request.Client.(*call).id[:])
	l.enqueue(r)
}

// Order implements gateway.Link.
func (l *link) Order(o *gateway.Order) {
	r := l.record(&o.Call)
	r.o = o
	l.s.seq++
	r.n = len(strconv.AppendUint(append(r.name[:0], 't'), l.s.seq, 36))
	l.enqueue(r)
}

func (l *link) enqueue(r *sent) {
	r.queued = true
	l.queue = append(l.queue, r)
	l.mark()
}

// mark has the queue looked at in this turn.
func (l *link) mark() {
	if !l.dirty {
		l.dirty = true
		l.s.p.l.Later(l.pumpFn)
	}
}

// pump writes what is queued to connections with room, and connects where there are too few.
func (l *link) pump() {
	l.dirty = false
	i := 0
	for ; i < len(l.queue); i++ {
		c := l.room()
		if c == nil {
			break
		}
		r := l.queue[i]
		r.queued = false
		if r.f != nil && !r.f.MayLeave() {
			r.end(control.NotSent)
			continue
		}
		c.write(r)
	}
	n := copy(l.queue, l.queue[i:])
	clear(l.queue[n:])
	l.queue = l.queue[:n]
	l.connect()
}

// room returns the connection that carries least, nil where none has room.
func (l *link) room() *workerConn {
	var best *workerConn
	for _, c := range l.conns {
		if c.up && len(c.open) < l.s.streams && c.conn.Waiting() < waitMost && (best == nil || len(c.open) < len(best.open)) {
			best = c
		}
	}
	return best
}

// connect opens another connection where some wait for one, or where each carries something already.
func (l *link) connect() {
	coming, busy := 0, true
	for _, c := range l.conns {
		if !c.up {
			coming++
		} else if len(c.open) < spareLeast {
			busy = false
		}
	}
	needed := len(l.queue) > coming*l.s.streams
	spare := len(l.queue) == 0 && busy && coming == 0 && len(l.conns) > 0 && len(l.conns) < connsMost && !l.closed
	if !needed && !spare {
		return
	}
	if len(l.s.conns) >= l.s.most && (len(l.conns) > 0 || !l.s.makeRoom()) {
		if len(l.conns) == 0 {
			l.s.starved = append(l.s.starved, l)
		}
		return
	}
	c := &workerConn{l: l}
	c.timer.Fire = c.expired
	l.conns = append(l.conns, c)
	l.s.conns[c] = struct{}{}
	c.conn = l.s.p.l.Dial(l.addr, l.s.connect, c)
}

// eased has the links that wait for a descriptor try again: a connection has ended, or become idle.
func (s *workers) eased() {
	for _, l := range s.starved {
		l.mark()
	}
	clear(s.starved)
	s.starved = s.starved[:0]
}

// makeRoom closes an idle connection to another worker.
func (s *workers) makeRoom() bool {
	for c := range s.conns {
		if c.up && len(c.open) == 0 {
			c.end(control.NotSent)
			return true
		}
	}
	return len(s.conns) < s.most+reservedWorkers // the first connection to a worker may draw on the reserve
}

// write hands a message to the connection; it leaves at the end of the turn.
func (c *workerConn) write(r *sent) {
	p := c.l.s.p
	b := p.scratch[:0]
	name := r.name[:r.n]
	answered := true
	switch {
	case r.f != nil:
		k := r.f.Request.Client.(*call)
		left := math.Max(1, math.Floor((r.f.Request.NotAfter()-p.l.Now())*1e3))
		b = lines.AppendInvoke(b, name, k.group, []byte(r.f.Request.Model().Name), k.mark, int64(left), k.body)
	case r.o.Kind == gateway.OrderLoad:
		b = lines.AppendLoad(b, name, r.o.Model.Name, r.o.Copies)
	case r.o.Kind == gateway.OrderUnload:
		b, answered = lines.AppendUnload(b, r.o.Model.Name), false
	default:
		b = lines.AppendProbe(b, name)
	}
	r.c, r.handed = c, p.l.Now()
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

// awaits starts or stops the connection's timer as it stands.
func (c *workerConn) awaits() {
	l := c.l.s.p.l
	switch {
	case c.ended || !c.up:
	case c.part:
		if !c.timer.Pending() {
			l.Start(&c.timer, partAnswer)
		}
	case len(c.open) > 0:
		l.Cancel(&c.timer)
	case c.l.closed:
		c.end(control.NotSent)
	default:
		l.Start(&c.timer, c.l.s.idle)
		c.l.s.eased()
	}
}

func (c *workerConn) expired() {
	if c.part {
		c.l.s.p.refuse("answer_stalled")
	}
	c.end(control.Reset)
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
func (c *workerConn) Closed(_ *loop.Conn, _ error) {
	if !c.up { // it never came up: nothing was sent on it
		c.l.failed(c)
		return
	}
	c.end(control.Reset)
}

// failed ends what waits for a connection where none is left that could take it.
func (l *link) failed(c *workerConn) {
	l.remove(c)
	if len(l.conns) > 0 {
		l.mark()
		return
	}
	queue := l.queue
	l.queue = nil
	for _, r := range queue {
		r.queued = false
		r.end(control.ConnectFailed)
	}
}

func (l *link) remove(c *workerConn) {
	c.ended = true
	l.s.p.l.Cancel(&c.timer)
	for i, o := range l.conns {
		if o == c {
			l.conns = append(l.conns[:i], l.conns[i+1:]...)
			delete(l.s.conns, c)
			l.s.eased()
			return
		}
	}
}

// end ends the connection. What was handed whole to the kernel may have run; a message that was not never did.
func (c *workerConn) end(why control.Result) {
	if c.ended {
		return
	}
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
			r.end(why)
		}
	}
	if len(c.l.queue) > 0 {
		c.l.mark()
	}
}

func (r *sent) end(why control.Result) {
	if r.f != nil {
		r.f.End(why)
	} else if r.o != nil {
		r.o.End(why)
	}
}

// Data implements loop.Handler.
func (c *workerConn) Data(_ *loop.Conn, b []byte) int {
	used, p := 0, c.l.s.p
	for !c.ended {
		a, n, err := lines.Next(b[used:])
		if err != nil {
			p.refuse("answer_spoilt")
			c.end(control.Reset)
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
	for i, o := range c.open {
		if o == r {
			c.open = append(c.open[:i], c.open[i+1:]...)
			break
		}
	}
	switch left := c.conn.Sent(); {
	case left >= r.to:
		if r.f != nil {
			b := lines.AppendCancel(c.l.s.p.scratch[:0], r.name[:r.n])
			c.conn.Write(b)
			c.l.s.p.scratch = b[:0]
		}
	case c.conn.Retract(r.from, r.to):
		for _, o := range c.open {
			if o.from >= r.to {
				o.from -= r.to - r.from
				o.to -= r.to - r.from
			}
		}
	default: // part of it has left: the worker does not read, and the rest is not to be sent any more
		c.end(control.Reset)
		return
	}
	if len(c.l.queue) > 0 {
		c.l.mark()
	}
	c.awaits()
}

// Cancel implements gateway.Link.
func (l *link) Cancel(f *gateway.Attempt) {
	r, _ := f.Call.(*sent)
	r.drop()
}

// Drop implements gateway.Link.
func (l *link) Drop(o *gateway.Order) {
	r, _ := o.Call.(*sent)
	r.drop()
}

// left tells whether a byte of it has gone to the kernel.
func (r *sent) left() bool { return r != nil && !r.queued && (r.c == nil || r.c.conn.Sent() > r.from) }

// Handed implements gateway.Link.
func (l *link) Handed(f *gateway.Attempt) float64 {
	if r, _ := f.Call.(*sent); r.left() {
		return r.handed
	}
	return 0
}

// Whole implements gateway.Link.
func (l *link) Whole(f *gateway.Attempt) bool {
	r, _ := f.Call.(*sent)
	return r.left()
}

// CloseIdle implements gateway.Link.
func (l *link) CloseIdle() {
	for i := len(l.conns) - 1; i >= 0; i-- {
		if c := l.conns[i]; c.up && len(c.open) == 0 {
			c.end(control.NotSent)
		}
	}
}

// Abandon implements gateway.Link.
func (l *link) Abandon() {
	var all []*sent
	all = append(all, l.queue...)
	for _, c := range l.conns {
		for _, r := range c.open {
			if !r.left() {
				all = append(all, r)
			}
		}
	}
	for _, r := range all {
		r.drop()
		r.handed = 0
		r.queued = true // until it is told: nothing of it has left
		l.s.p.l.Later(func() {
			if r.l == l && r.queued {
				r.queued = false
				r.end(control.NotSent)
			}
		})
	}
}

// Close implements gateway.Link.
func (l *link) Close() {
	l.closed = true
	l.CloseIdle()
	for i := len(l.conns) - 1; i >= 0; i-- {
		if c := l.conns[i]; !c.up && len(l.queue) == 0 {
			l.remove(c)
			c.conn.Close()
		}
	}
}

// Conns implements gateway.Link.
func (l *link) Conns() int { return len(l.conns) }

// Queued implements gateway.Link.
func (l *link) Queued() int { return len(l.queue) }
