package platform

import (
	"net/netip"

	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
)

// drainQuietPeriod is how long, in s, no message must have arrived before idle connections are closed while draining.
// Clients resend a request that crossed with the close, but only for 50 ms.
const drainQuietPeriod = 0.06

// closeInterval is the interval, in s, at which idle connections are closed although clients still use them.
const closeInterval = 0.02

// finalReadDuration is how long, in s, reads that fail are retried when the process must end.
const finalReadDuration = 0.02

// clientTransport accepts the clients' connections and creates the transports to workers. It implements
// gateway.ClientTransport. It must be used on the loop's goroutine only.
type clientTransport struct {
	gateway  *gateway.Gateway
	loop     *eventloop.Loop
	listener *eventloop.Listener
	workers  workerPool

	groups         map[string]int // index of a model group by its name
	deduped        []bool         // by model group: requests need an idempotency key
	tenants        map[string]int // index of a tenant by its name
	sendRetryAfter bool           // clients may be sent a Retry-After

	maxConns     int
	maxInFlight  int
	maxBodyBytes int64

	connRing     clientConn // head of the ring of connections, ordered by last message; next is the one with the oldest
	connCount    int
	inFlight     map[requestID]*clientRequest
	bodyBytes    int64            // of the requests in flight
	freeRequests []*clientRequest // pooled records
	scratch      []byte           // buffer in which messages are composed

	draining     bool            // connections are closed once all are idle
	closing      bool            // each connection is closed when it is idle, although others are not
	drainTimer   eventloop.Timer // runs while draining with nothing in flight; restarted by each message
	lastClosedAt float64         // when the latest connection was closed
	stopping     bool            // shutdown has begun: the response to clients' health checks is false
	sendsPaused  func() bool     // reports whether sends to workers are paused
	dropCounts   map[string]int  // by reason
}

// newClientTransport creates a transport that listens on the configured address. sendsPaused must be set before the loop
// runs.
func newClientTransport(g *gateway.Gateway, file *ConfigFile) (*clientTransport, error) {
	transport := &clientTransport{
		gateway:    g,
		loop:       g.Loop,
		groups:     map[string]int{},
		tenants:    map[string]int{},
		inFlight:   map[requestID]*clientRequest{},
		dropCounts: map[string]int{},
	}
	gatewayConfig := file.gatewayConfig()
	for i, group := range gatewayConfig.Groups {
		transport.groups[group.Name] = i
		transport.deduped = append(transport.deduped, group.Effect == "deduped")
	}
	for i, tenant := range gatewayConfig.Tenants {
		transport.tenants[tenant.Name] = i
	}
	transport.sendRetryAfter = file.settings.RetryAfter.Allowed
	transport.maxInFlight = gatewayConfig.Limits.Requests
	transport.maxBodyBytes = int64(file.memoryBytes(bodyMemoryFraction))
	transport.maxConns = file.maxClientConns()
	transport.connRing.prev = &transport.connRing
	transport.connRing.next = &transport.connRing
	transport.drainTimer.Fire = transport.closeDrained
	transport.workers.init(transport, file)
	var err error
	transport.listener, err = transport.loop.Listen(file.listenAddr, transport.accept)
	if err != nil {
		return nil, err
	}
	transport.listener.AdmitConnection = transport.hasCapacity
	transport.loop.OnDescriptorShortage = transport.freeDescriptor
	return transport, nil
}

// NewWorkerTransport implements gateway.ClientTransport.
func (t *clientTransport) NewWorkerTransport(worker *gateway.Worker) gateway.WorkerTransport {
	return newWorkerTransport(&t.workers, worker)
}

// Addr returns the address that the transport listens on.
func (t *clientTransport) Addr() netip.AddrPort { return t.listener.Addr() }

// ConnectionCount implements gateway.ClientTransport. While draining, it adds one until the listener is closed, for
// connections that may be in the accept queue.
func (t *clientTransport) ConnectionCount() int {
	if t.draining && t.listener.IsOpen() {
		return t.connCount + 1
	}
	return t.connCount
}

// BufferedBytes implements gateway.ClientTransport.
func (t *clientTransport) BufferedBytes() int64 { return t.bodyBytes }

// countDrop counts a rejected message, a closed connection or another failure by its reason.
func (t *clientTransport) countDrop(reason string) { t.dropCounts[reason]++ }

// isAlive reports whether clients should send requests to this dispatcher.
func (t *clientTransport) isAlive() bool {
	return t.gateway.Ready() && t.gateway.Serving() && !t.stopping
}

// canAccept reports whether there is capacity for one more request with a body of bodyLen bytes.
func (t *clientTransport) canAccept(bodyLen int) bool {
	return t.gateway.Serving() && t.gateway.InFlight() < t.maxInFlight && t.bodyBytes+int64(bodyLen) <= t.maxBodyBytes
}

// accept returns the handler of a new connection.
func (t *clientTransport) accept(conn *eventloop.Conn) eventloop.Handler {
	c := &clientConn{transport: t, conn: conn, acceptedAt: t.loop.Now()}
	c.timer.Fire = c.timerExpired
	t.connCount++
	c.linkNewest()
	t.loop.StartTimer(&c.timer, firstMessageTimeout)
	return c
}

// Drain implements gateway.ClientTransport. Everything that clients still send gets a response, so connections stay open
// until nothing has been in flight and nothing has arrived for drainQuietPeriod. The listener stays open until no
// connection has been closed for drainQuietPeriod: clients resend a request that crossed with a close on a new connection.
func (t *clientTransport) Drain() {
	t.draining = true
	t.startDrainTimer()
}

// closeConnections starts to close each connection when it becomes idle, although clients still use it: the process is
// about to end, and requests that it has not read by then would be lost.
func (t *clientTransport) closeConnections() {
	t.draining = true
	t.closing = true
	t.closeDrained()
}

// startDrainTimer restarts the quiet period if the transport is draining and nothing is in flight.
func (t *clientTransport) startDrainTimer() {
	if t.draining && !t.closing && len(t.inFlight) == 0 {
		t.loop.StartTimer(&t.drainTimer, drainQuietPeriod)
	}
}

// closeDrained closes the idle connections at the end of the quiet period, and the listener once there are none.
func (t *clientTransport) closeDrained() {
	if !t.closing && len(t.inFlight) > 0 {
		return // the timer is started when the last request is released
	}
	if t.connCount == 0 && t.loop.Now() >= t.lastClosedAt+drainQuietPeriod {
		t.listener.Drain()
	}
	t.closeIdle()
	interval := drainQuietPeriod
	if t.closing {
		interval = closeInterval
	}
	t.loop.StartTimer(&t.drainTimer, interval)
}

// closeIdle closes the idle connections, after handling bytes that are still unread in the kernel. A connection with a partial
// message stays open until its timeout, and a new connection while its first message may be under way.
func (t *clientTransport) closeIdle() {
	for _, c := range t.openClientConns() {
		if c.readUntilQuiet() && !c.partialMessage && c.evictable() {
			c.close(reasonDrained)
		}
	}
}

// openClientConns returns the connections, those with the oldest last message first.
func (t *clientTransport) openClientConns() (conns []*clientConn) {
	for c := t.connRing.next; c != &t.connRing; c = c.next {
		conns = append(conns, c)
	}
	return conns
}

// CloseAll implements gateway.ClientTransport. While reads fail, it retries them for finalReadDuration.
func (t *clientTransport) CloseAll() (unreadCount int) {
	readUntil := t.loop.Clock() + finalReadDuration
	for _, c := range t.openClientConns() {
		empty := c.conn.ReadNow()
		for !empty && !c.closed && t.loop.Clock() < readUntil {
			empty = c.conn.ReadNow()
		}
		if c.closed {
			continue
		}
		if !empty {
			unreadCount++
			t.countDrop(reasonClosedUnread)
		}
		c.conn.Flush()
		c.close(reasonShutdown)
	}
	return unreadCount
}
