package platform

import (
	"math"

	"mastchute/control"
	"mastchute/internal/gateway"
	"mastchute/internal/thrift"
)

const (
	maxPooledBodyBytes = 4 << 10 // bytes of body capacity beyond which a record is not pooled
	maxPooledRequests  = 256     // records pooled at most
)

// requestID identifies a request to its client, its worker and its trace: 16 hex digits, chosen by the client.
type requestID [16]byte

// clientRequest is one request as its client sent it. It implements gateway.ResponseWriter. Records are pooled: one belongs
// to its connection from acceptRequest until release, and its slices are reused afterwards.
type clientRequest struct {
	conn           *clientConn
	gatewayRequest *gateway.Request
	next           *clientRequest // on the same connection
	seqID          int32          // Thrift sequence id, which the response repeats
	id             requestID
	group          []byte
	idempotencyKey []byte // empty if the client sent none
	body           []byte
}

// parseModelID parses the 16 lower-case hex digits of a model's name.
func parseModelID(name []byte) control.ModelID {
	id := uint64(0)
	for _, char := range name {
		digit := uint64(char - '0')
		if char >= 'a' {
			digit = uint64(char-'a') + 10
		}
		id = id<<4 | digit
	}
	return control.ModelID(id)
}

// retryAfterMillis converts a Retry-After in seconds to milliseconds. It returns 0, which is not sent, if the settings do
// not allow one.
func (t *clientTransport) retryAfterMillis(retryAfter float64) int64 {
	if !t.sendRetryAfter {
		return 0
	}
	return int64(math.Ceil(retryAfter * 1e3))
}

// newRequest returns a pooled record, or a new one if the pool is empty. The slices of a pooled record hold old content.
func (t *clientTransport) newRequest() *clientRequest {
	last := len(t.freeRequests) - 1
	if last < 0 {
		return &clientRequest{}
	}
	request := t.freeRequests[last]
	t.freeRequests = t.freeRequests[:last]
	return request
}

// recycle returns a record to the pool unless the pool is full or the record's body buffer is too large.
func (t *clientTransport) recycle(request *clientRequest) {
	if len(t.freeRequests) < maxPooledRequests && cap(request.body) <= maxPooledBodyBytes {
		t.freeRequests = append(t.freeRequests, request)
	}
}

// release releases the record of a request after its response, or after its client cancelled it or disconnected.
func (r *clientRequest) release() {
	conn := r.conn
	transport := conn.transport
	conn.removeRequest(r)
	delete(transport.inFlight, r.id)
	transport.bodyBytes -= int64(len(r.body))
	r.conn = nil
	r.gatewayRequest = nil
	transport.recycle(r)
	conn.onRequestReleased()
	transport.startDrainTimer()
}

// WriteResponse implements gateway.ResponseWriter.
func (r *clientRequest) WriteResponse(_ *gateway.Request, attempt *gateway.Attempt) {
	r.conn.write(thrift.AppendResponse(r.conn.scratch(), r.seqID, attempt.ResponseBody))
	r.release()
}

// RetryDelay implements gateway.ResponseWriter: the time is sent in whole milliseconds.
func (r *clientRequest) RetryDelay(retryAfter float64) float64 {
	return float64(r.conn.transport.retryAfterMillis(retryAfter)) / 1e3
}

// WriteShed implements gateway.ResponseWriter.
func (r *clientRequest) WriteShed(_ *gateway.Request, retryAfter float64) {
	r.conn.write(thrift.AppendShed(r.conn.scratch(), r.seqID, r.conn.transport.retryAfterMillis(retryAfter)))
	r.release()
}

// WriteFailure implements gateway.ResponseWriter.
func (r *clientRequest) WriteFailure(_ *gateway.Request, _ bool, reason string) {
	r.conn.write(thrift.AppendFailure(r.conn.scratch(), r.seqID, reason))
	r.release()
}
