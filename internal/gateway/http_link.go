package gateway

import (
	"cmp"
	"strconv"

	"mastchute/control"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
	"mastchute/internal/rules"
)

// httpLink is the way to one worker over HTTP/1.1.
type httpLink struct {
	g *Gateway
	*httpconn.Pool
}

func newHTTPLink(g *Gateway, w *Worker) *httpLink {
	l := g.cfg.Limits
	return &httpLink{g, httpconn.NewPool(g.Loop, w.Addr, httpconn.PoolOptions{MaxConnections: l.WorkerConnections, MaxIdle: l.WorkerIdle,
		IdleTimeout: l.WorkerIdleTimeout.Seconds, ConnectTimeout: l.ConnectTimeout.Seconds,
		OnConnectionLost: func() {
			if w.ConnectionLost() {
				g.greet(w)
			}
		}})}
}

// httpCall is the record of one attempt; it stays with it.
type httpCall struct {
	f       *Attempt
	call    httpconn.Call
	head    []byte
	status  int
	headers []byte // of the answer, for the client
	length  int64  // of the answer, -1 for not told
	told    told
}

// httpOrder is the record of one order; it stays with it.
type httpOrder struct {
	o    *ControlCall
	call httpconn.Call
	head []byte
	body []byte
	told told
}

// SendAttempt implements Link.
func (l *httpLink) SendAttempt(f *Attempt) {
	c, _ := f.TransportState.(*httpCall)
	if c == nil {
		c = &httpCall{f: f}
		c.call.Handler, f.TransportState = c, c
	}
	x := f.Request.Responder.(*httpClient).x
	c.headers, c.status, c.length, c.told = c.headers[:0], 0, -1, told{}
	c.head = l.g.requestHead(c.head[:0], x, f)
	c.call.SendDeadline = f.SendDeadline
	l.Do(&c.call, c.head, x.Body)
}

// RewriteHead implements httpconn.Renewer.
func (c *httpCall) RewriteHead() ([]byte, bool) {
	f := c.f
	now := f.g.Loop.Clock()
	if f.CheckFirstByte(now, now, 0) != rules.Allowed {
		return nil, false
	}
	c.head = f.g.requestHead(c.head[:0], f.Request.Responder.(*httpClient).x, f)
	return c.head, true
}

// CancelAttempt implements Link.
func (l *httpLink) CancelAttempt(f *Attempt) {
	if c, _ := f.TransportState.(*httpCall); c != nil {
		c.call.Cancel()
	}
}

// SentAt implements Link.
func (l *httpLink) SentAt(f *Attempt) float64 {
	if c, _ := f.TransportState.(*httpCall); c != nil {
		return c.call.SentAt
	}
	return 0
}

// FullySent implements Link.
func (l *httpLink) FullySent(f *Attempt) bool {
	c, _ := f.TransportState.(*httpCall)
	return c != nil && c.call.FullySent()
}

// SendControlCall implements Link.
func (l *httpLink) SendControlCall(o *ControlCall) {
	c, _ := o.TransportState.(*httpOrder)
	if c == nil {
		c = &httpOrder{o: o}
		c.call.Handler, o.TransportState = c, c
	}
	c.told = told{}
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
	b = append(b, l.g.cfg.Name...)
	b = append(b, "\r\n"...)
	if method == "POST" {
		b = append(b, "Content-Type: application/json\r\n"...)
		b = httpcodec.AppendLength(b, int64(len(body)))
	}
	c.head, c.body = append(b, "\r\n"...), append(c.body[:0], body...)
	l.Do(&c.call, c.head, c.body)
}

// CancelControlCall implements Link.
func (l *httpLink) CancelControlCall(o *ControlCall) {
	if c, _ := o.TransportState.(*httpOrder); c != nil {
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
		b = g.appendID(b, q)
		b = append(b, "\r\n"...)
	}
	b = append(b, "Mastchute-Inference: "...)
	b = g.appendID(b, q)
	b = append(b, "\r\nMastchute-Forward: "...)
	b = strconv.AppendInt(b, int64(f.Index), 10)
	b = append(b, "\r\nMastchute-Dispatcher: "...)
	b = append(b, g.cfg.Name...)
	b = append(b, "\r\nMastchute-Group: "...)
	b = append(b, q.group.Name...)
	b = append(b, "\r\nMastchute-Timeout: "...)
	b = appendSeconds(b, float64(rules.WorkerDeadlineMillis(g.Loop.Clock(), q.notAfter))/1e3)
	b = append(b, "\r\n"...)
	b = httpcodec.AppendLength(b, int64(len(x.Body)))
	return append(b, "\r\n"...)
}

// ResponseHead implements httpconn.Caller.
func (c *httpCall) ResponseHead(h *httpcodec.Head) {
	f, g := c.f, c.f.g
	c.told = classify(h, g.cfg.Report)
	f.Response = c.told.WorkerResponse
	c.status, c.length = h.Status, h.Length
	g.heard(f.Worker, c.told.start)
	if m := f.Request.model; c.told.Result == control.Succeeded { // what the catalogue does not say, workers may
		m.Memory = cmp.Or(m.Memory, c.told.memory)
		m.Lanes = cmp.Or(m.Lanes, c.told.lanes)
		m.Load = cmp.Or(m.Load, c.told.load)
	}
	if c.told.Result != control.Succeeded || f.Request.answered {
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
		c.stream()
	}
}

// ResponseBody implements httpconn.Caller: an answer is held whole up to a limit, and goes through as it comes beyond it.
func (c *httpCall) ResponseBody(b []byte) {
	f := c.f
	q := f.Request
	switch {
	case c.told.Result != control.Succeeded || q.answered && q.streaming != f:
		return
	case q.streaming == f:
		if !q.Responder.(*httpClient).x.WriteStream(b) {
			c.call.Pause()
		}
	default:
		f.ResponseBody = append(f.ResponseBody, b...)
		if int64(len(f.ResponseBody)) > f.g.cfg.Limits.Answer.Bytes {
			c.stream()
		}
	}
}

// stream begins to pass the answer on as it comes.
func (c *httpCall) stream() {
	f := c.f
	cl := f.Request.Responder.(*httpClient)
	x := cl.x
	b := cl.p.marks(x.StartResponse(c.status), f.Request, answerReturned)
	b = append(b, c.headers...)
	x.StartStream(b, c.length)
	if len(f.ResponseBody) > 0 && !x.WriteStream(f.ResponseBody) {
		c.call.Pause()
	}
	f.ResponseBody = f.ResponseBody[:0]
	f.g.stream(f)
}

// ResponseDone implements httpconn.Caller.
func (c *httpCall) ResponseDone(err error) {
	if err != nil {
		c.f.Finish(lost(err, c.call.AnyByteSent()))
		return
	}
	c.f.Finish(c.told.Result)
}

// ResponseHead implements httpconn.Caller.
func (c *httpOrder) ResponseHead(h *httpcodec.Head) {
	c.told = classify(h, c.o.g.cfg.Report)
	c.o.Response = c.told.WorkerResponse
	c.o.g.heard(c.o.Worker, c.told.start)
}

// ResponseBody implements httpconn.Caller.
func (c *httpOrder) ResponseBody([]byte) {}

// ResponseDone implements httpconn.Caller.
func (c *httpOrder) ResponseDone(err error) {
	if err != nil {
		c.o.Finish(lost(err, c.call.AnyByteSent()))
		return
	}
	c.o.Finish(c.told.Result)
}
