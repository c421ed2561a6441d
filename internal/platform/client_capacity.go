package platform

const (
	firstMessageGrace = 0.03 // s during which a new connection is not closed for capacity: its first message is under way
	maxIdleCandidates = 4    // idle connections that are tried for each new one: reading may show that one is not idle
)

// hasCapacity reports whether another client can be accepted. Until then the client waits in the backlog and is not
// refused. With evict, an idle connection is closed to make capacity.
func (t *clientTransport) hasCapacity(evict bool) bool {
	if t.clientDescriptors() < t.maxConns {
		return true
	}
	if !evict {
		return false
	}
	if t.closeLongestIdle() {
		return true
	}
	t.countDrop(reasonNoDescriptor)
	return false
}

// freeDescriptor closes an idle connection, to a worker if there is one, when the process has run out of descriptors. It
// reports whether one was closed.
func (t *clientTransport) freeDescriptor() bool {
	before := t.openConns()
	t.workers.closeIdleConn()
	if t.openConns() == before {
		t.closeLongestIdle()
	}
	return t.openConns() < before
}

// closeLongestIdle closes the connection that longestIdle returns, unless reading shows that it is not idle. It reports
// whether another client can be accepted now; a connection that lingers for its last response may draw on the reserve.
func (t *clientTransport) closeLongestIdle() bool {
	for range maxIdleCandidates {
		idle := t.longestIdle()
		if idle == nil {
			return false
		}
		idle.conn.ReadNow()
		if idle.isBusy() {
			continue
		}
		if !idle.closed {
			t.countDrop(reasonIdleClosed)
			idle.close(reasonIdleClosed)
		}
		return t.clientDescriptors() < t.maxConns+reservedForClients
	}
	return false
}

// longestIdle returns the idle connection whose last message is oldest, preferably one that has never sent any; nil if
// none is idle.
func (t *clientTransport) longestIdle() *clientConn {
	var idle *clientConn
	for c := t.connRing.next; c != &t.connRing; c = c.next {
		if !c.evictable() {
			continue
		}
		if !c.hasSentMessage {
			return c
		}
		if idle == nil {
			idle = c
		}
	}
	return idle
}

// clientDescriptors returns how many descriptors clients hold, including those of connections that linger for their last
// response.
func (t *clientTransport) clientDescriptors() int { return t.connCount + t.loop.LingeringCount() }

// openConns returns the number of connections to clients and workers.
func (t *clientTransport) openConns() int { return t.connCount + len(t.workers.conns) }

// isBusy reports whether a request is in flight on the connection or is arriving. A connection that has only ever sent part
// of its first message is not busy: its client may be stalled.
func (c *clientConn) isBusy() bool {
	return c.requestCount > 0 || c.partialMessage && c.hasSentMessage
}

// evictable reports whether the connection may be closed to make capacity.
func (c *clientConn) evictable() bool {
	if c.isBusy() {
		return false
	}
	return c.hasSentMessage || c.transport.loop.Now()-c.acceptedAt >= firstMessageGrace
}
