package platform

import (
	"errors"
	"slices"
	"syscall"

	"mastchute/control"
	"mastchute/internal/eventloop"
)

// This file chooses the connection that carries a call, and opens and removes the connections of a workerTransport.

const (
	maxConnsWithSpare  = 4 // connections to a worker up to which a spare one is opened: a malformed response fails all calls on its own
	spareConnThreshold = 3 // calls on each connection at which a spare one is opened; fewer would cost workers more handshakes
)

// leastLoadedConn returns the connection with the fewest calls in flight that may carry a call, nil if none has capacity. It
// prefers one on which an attempt reaches a process that is certain.
func (t *workerTransport) leastLoadedConn(call *workerCall) *workerConn {
	var best *workerConn
	isBestPreferred := false
	for _, conn := range t.conns {
		if !conn.hasCapacity() || !call.mayUse(conn) {
			continue
		}
		isPreferred := call.prefers(conn)
		isBetter := best == nil || isPreferred && !isBestPreferred || isPreferred == isBestPreferred && len(conn.inFlight) < len(best.inFlight)
		if isBetter {
			best = conn
			isBestPreferred = isPreferred
		}
	}
	return best
}

// connectIfNeeded opens another connection if queued calls need one, or a spare one if every connection is loaded.
func (t *workerTransport) connectIfNeeded() {
	if !t.needsConn() && !t.needsSpareConn() {
		return
	}
	pool := t.pool
	if len(pool.conns) >= pool.maxConns {
		if len(t.conns) > 0 && !t.hasCallWithoutConn() {
			return
		}
		if !pool.acquireDescriptor() {
			pool.awaitingDescriptor = append(pool.awaitingDescriptor, t)
			return
		}
	}
	t.connect()
}

// needsConn reports whether more calls are queued than the connections that are being established can carry. Calls that may not
// be written to a new connection do not count.
func (t *workerTransport) needsConn() bool {
	waiting := 0
	for _, call := range t.queue {
		if call.mayUseNew() {
			waiting++
		}
	}
	return waiting > t.connectingCount()*t.pool.maxStreams
}

// hasCallWithoutConn reports whether there is a queued call that may use none of the connections.
func (t *workerTransport) hasCallWithoutConn() bool {
	return slices.ContainsFunc(t.queue, t.hasNoConnFor)
}

// hasNoConnFor reports whether a call may use none of the connections, however little they carry.
func (t *workerTransport) hasNoConnFor(call *workerCall) bool {
	return !slices.ContainsFunc(t.conns, call.mayUse)
}

// needsSpareConn reports whether each of the connections is established and carries spareConnThreshold calls or more.
func (t *workerTransport) needsSpareConn() bool {
	if len(t.queue) > 0 || len(t.conns) == 0 || len(t.conns) >= maxConnsWithSpare || t.closed {
		return false
	}
	for _, conn := range t.conns {
		if !conn.established || len(conn.inFlight) < spareConnThreshold {
			return false
		}
	}
	return true
}

// connectingCount returns how many connections are being established.
func (t *workerTransport) connectingCount() int {
	n := 0
	for _, conn := range t.conns {
		if !conn.established {
			n++
		}
	}
	return n
}

// connect starts to establish a connection.
func (t *workerTransport) connect() {
	t.pool.lastConnNumber++
	conn := &workerConn{transport: t, number: t.pool.lastConnNumber, incarnation: t.address.Connect(t.pool.loop.Now())}
	conn.timer.Fire = conn.timerExpired
	t.conns = append(t.conns, conn)
	t.pool.conns[conn] = struct{}{}
	conn.conn = t.pool.loop.Dial(t.addr, t.pool.connectTimeout, conn)
}

// connectFailed finishes the queued calls that no other connection may carry. A local failure is not
// attributed to the worker.
func (t *workerTransport) connectFailed(conn *workerConn, err error) {
	result := control.ConnectFailed
	var localErr *eventloop.LocalError
	if errors.As(err, &localErr) {
		result = control.NotSent
		t.pool.clients.countDrop(reasonLocalConnectFailure)
	}
	t.removeConn(conn)
	t.reportReset(err)
	t.finishQueuedWithoutConn(result)
	if len(t.queue) > 0 {
		t.scheduleQueue()
	}
}

// finishQueuedWithoutConn finishes the queued calls that may use none of the connections.
func (t *workerTransport) finishQueuedWithoutConn(result control.Result) {
	var failed []*workerCall
	left := t.queue[:0]
	for _, call := range t.queue {
		if t.hasNoConnFor(call) {
			failed = append(failed, call)
		} else {
			left = append(left, call)
		}
	}
	clear(t.queue[len(left):])
	t.queue = left
	for _, call := range failed {
		call.queued = false
		call.finish(result)
	}
}

// reportReset reports to the gateway that the worker reset or refused a connection. It does not while another connection is
// established: a worker process that ends resets all of its connections.
func (t *workerTransport) reportReset(err error) {
	isReset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EPIPE)
	if !isReset || t.closed {
		return
	}
	for _, conn := range t.conns {
		if conn.established {
			return
		}
	}
	t.pool.gateway.WorkerConnectionsLost(t.worker)
}

// removeConn removes a closed connection from the transport and the pool.
func (t *workerTransport) removeConn(conn *workerConn) {
	conn.closed = true
	t.pool.loop.CancelTimer(&conn.timer)
	for i, other := range t.conns {
		if other == conn {
			t.conns = append(t.conns[:i], t.conns[i+1:]...)
			conn.incarnation.Closed()
			t.pool.gateway.WorkerConnectionsChanged(t.worker)
			delete(t.pool.conns, conn)
			t.pool.onCapacityFreed()
			return
		}
	}
}
