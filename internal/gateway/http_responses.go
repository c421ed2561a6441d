package gateway

import (
	"math"
	"strconv"

	"mastchute/internal/httpconn"
)

// This file implements ResponseWriter over HTTP/1.1, with package httpconn.

// httpResponseWriter implements ResponseWriter for one exchange. It is recycled once the response has been written or the
// client has disconnected.
type httpResponseWriter struct {
	transport *httpClientTransport
	exchange  *httpconn.Exchange
	request   *Request
}

// writerOf returns the writer of an exchange, nil if it has none.
func writerOf(exchange *httpconn.Exchange) *httpResponseWriter {
	w, _ := exchange.ServiceState.(*httpResponseWriter)
	if w == nil || w.exchange != exchange {
		return nil
	}
	return w
}

func (t *httpClientTransport) allocateWriter(exchange *httpconn.Exchange) *httpResponseWriter {
	var w *httpResponseWriter
	if n := len(t.freeWriters); n > 0 {
		w = t.freeWriters[n-1]
		t.freeWriters = t.freeWriters[:n-1]
	} else {
		w = &httpResponseWriter{transport: t}
	}
	w.exchange = exchange
	exchange.ServiceState = w
	return w
}

func (t *httpClientTransport) recycleWriter(w *httpResponseWriter) {
	w.exchange = nil
	w.request = nil
	t.freeWriters = append(t.freeWriters, w)
}

// WriteResponse implements ResponseWriter.
func (w *httpResponseWriter) WriteResponse(r *Request, a *Attempt) {
	exchange := w.exchange
	w.transport.recycleWriter(w)
	if r.streamingAttempt == a {
		exchange.EndStream()
		return
	}
	response := a.TransportState.(*httpAttempt)
	b := w.transport.appendResultHeaders(exchange.StartResponse(response.status), r, outcomeReturned)
	exchange.FinishResponse(append(b, response.headers...), a.ResponseBody)
}

// RetryDelay implements ResponseWriter: Retry-After is in whole seconds.
func (w *httpResponseWriter) RetryDelay(retryAfter float64) float64 { return math.Ceil(retryAfter) }

// WriteShed implements ResponseWriter.
func (w *httpResponseWriter) WriteShed(r *Request, retryAfter float64) {
	exchange := w.exchange
	t := w.transport
	t.recycleWriter(w)
	b := t.appendResultHeaders(exchange.StartResponse(503), r, outcomeShed)
	b = append(b, "Content-Type: application/problem+json\r\nRetry-After: "...)
	b = strconv.AppendInt(b, int64(math.Ceil(retryAfter)), 10)
	b = append(b, "\r\nMastchute-Retry-After: "...)
	b = appendSeconds(b, retryAfter)
	b = append(b, "\r\n"...)
	t.scratch = httpconn.AppendProblem(t.scratch[:0], 503, "no worker can take this now; trying again is harmless")
	exchange.FinishResponse(b, t.scratch)
}

// WriteFailure implements ResponseWriter.
func (w *httpResponseWriter) WriteFailure(r *Request, timedOut bool, why string) {
	exchange := w.exchange
	t := w.transport
	t.recycleWriter(w)
	if r.streamingAttempt != nil { // a response that has begun can only be aborted
		exchange.AbortStream()
		return
	}
	status := 502
	if timedOut {
		status = 504
	}
	b := t.appendResultHeaders(exchange.StartResponse(status), r, outcomeFailed)
	b = append(b, "Content-Type: application/problem+json\r\n"...)
	t.scratch = httpconn.AppendProblem(t.scratch[:0], status, why)
	exchange.FinishResponse(b, t.scratch)
}

// appendResultHeaders appends the headers that every final response has.
func (t *httpClientTransport) appendResultHeaders(b []byte, r *Request, o outcome) []byte {
	b = append(b, "Mastchute-Answer: "...)
	b = append(b, o.String()...)
	b = append(b, "\r\nMastchute-Inference: "...)
	b = t.gateway.appendRequestID(b, r)
	return append(b, "\r\n"...)
}

func appendSeconds(b []byte, seconds float64) []byte {
	return strconv.AppendFloat(b, seconds, 'f', 3, 64)
}
