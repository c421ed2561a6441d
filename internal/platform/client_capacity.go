package platform

const (
	firstMessageGrace   = 0.03 // s during which a new connection is not closed to free capacity: its first message may be under way
	partialMessageGrace = 0.1  // s during which the rest of a message may be under way: a client sends it with one write
	maxIdleCandidates   = 4    // idle connections tried for each new one: reading may show that a connection is not idle
)

// hasCapacity reports whether another client can be accepted. A client that cannot be accepted waits in the accept queue.
// If evict is set, an idle connection is closed to free capacity.
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

// freeDescriptor is called when the process has run out of descriptors. It closes an idle connection, preferably one to a
// worker, and reports whether it closed one.
func (t *clientTransport) freeDescriptor() bool {
	before := t.openConns()
	t.workers.closeIdleConn()
	if t.openConns() == before {
		t.closeLongestIdle()
	}
	return t.openConns() < before
}

// closeLongestIdle closes the connection that longestIdle returns, unless reading shows that it is not idle. It reports
// whether another client can be accepted now; the reserve covers closed connections that still flush their last response.
func (t *clientTransport) closeLongestIdle() bool {
	for range maxIdleCandidates {
		idle := t.longestIdle()
		if idle == nil {
			return false
		}
		quiet := idle.readUntilQuiet()
		if !idle.closed {
			if !quiet || idle.isBusy() {
				idle.unlink()
				idle.linkNewest() // others are tried first
				continue
			}
			t.countDrop(reasonIdleClosed)
			idle.close(reasonIdleClosed)
		}
		return t.clientDescriptors() < t.maxConns+reservedForClients
	}
	return false
}

// longestIdle returns the idle connection whose last message is oldest, preferably one that has never sent a message; nil
// if none is idle.
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

// clientDescriptors returns how many descriptors client connections use, including closed ones that still flush their last
// response.
func (t *clientTransport) clientDescriptors() int { return t.connCount + t.loop.LingeringCount() }

// openConns returns the number of connections to clients and workers.
func (t *clientTransport) openConns() int { return t.connCount + len(t.workers.conns) }

// isBusy reports whether a request is in flight or arriving on the connection. The rest of a message is arriving for
// partialMessageGrace after its first part. A connection that has sent only a part of its first message is not busy: its client may
// be stalled.
func (c *clientConn) isBusy() bool {
	if c.requestCount > 0 {
		return true
	}
	isArriving := c.partialMessage && c.transport.loop.Now()-c.partialSince < partialMessageGrace
	return isArriving && c.hasSentMessage
}

// evictable reports whether the connection may be closed to free capacity.
func (c *clientConn) evictable() bool {
	if c.isBusy() {
		return false
	}
	return c.hasSentMessage || c.transport.loop.Now()-c.acceptedAt >= firstMessageGrace
}
