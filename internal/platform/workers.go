package platform

import (
	"errors"
	"net/netip"
	"strconv"

	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
	"mastchute/internal/rules"
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
	waiting []*link                  // those with something to send while sends are held
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
	w      *gateway.Worker
	addr   netip.AddrPort
	conns  []*workerConn
	queue  []*sent // not written to any connection yet
	dirty  bool
	closed bool
	pumpFn func()
}

// NewWorkerTransport implements gateway.Front.
func (p *front) NewWorkerTransport(w *gateway.Worker) gateway.WorkerTransport {
	l := &link{s: &p.workers, w: w, addr: w.Addr}
	l.pumpFn = l.pump
	return l
}

// SendAttempt implements gateway.Link.
func (l *link) SendAttempt(f *gateway.Attempt) {
	r := l.record(&f.TransportState)
	r.f = f
	r.n = copy(r.name[:], f.Request.Responder.(*call).id[:])
	l.enqueue(r)
}

// SendControlCall implements gateway.Link.
func (l *link) SendControlCall(o *gateway.ControlCall) {
	r := l.record(&o.TransportState)
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
		l.s.p.l.Defer(l.pumpFn)
	}
}

// pump writes what is queued to connections with room, and connects where there are too few.
func (l *link) pump() {
	l.dirty = false
	if l.s.p.held() {
		l.s.waiting = append(l.s.waiting, l)
		return
	}
	i := 0
	for ; i < len(l.queue); i++ {
		c := l.room()
		if c == nil {
			break
		}
		r := l.queue[i]
		r.queued = false
		if now := l.s.p.l.Clock(); r.f != nil && r.f.CheckFirstByte(now, now, 0) != rules.Allowed {
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
		if c.up && len(c.open) < l.s.streams && c.conn.UnsentBytes() < waitMost && (best == nil || len(c.open) < len(best.open)) {
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

// resume has the links look at what they have to send once sends are no longer held.
func (s *workers) resume() {
	for _, l := range s.waiting {
		l.mark()
	}
	clear(s.waiting)
	s.waiting = s.waiting[:0]
}

// closeIdle closes one idle connection to a worker, and tells whether there was one.
func (s *workers) closeIdle() bool {
	for c := range s.conns {
		if c.up && len(c.open) == 0 {
			c.end(control.NotSent, "idle_closed")
			return true
		}
	}
	return false
}

// makeRoom closes an idle connection to another worker.
func (s *workers) makeRoom() bool {
	if s.closeIdle() {
		return true
	}
	return len(s.conns) < s.most+reservedWorkers // the first connection to a worker may draw on the reserve
}

// failed ends what waits for a connection where none is left that could take it. What this machine had no means for says
// nothing of the worker.
func (l *link) failed(c *workerConn, err error) {
	why := control.ConnectFailed
	if local := (*eventloop.LocalError)(nil); errors.As(err, &local) {
		why = control.NotSent
		l.s.p.refuse("no_means_to_connect")
	}
	l.remove(c)
	if len(l.conns) > 0 {
		l.mark()
		return
	}
	queue := l.queue
	l.queue = nil
	for _, r := range queue {
		r.queued = false
		r.end(why)
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

// CancelAttempt implements gateway.Link.
func (l *link) CancelAttempt(f *gateway.Attempt) {
	r, _ := f.TransportState.(*sent)
	r.drop()
}

// CancelControlCall implements gateway.Link.
func (l *link) CancelControlCall(o *gateway.ControlCall) {
	r, _ := o.TransportState.(*sent)
	r.drop()
}

// SentAt implements gateway.Link.
func (l *link) SentAt(f *gateway.Attempt) float64 {
	if r, _ := f.TransportState.(*sent); r.left() {
		return r.handed
	}
	return 0
}

// FullySent implements gateway.Link.
func (l *link) FullySent(f *gateway.Attempt) bool {
	r, _ := f.TransportState.(*sent)
	return r.left()
}

// CloseIdle implements gateway.Link.
func (l *link) CloseIdle() {
	for i := len(l.conns) - 1; i >= 0; i-- {
		if c := l.conns[i]; c.up && len(c.open) == 0 {
			c.end(control.NotSent, "idle_closed")
		}
	}
}

// FailUnsent implements gateway.Link.
func (l *link) FailUnsent() {
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
		l.s.p.l.Defer(func() {
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

// ConnectionCount implements gateway.Link.
func (l *link) ConnectionCount() int { return len(l.conns) }

// QueuedCount implements gateway.Link.
func (l *link) QueuedCount() int { return len(l.queue) }
