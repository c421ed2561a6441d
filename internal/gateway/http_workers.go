package gateway

import (
	"cmp"

	"mastchute/control"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
	"mastchute/internal/incarnation"
	"mastchute/internal/rules"
)

// This file implements WorkerTransport over HTTP/1.1, with the connection pool of package httpconn.

// httpWorkerTransport implements WorkerTransport. The embedded pool provides the methods that concern connections.
type httpWorkerTransport struct {
	gateway *Gateway
	*httpconn.Pool
}

func newHTTPWorkerTransport(g *Gateway, w *Worker) *httpWorkerTransport {
	limits := g.cfg.Limits
	pool := httpconn.NewPool(g.Loop, w.Addr, httpconn.PoolOptions{
		MaxConnections: limits.WorkerConnections,
		MaxIdle:        limits.MaxIdleWorkerConnections,
		IdleTimeout:    limits.WorkerIdleTimeout.Seconds,
		ConnectTimeout: limits.ConnectTimeout.Seconds,
		Address:        w.Address(),
		OnConnectionLost: func() {
			if w.ConnectionLost() {
				g.sendStartupProbe(w)
			}
		},
		OnChange: func() { g.WorkerConnectionsChanged(w) },
	})
	return &httpWorkerTransport{gateway: g, Pool: pool}
}

// httpAttempt is the transport state of an attempt. It implements httpconn.ResponseHandler and httpconn.SendHandler.
type httpAttempt struct {
	attempt       *Attempt
	call          httpconn.Call
	head          []byte // of the request
	status        int
	headers       []byte // of the response, as sent to the client
	contentLength int64  // of the response, -1 if not known
	metadata      responseMetadata
}

// SendAttempt implements WorkerTransport.
func (t *httpWorkerTransport) SendAttempt(a *Attempt) {
	state, _ := a.TransportState.(*httpAttempt)
	if state == nil {
		state = &httpAttempt{attempt: a}
		state.call.Handler = state
		a.TransportState = state
	}
	exchange := exchangeOf(a)
	state.status = 0
	state.headers = state.headers[:0]
	state.contentLength = -1
	state.metadata = responseMetadata{}
	state.head = t.gateway.appendAttemptHead(state.head[:0], a, exchange)
	t.Do(&state.call, state.head, exchange.Body)
}

// exchangeOf returns the client's exchange for an attempt whose request has no final response yet.
func exchangeOf(a *Attempt) *httpconn.Exchange {
	return a.Request.Writer.(*httpResponseWriter).exchange
}

// CancelAttempt implements WorkerTransport.
func (t *httpWorkerTransport) CancelAttempt(a *Attempt) {
	state, _ := a.TransportState.(*httpAttempt)
	if state != nil {
		state.call.Cancel()
	}
}

// SentAt implements WorkerTransport.
func (t *httpWorkerTransport) SentAt(a *Attempt) float64 {
	state, _ := a.TransportState.(*httpAttempt)
	if state == nil {
		return 0
	}
	return state.call.SentAt
}

// ConnectionOf implements WorkerTransport.
func (t *httpWorkerTransport) ConnectionOf(a *Attempt) *incarnation.Connection {
	state, _ := a.TransportState.(*httpAttempt)
	if state == nil {
		return nil
	}
	return state.call.Connection
}

// CommandSentAt implements WorkerTransport.
func (t *httpWorkerTransport) CommandSentAt(c *WorkerCommand) float64 {
	state, _ := c.TransportState.(*httpWorkerCommand)
	if state == nil {
		return 0
	}
	return state.call.SentAt
}

// FullySent implements WorkerTransport.
func (t *httpWorkerTransport) FullySent(a *Attempt) bool {
	state, _ := a.TransportState.(*httpAttempt)
	return state != nil && state.call.FullySent()
}

// Prefers implements httpconn.SendHandler.
func (h *httpAttempt) Prefers(connection *incarnation.Connection) bool {
	return h.attempt.Prefers(connection, h.attempt.gateway.Loop.Now())
}

// Sent implements httpconn.SendHandler.
func (h *httpAttempt) Sent() { h.attempt.gateway.AttemptWritten(h.attempt) }

// MaySend implements httpconn.SendHandler.
func (h *httpAttempt) MaySend(connection *incarnation.Connection) bool {
	now := h.attempt.gateway.Loop.Clock()
	return h.attempt.CheckFirstByte(connection, now, now, 0) == rules.Allowed
}

// RewriteHead implements httpconn.SendHandler. It encodes the head of an attempt that has waited for a connection again, with
// the time that is left now.
func (h *httpAttempt) RewriteHead() []byte {
	h.head = h.attempt.gateway.appendAttemptHead(h.head[:0], h.attempt, exchangeOf(h.attempt))
	return h.head
}

// ResponseHead implements httpconn.ResponseHandler.
func (h *httpAttempt) ResponseHead(head *httpcodec.Head) {
	a := h.attempt
	g := a.gateway
	h.metadata = classifyResponse(head, g.cfg.LoadReportFields)
	h.status = head.Status
	h.contentLength = head.ContentLength
	a.Response = h.metadata.WorkerResponse
	g.observeStart(a.Worker, h.metadata.startEpoch)
	if h.metadata.Result != control.Succeeded {
		return
	}
	// Workers may report properties of the model that the catalogue does not state.
	model := a.Request.model
	model.MemoryMB = cmp.Or(model.MemoryMB, h.metadata.memoryMB)
	model.Concurrency = cmp.Or(model.Concurrency, h.metadata.concurrency)
	model.LoadSeconds = cmp.Or(model.LoadSeconds, h.metadata.loadSeconds)
	if a.Request.finished {
		return
	}
	h.headers = appendReturnedHeaders(h.headers, head)
	if head.ContentLength > g.cfg.Limits.Response.Bytes {
		h.startStreaming()
	}
}

// ResponseBody implements httpconn.ResponseHandler. It buffers a response up to a limit, so that a retry can replace a
// truncated one, and streams a longer one.
func (h *httpAttempt) ResponseBody(data []byte) {
	a := h.attempt
	r := a.Request
	switch {
	case h.metadata.Result != control.Succeeded || r.finished && r.streamingAttempt != a:
		return
	case r.streamingAttempt == a:
		if !exchangeOf(a).WriteStream(data) {
			h.call.Pause()
		}
	default:
		a.ResponseBody = append(a.ResponseBody, data...)
		if int64(len(a.ResponseBody)) > a.gateway.cfg.Limits.Response.Bytes {
			h.startStreaming()
		}
	}
}

// startStreaming starts the client's response with the part of the worker's response that has been received.
func (h *httpAttempt) startStreaming() {
	a := h.attempt
	w := a.Request.Writer.(*httpResponseWriter)
	exchange := w.exchange
	b := w.transport.appendResultHeaders(exchange.StartResponse(h.status), a.Request, outcomeReturned)
	b = append(b, h.headers...)
	exchange.StartStream(b, h.contentLength)
	if len(a.ResponseBody) > 0 && !exchange.WriteStream(a.ResponseBody) {
		h.call.Pause()
	}
	a.ResponseBody = a.ResponseBody[:0]
	a.gateway.startStreaming(a)
}

// ResponseDone implements httpconn.ResponseHandler.
func (h *httpAttempt) ResponseDone(err error) {
	h.attempt.Finish(finalResult(&h.call, h.metadata.Result, err))
}

// finalResult returns the result of a finished call: the one that the response reports, or that of err if it is not nil.
func finalResult(call *httpconn.Call, result control.Result, err error) control.Result {
	if err != nil {
		return resultOfError(err, call.AnyByteSent())
	}
	return result
}
