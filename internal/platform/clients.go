package platform

import (
	"net/netip"

	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
)

const (
	openMost     = 32        // requests open on one connection: the protocol's
	silentLeast  = 0.03      // s a new connection gets for its first message before it makes room: it is on its way
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
	l        *eventloop.Loop
	listener *eventloop.Listener
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
	quiet    eventloop.Timer // while draining: since nothing was in flight or came in
	leaving  bool            // told to stop: nobody is to be sent here any more
	refused  map[string]int
	held     func() bool // nothing is to be sent to workers for a moment
	workers  workers
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
	p.back = f.set.RetryAfter.Allowed
	p.inHand = c.Limits.Requests
	p.bodyMost = int64(f.Limits.MemoryMB * (1 << 20) * bodyShare)
	p.most = max(8, f.Limits.Sockets/clientParts)
	p.oldest.prev, p.oldest.next = &p.oldest, &p.oldest
	p.quiet.Fire = p.closeIdle
	p.workers.init(p, f)
	var err error
	if p.listener, err = p.l.Listen(f.listen, p.accept); err != nil {
		return nil, err
	}
	p.listener.Room = p.room
	p.l.OnDescriptorShortage = p.freeDescriptor
	return p, nil
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
		if c.conn.ReadNow(); c.calls == 0 && !c.part {
			c.end("drained")
		}
	}
}

// Conns and Held implement gateway.Front.

func (p *front) ConnectionCount() int {
	if p.listener.Draining() {
		return p.conns + 1 // some may wait to be accepted
	}
	return p.conns
}

func (p *front) BufferedBytes() int64 { return p.bodies }

func (p *front) Addr() netip.AddrPort { return p.listener.Addr() }

func (p *front) refuse(why string) { p.refused[why]++ }

// room tells whether another client can be taken; until then it waits, unheard but not refused. With makeIt, a connection
// that rests is closed for it.
func (p *front) room(makeIt bool) bool {
	if p.conns+p.l.Lingering() < p.most {
		return true
	}
	if !makeIt {
		return false
	}
	if p.makeRoom() {
		return true
	}
	p.refuse("no_descriptor")
	return false
}

// freeDescriptor closes a connection that rests, where the process has no descriptor left.
func (p *front) freeDescriptor() bool {
	before := p.conns + len(p.workers.conns)
	p.workers.closeIdle()
	if p.conns+len(p.workers.conns) == before {
		p.makeRoom()
	}
	return p.conns+len(p.workers.conns) < before
}

func (p *front) accept(conn *eventloop.Conn) eventloop.Handler {
	c := &clientConn{p: p, conn: conn, since: p.l.Now()}
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
		if idle.conn.ReadNow(); idle.calls > 0 || idle.part && idle.used { // half a first message may be kept back for good
			continue
		}
		if !idle.closing {
			p.refuse("idle_closed")
			idle.end("idle_closed")
		}
		return p.conns+p.l.Lingering() < p.most+reservedClients // it may linger for its last answer
	}
	return false
}

func (p *front) longestIdle() *clientConn {
	var idle *clientConn
	for c := p.oldest.next; c != &p.oldest; c = c.next {
		if c.calls > 0 || c.part && c.used || !c.used && p.l.Now()-c.since < silentLeast {
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
