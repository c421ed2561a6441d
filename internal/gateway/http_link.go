package gateway

import (
	"cmp"
	"strconv"

	"mastchute/control"
	"mastchute/internal/h1"
	"mastchute/internal/http1"
	"mastchute/internal/permit"
)

// httpLink is the way to one worker over HTTP/1.1.
type httpLink struct {
	g *Gateway
	*h1.Pool
}

func newHTTPLink(g *Gateway, w *Worker) *httpLink {
	l := g.cfg.Limits
	return &httpLink{g, h1.NewPool(g.Loop, w.Addr, h1.PoolOptions{Conns: l.WorkerConnections, Idle: l.WorkerIdle,
		IdleTimeout: l.WorkerIdleTimeout.Seconds, ConnectTimeout: l.ConnectTimeout.Seconds,
		Lost: func() {
			if w.Lost() {
				g.greet(w)
			}
		}})}
}

// httpCall is the record of one attempt; it stays with it.
type httpCall struct {
	f       *Attempt
	call    h1.Call
	head    []byte
	status  int
	headers []byte // of the answer, for the client
	length  int64  // of the answer, -1 for not told
	told    told
}

// httpOrder is the record of one order; it stays with it.
type httpOrder struct {
	o    *Order
	call h1.Call
	head []byte
	body []byte
	told told
}

// Send implements Link.
func (l *httpLink) Send(f *Attempt) {
	c, _ := f.Call.(*httpCall)
	if c == nil {
		c = &httpCall{f: f}
		c.call.Caller, f.Call = c, c
	}
	x := f.Request.Client.(*httpClient).x
	c.headers, c.status, c.length, c.told = c.headers[:0], 0, -1, told{}
	c.head = l.g.requestHead(c.head[:0], x, f)
	c.call.NotAfter = f.NotAfter
	l.Do(&c.call, c.head, x.Body)
}

// Renew implements h1.Renewer.
func (c *httpCall) Renew() ([]byte, bool) {
	f := c.f
	now := f.g.Loop.Clock()
	if f.Permit(now, now, 0) != permit.Allowed {
		return nil, false
	}
	c.head = f.g.requestHead(c.head[:0], f.Request.Client.(*httpClient).x, f)
	return c.head, true
}

// Cancel implements Link.
func (l *httpLink) Cancel(f *Attempt) {
	if c, _ := f.Call.(*httpCall); c != nil {
		c.call.Cancel()
	}
}

// Handed implements Link.
func (l *httpLink) Handed(f *Attempt) float64 {
	if c, _ := f.Call.(*httpCall); c != nil {
		return c.call.Peek
	}
	return 0
}

// Whole implements Link.
func (l *httpLink) Whole(f *Attempt) bool {
	c, _ := f.Call.(*httpCall)
	return c != nil && c.call.Whole()
}

// Order implements Link.
func (l *httpLink) Order(o *Order) {
	c, _ := o.Call.(*httpOrder)
	if c == nil {
		c = &httpOrder{o: o}
		c.call.Caller, o.Call = c, c
	}
	c.told = told{}
	method, target, body := "GET", "/v2/load", ""
	switch o.Kind {
	case OrderLoad:
		method, target = "POST", "/v2/repository/models/"+o.Model.Name+"/load"
		body = `{"parameters":{"copies":` + strconv.Itoa(o.Copies) + `}}`
	case OrderUnload:
		method, target, body = "POST", "/v2/repository/models/"+o.Model.Name+"/unload", "{}"
	}
	b := http1.AppendRequest(c.head[:0], method, target)
	b = append(b, "Host: "...)
	b = o.Worker.Addr.AppendTo(b)
	b = append(b, "\r\nMastchute-Dispatcher: "...)
	b = append(b, l.g.cfg.Name...)
	b = append(b, "\r\n"...)
	if method == "POST" {
		b = append(b, "Content-Type: application/json\r\n"...)
		b = http1.AppendLength(b, int64(len(body)))
	}
	c.head, c.body = append(b, "\r\n"...), append(c.body[:0], body...)
	l.Do(&c.call, c.head, c.body)
}

// Drop implements Link.
func (l *httpLink) Drop(o *Order) {
	if c, _ := o.Call.(*httpOrder); c != nil {
		c.call.Cancel()
	}
}

// requestHead writes the head of an attempt: the client's headers but those of its connection and ours, then ours.
func (g *Gateway) requestHead(b []byte, x *h1.Exchange, f *Attempt) []byte {
	q, h := f.Request, &x.Head
	b = append(b, "POST /v2/models/"...)
	b = append(b, q.model.Name...)
	b = append(b, "/infer HTTP/1.1\r\nHost: "...)
	b = f.Worker.Addr.AppendTo(b)
	b = append(b, "\r\n"...)
	conn, key := h.Get("connection"), false
	for i := range h.Headers {
		n, v := h.Headers[i].Name, h.Headers[i].Value
		if http1.HopByHop(n) || len(conn) > 0 && http1.Listed(conn, n) {
			continue
		}
		if len(n) > 10 && http1.Is(n[:10], "mastchute-") && !http1.Is(n, "mastchute-tenant") && !http1.Is(n, "mastchute-work") {
			continue
		}
		key = key || http1.Is(n, "idempotency-key")
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
	b = appendSeconds(b, float64(permit.Budget(g.Loop.Clock(), q.notAfter))/1e3)
	b = append(b, "\r\n"...)
	b = http1.AppendLength(b, int64(len(x.Body)))
	return append(b, "\r\n"...)
}

// Head implements h1.Caller.
func (c *httpCall) Head(h *http1.Head) {
	f, g := c.f, c.f.g
	c.told = classify(h, g.cfg.Report)
	f.Reply = c.told.Reply
	c.status, c.length = h.Status, h.Length
	g.heard(f.Worker, c.told.start)
	if m := f.Request.model; c.told.Result == control.Returned { // what the catalogue does not say, workers may
		m.Memory = cmp.Or(m.Memory, c.told.memory)
		m.Lanes = cmp.Or(m.Lanes, c.told.lanes)
		m.Load = cmp.Or(m.Load, c.told.load)
	}
	if c.told.Result != control.Returned || f.Request.answered {
		return
	}
	for i := range h.Headers {
		n := h.Headers[i].Name
		if http1.HopByHop(n) || http1.Is(n, "endpoint-load-metrics") || len(n) > 10 && http1.Is(n[:10], "mastchute-") {
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

// Body implements h1.Caller: an answer is held whole up to a limit, and goes through as it comes beyond it.
func (c *httpCall) Body(b []byte) {
	f := c.f
	q := f.Request
	switch {
	case c.told.Result != control.Returned || q.answered && q.streaming != f:
		return
	case q.streaming == f:
		if !q.Client.(*httpClient).x.Write(b) {
			c.call.Pause()
		}
	default:
		f.Body = append(f.Body, b...)
		if int64(len(f.Body)) > f.g.cfg.Limits.Answer.Bytes {
			c.stream()
		}
	}
}

// stream begins to pass the answer on as it comes.
func (c *httpCall) stream() {
	f := c.f
	cl := f.Request.Client.(*httpClient)
	x := cl.x
	b := cl.p.marks(x.Start(c.status), f.Request, answerReturned)
	b = append(b, c.headers...)
	x.Stream(b, c.length)
	if len(f.Body) > 0 && !x.Write(f.Body) {
		c.call.Pause()
	}
	f.Body = f.Body[:0]
	f.g.stream(f)
}

// End implements h1.Caller.
func (c *httpCall) End(err error) {
	if err != nil {
		c.f.End(lost(err, c.call.Wrote()))
		return
	}
	c.f.End(c.told.Result)
}

// Head implements h1.Caller.
func (c *httpOrder) Head(h *http1.Head) {
	c.told = classify(h, c.o.g.cfg.Report)
	c.o.Reply = c.told.Reply
	c.o.g.heard(c.o.Worker, c.told.start)
}

// Body implements h1.Caller.
func (c *httpOrder) Body([]byte) {}

// End implements h1.Caller.
func (c *httpOrder) End(err error) {
	if err != nil {
		c.o.End(lost(err, c.call.Wrote()))
		return
	}
	c.o.End(c.told.Result)
}
