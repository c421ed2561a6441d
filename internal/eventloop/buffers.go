//go:build linux

package eventloop

// acquireBuffer returns an empty buffer. The caller may grow it and returns it with recycleBuffer.
func (l *Loop) acquireBuffer() []byte {
	if n := len(l.freeBuffers); n > 0 {
		b := l.freeBuffers[n-1]
		l.freeBuffers = l.freeBuffers[:n-1]
		return b
	}
	return make([]byte, 0, initialBufferBytes)
}

// recycleBuffer keeps a buffer for reuse, unless it is nil or too large or there are maxFreeBuffers already.
func (l *Loop) recycleBuffer(b []byte) {
	if cap(b) > 0 && cap(b) <= maxRecycledBufferBytes && len(l.freeBuffers) < maxFreeBuffers {
		l.freeBuffers = append(l.freeBuffers, b[:0])
	}
}
