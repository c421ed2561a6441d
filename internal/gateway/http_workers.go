package gateway

import (
	"cmp"
	"strconv"

	"mastchute/control"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
	"mastchute/internal/rules"
)

// httpWorkerTransport is the way to one worker over HTTP/1.1.
type httpWorkerTransport struct {
	gateway *Gateway
	*httpconn.Pool
}

func newHTTPWorkerTransport(g *Gateway, w *Worker) *httpWorkerTransport {
	l := g.cfg.Limits
	return &httpWorkerTransport{g, httpconn.NewPool(g.Loop, w.Addr, httpconn.PoolOptions{MaxConnections: l.WorkerConnections, MaxIdle: l.WorkerIdle,
		IdleTimeout: l.WorkerIdleTimeout.Seconds, ConnectTimeout: l.ConnectTimeout.Seconds,
		OnConnectionLost: func() {
			if w.ConnectionLost() {
				g.startStartupProbe(w)
			}
		}})}
}

// httpAttempt is the record of one attempt; it stays with it.
type httpAttempt struct {
	attempt       *Attempt
	call          httpconn.Call
	head          []byte
	status        int
	headers       []byte // of the answer, for the client
	contentLength int64  // of the answer, -1 for not told
	metadata      responseMetadata
}

// httpControlCall is the record of one order; it stays with it.
type httpControlCall struct {
	controlCall *ControlCall
	call        httpconn.Call
	head        []byte
	body        []byte
	metadata    responseMetadata
}

// SendAttempt implements Link.
func (l *httpWorkerTransport) SendAttempt(f *Attempt) {
	c, _ := f.TransportState.(*httpAttempt)
	if c == nil {
		c = &httpAttempt{attempt: f}
		c.call.Handler, f.TransportState = c, c
	}
	x := f.Request.Responder.(*httpResponseWriter).exchange
	c.headers, c.status, c.contentLength, c.metadata = c.headers[:0], 0, -1, responseMetadata{}
	c.head = l.gateway.requestHead(c.head[:0], x, f)
	c.call.SendDeadline = f.SendDeadline
	l.Do(&c.call, c.head, x.Body)
}

// RewriteHead implements httpconn.Renewer.
func (c *httpAttempt) RewriteHead() ([]byte, bool) {
	f := c.attempt
	now := f.gateway.Loop.Clock()
	if f.CheckFirstByte(now, now, 0) != rules.Allowed {
		return nil, false
	}
	c.head = f.gateway.requestHead(c.head[:0], f.Request.Responder.(*httpResponseWriter).exchange, f)
	return c.head, true
}

// CancelAttempt implements Link.
func (l *httpWorkerTransport) CancelAttempt(f *Attempt) {
	if c, _ := f.TransportState.(*httpAttempt); c != nil {
		c.call.Cancel()
	}
}

// SentAt implements Link.
func (l *httpWorkerTransport) SentAt(f *Attempt) float64 {
	if c, _ := f.TransportState.(*httpAttempt); c != nil {
		return c.call.SentAt
	}
	return 0
}

// FullySent implements Link.
func (l *httpWorkerTransport) FullySent(f *Attempt) bool {
	c, _ := f.TransportState.(*httpAttempt)
	return c != nil && c.call.FullySent()
}

// SendControlCall implements Link.
func (l *httpWorkerTransport) SendControlCall(o *ControlCall) {
	c, _ := o.TransportState.(*httpControlCall)
	if c == nil {
		c = &httpControlCall{controlCall: o}
		c.call.Handler, o.TransportState = c, c
	}
	c.metadata = responseMetadata{}
	method, target, body := "GET", "/v2/load", ""
	switch o.Kind {
	case CallLoadModel:
		method, target = "POST", "/v2/repository/models/"+o.Model.Name+"/load"
		body = `{"parameters":{"copies":` + strconv.Itoa(o.Replicas) + `}}`
	case CallUnloadModel:
		method, target, body = "POST", "/v2/repository/models/"+o.Model.Name+"/unload", "{}"
	}
	b := httpcodec.AppendRequest(c.head[:0], method, target)
	b = append(b, "Host: "...)
	b = o.Worker.Addr.AppendTo(b)
	b = append(b, "\r\nMastchute-Dispatcher: "...)
	b = append(b, l.gateway.cfg.Name...)
	b = append(b, "\r\n"...)
	if method == "POST" {
		b = append(b, "Content-Type: application/json\r\n"...)
		b = httpcodec.AppendLength(b, int64(len(body)))
	}
	c.head, c.body = append(b, "\r\n"...), append(c.body[:0], body...)
	l.Do(&c.call, c.head, c.body)
}

// CancelControlCall implements Link.
func (l *httpWorkerTransport) CancelControlCall(o *ControlCall) {
	if c, _ := o.TransportState.(*httpControlCall); c != nil {
		c.call.Cancel()
	}
}

// requestHead writes the head of an attempt: the client's headers but those of its connection and ours, then ours.
func (g *Gateway) requestHead(b []byte, x *httpconn.Exchange, f *Attempt) []byte {
	q, h := f.Request, &x.Head
	b = append(b, "POST /v2/models/"...)
	b = append(b, q.model.Name...)
	b = append(b, "/infer HTTP/1.1\r\nHost: "...)
	b = f.Worker.Addr.AppendTo(b)
	b = append(b, "\r\n"...)
	conn, key := h.Get("connection"), false
	for i := range h.Headers {
		n, v := h.Headers[i].Name, h.Headers[i].Value
		if httpcodec.IsHopByHop(n) || len(conn) > 0 && httpcodec.ListContains(conn, n) {
			continue
		}
		if len(n) > 10 && httpcodec.EqualsLower(n[:10], "mastchute-") && !httpcodec.EqualsLower(n, "mastchute-tenant") && !httpcodec.EqualsLower(n, "mastchute-work") {
			continue
		}
		key = key || httpcodec.EqualsLower(n, "idempotency-key")
		b = append(b, n...)
		b = append(b, ": "...)
		b = append(b, v...)
		b = append(b, "\r\n"...)
	}
	if !key && q.group.Effect != "retriable" { // a mark of our own, good for our own retries
		b = append(b, "Idempotency-Key: "...)
		b = g.appendRequestID(b, q)
		b = append(b, "\r\n"...)
	}
	b = append(b, "Mastchute-Inference: "...)
	b = g.appendRequestID(b, q)
	b = append(b, "\r\nMastchute-Forward: "...)
	b = strconv.AppendInt(b, int64(f.Index), 10)
	b = append(b, "\r\nMastchute-Dispatcher: "...)
	b = append(b, g.cfg.Name...)
	b = append(b, "\r\nMastchute-Group: "...)
	b = append(b, q.group.Name...)
	b = append(b, "\r\nMastchute-Timeout: "...)
	b = appendSeconds(b, float64(rules.WorkerDeadlineMillis(g.Loop.Clock(), q.deadline))/1e3)
	b = append(b, "\r\n"...)
	b = httpcodec.AppendLength(b, int64(len(x.Body)))
	return append(b, "\r\n"...)
}

// ResponseHead implements httpconn.Caller.
func (c *httpAttempt) ResponseHead(h *httpcodec.Head) {
	f, g := c.attempt, c.attempt.gateway
	c.metadata = classifyResponse(h, g.cfg.Report)
	f.Response = c.metadata.WorkerResponse
	c.status, c.contentLength = h.Status, h.Length
	g.observeStart(f.Worker, c.metadata.startEpoch)
	if m := f.Request.model; c.metadata.Result == control.Succeeded { // what the catalogue does not say, workers may
		m.Memory = cmp.Or(m.Memory, c.metadata.memoryMB)
		m.Lanes = cmp.Or(m.Lanes, c.metadata.concurrency)
		m.Load = cmp.Or(m.Load, c.metadata.loadSeconds)
	}
	if c.metadata.Result != control.Succeeded || f.Request.finished {
		return
	}
	for i := range h.Headers {
		n := h.Headers[i].Name
		if httpcodec.IsHopByHop(n) || httpcodec.EqualsLower(n, "endpoint-load-metrics") || len(n) > 10 && httpcodec.EqualsLower(n[:10], "mastchute-") {
			continue
		}
		c.headers = append(c.headers, n...)
		c.headers = append(c.headers, ": "...)
		c.headers = append(c.headers, h.Headers[i].Value...)
		c.headers = append(c.headers, "\r\n"...)
	}
	if h.Length > g.cfg.Limits.Answer.Bytes {
		c.startStreaming()
	}
}

// ResponseBody implements httpconn.Caller: an answer is held whole up to a limit, and goes through as it comes beyond it.
func (c *httpAttempt) ResponseBody(b []byte) {
	f := c.attempt
	q := f.Request
	switch {
	case c.metadata.Result != control.Succeeded || q.finished && q.streamingAttempt != f:
		return
	case q.streamingAttempt == f:
		if !q.Responder.(*httpResponseWriter).exchange.WriteStream(b) {
			c.call.Pause()
		}
	default:
		f.ResponseBody = append(f.ResponseBody, b...)
		if int64(len(f.ResponseBody)) > f.gateway.cfg.Limits.Answer.Bytes {
			c.startStreaming()
		}
	}
}

// startStreaming begins to pass the answer on as it comes.
func (c *httpAttempt) startStreaming() {
	f := c.attempt
	cl := f.Request.Responder.(*httpResponseWriter)
	x := cl.exchange
	b := cl.transport.appendMarkHeaders(x.StartResponse(c.status), f.Request, outcomeReturned)
	b = append(b, c.headers...)
	x.StartStream(b, c.contentLength)
	if len(f.ResponseBody) > 0 && !x.WriteStream(f.ResponseBody) {
		c.call.Pause()
	}
	f.ResponseBody = f.ResponseBody[:0]
	f.gateway.startStreaming(f)
}

// ResponseDone implements httpconn.Caller.
func (c *httpAttempt) ResponseDone(err error) {
	if err != nil {
		c.attempt.Finish(resultOfError(err, c.call.AnyByteSent()))
		return
	}
	c.attempt.Finish(c.metadata.Result)
}

// ResponseHead implements httpconn.Caller.
func (c *httpControlCall) ResponseHead(h *httpcodec.Head) {
	c.metadata = classifyResponse(h, c.controlCall.gateway.cfg.Report)
	c.controlCall.Response = c.metadata.WorkerResponse
	c.controlCall.gateway.observeStart(c.controlCall.Worker, c.metadata.startEpoch)
}

// ResponseBody implements httpconn.Caller.
func (c *httpControlCall) ResponseBody([]byte) {}

// ResponseDone implements httpconn.Caller.
func (c *httpControlCall) ResponseDone(err error) {
	if err != nil {
		c.controlCall.Finish(resultOfError(err, c.call.AnyByteSent()))
		return
	}
	c.controlCall.Finish(c.metadata.Result)
}
