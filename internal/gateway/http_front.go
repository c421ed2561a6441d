package gateway

import (
	"math"
	"net/netip"
	"path"
	"strconv"

	"github.com/rs/zerolog"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
	"mastchute/internal/membership"
)

// NewHTTP makes a gateway that listens for HTTP/1.1 as configured. Run the loop to serve; at must be the configured address.
func NewHTTP(l *eventloop.Loop, cfg *config.Config, log zerolog.Logger, start NewModule) (*Gateway, error) {
	list, err := MembershipEntries(cfg.Workers)
	if err != nil {
		return nil, err
	}
	return New(l, Options{Config: cfg, Settings: cfg.Settings(), Seed: cfg.Seed, Source: membership.SourceConfig, Workers: list,
		NewClientTransport: func(g *Gateway) (ClientTransport, error) { return newHTTP(g) }}, log, start)
}

// Addr is the address that HTTP/1.1 listens on. Safe before the loop runs.
func (g *Gateway) Addr() netip.AddrPort { return g.front.(*httpFront).server.Addr() }

// httpFront takes clients in over HTTP/1.1.
type httpFront struct {
	g       *Gateway
	server  *httpconn.Server
	budget  httpconn.MemoryBudget
	free    []*httpClient
	scratch []byte
}

func newHTTP(g *Gateway) (*httpFront, error) {
	p := &httpFront{g: g}
	lim := g.cfg.Limits
	p.budget.Limit = lim.Memory.Bytes
	at, err := netip.ParseAddrPort(g.cfg.Listen)
	if err != nil {
		return nil, err
	}
	p.server, err = httpconn.NewServer(g.Loop, at, p, httpconn.ServerOptions{
		Limits:      httpcodec.Limits{Line: min(8<<10, int(lim.Head.Bytes)), Head: int(lim.Head.Bytes), Headers: 100, Body: lim.Body.Bytes},
		IdleTimeout: lim.IdleTimeout.Seconds, HeadTimeout: lim.HeadTimeout.Seconds, BodyTimeout: lim.BodyTimeout.Seconds,
		Budget: &p.budget})
	return p, err
}

// Drain, Conns, Held and Link implement Front.
func (p *httpFront) Drain()                                       { p.server.Drain() }
func (p *httpFront) ConnectionCount() int                         { return p.server.ConnectionCount() }
func (p *httpFront) BufferedBytes() int64                         { return p.budget.Used }
func (p *httpFront) NewWorkerTransport(w *Worker) WorkerTransport { return newHTTPLink(p.g, w) }

// httpClient is the client's side of one request.
type httpClient struct {
	p *httpFront
	x *httpconn.Exchange
	q *Request
}

func matches(pattern, name string) bool {
	ok, err := path.Match(pattern, name)
	return ok && err == nil
}

// HeadReceived implements httpconn.Service: refusals before the body is read, and the small paths.
func (p *httpFront) HeadReceived(x *httpconn.Exchange) bool {
	g := p.g
	h := &x.Head
	name, verb, ok := modelPath(h.Target)
	switch {
	case ok && string(verb) == "infer":
		if !httpcodec.EqualsLower(h.Method, "post") {
			return p.refuse(x, "method", 405, "write POST")
		}
	case ok && string(verb) == "ready" && (httpcodec.EqualsLower(h.Method, "get") || httpcodec.EqualsLower(h.Method, "head")):
		m, err := g.lookup(name)
		if m == nil || err != nil {
			return p.refuse(x, "unknown_model", 404, "no such model in the catalogue")
		}
		return p.health(x, g.ready())
	case string(h.Target) == "/v2/health/live":
		return p.health(x, g.exit.PanicMessage == "")
	case string(h.Target) == "/v2/health/ready":
		return p.health(x, g.ready())
	default:
		return p.refuse(x, "path", 404, "no such path; inferences go to POST /v2/models/NAME/infer")
	}
	m, err := g.lookup(name)
	switch {
	case err != nil:
		return p.refuse(x, "model_id", 409, "this model cannot be taken: "+err.Error())
	case m == nil:
		return p.refuse(x, "unknown_model", 404, "no such model in the catalogue")
	case !g.Serving():
		x.CloseAfter()
		return p.refuse(x, "stopping", 503, "the dispatcher is stopping")
	case g.inFlight >= g.cfg.Limits.Requests:
		return p.refuse(x, "too_many", 503, "too many inferences are in hand")
	}
	if t := h.Get("mastchute-tenant"); len(t) > 0 && len(g.tenants) > 0 {
		if _, ok := g.tenants[string(t)]; !ok {
			return p.refuse(x, "unknown_tenant", 400, "no such tenant in the settings")
		}
	}
	for _, n := range []string{"mastchute-timeout", "mastchute-work"} {
		if v := h.Get(n); v != nil && !(number(v) > 0) {
			return p.refuse(x, "header", 400, n+" is no positive decimal number of seconds")
		}
	}
	return false
}

func (p *httpFront) health(x *httpconn.Exchange, well bool) bool {
	if !well {
		x.Problem(503, "not ready")
		return true
	}
	x.FinishResponse(x.StartResponse(200), nil)
	return true
}

// ready tells whether there is a worker to attempt to.
func (g *Gateway) ready() bool {
	if g.stopping || g.module == nil {
		return false
	}
	for _, w := range g.workers {
		if w.told && w.State == control.Ready {
			return true
		}
	}
	return false
}

// refuse answers before a request is taken: no Mastchute-Answer, since nothing was taken.
func (p *httpFront) refuse(x *httpconn.Exchange, why string, status int, text string) bool {
	p.g.Metrics.refused(why)
	b := x.StartResponse(status)
	b = httpcodec.AppendHeader(b, "Content-Type", httpconn.ProblemType)
	if status == 503 {
		b = append(b, "Retry-After: 1\r\n"...)
	}
	if status == 405 {
		b = append(b, "Allow: POST\r\n"...)
	}
	x.FinishResponse(b, httpconn.AppendProblem(nil, status, text))
	return true
}

// RequestRefused implements httpconn.Service.
func (p *httpFront) RequestRefused(e *httpcodec.Error) {
	p.g.Metrics.refused("http_" + strconv.Itoa(e.Status))
}

// RequestReceived implements httpconn.Service: a request is taken.
func (p *httpFront) RequestReceived(x *httpconn.Exchange) {
	g := p.g
	name, _, _ := modelPath(x.Head.Target)
	m, err := g.lookup(name)
	if m == nil || err != nil || !g.Serving() || g.inFlight >= g.cfg.Limits.Requests {
		p.refuse(x, "stopping", 503, "the dispatcher is stopping or full") // since its head came in
		return
	}
	in := control.Request{Group: m.group.index, MemoryMB: m.Memory, Concurrency: m.Lanes, LoadTimeHint: m.Load, Deadline: math.Inf(1),
		ClientRetry: httpcodec.EqualsLower(x.Head.Get("mastchute-repeat"), "true"), WorkHint: number(x.Head.Get("mastchute-work"))}
	if v := x.Head.Get("mastchute-timeout"); v != nil {
		in.Deadline = x.ReceivedAt() + number(v)
	}
	tenant := -1
	if t := x.Head.Get("mastchute-tenant"); len(t) > 0 {
		if i, ok := g.tenants[string(t)]; ok {
			tenant = i
		}
	}
	c := p.take(x)
	c.q = g.AcceptRequest(c, m, tenant, x.ReceivedAt(), in)
}

func (p *httpFront) take(x *httpconn.Exchange) *httpClient {
	var c *httpClient
	if n := len(p.free); n > 0 {
		c, p.free = p.free[n-1], p.free[:n-1]
	} else {
		c = &httpClient{p: p}
	}
	c.x, x.ServiceState = x, c
	return c
}

func (p *httpFront) put(c *httpClient) {
	c.x, c.q = nil, nil
	p.free = append(p.free, c)
}

// ClientGone implements httpconn.Service: the client has gone.
func (p *httpFront) ClientGone(x *httpconn.Exchange) {
	if c, _ := x.ServiceState.(*httpClient); c != nil && c.x == x {
		q := c.q
		p.put(c)
		p.g.ClientGone(q)
	}
}

// StreamWritable implements httpconn.Service: a streamed answer has room again.
func (p *httpFront) StreamWritable(x *httpconn.Exchange) {
	if c, _ := x.ServiceState.(*httpClient); c != nil && c.x == x && c.q.streaming != nil {
		c.q.streaming.TransportState.(*httpCall).call.Resume()
	}
}

// WriteResponse implements Client.
func (c *httpClient) WriteResponse(q *Request, f *Attempt) {
	x, call := c.x, f.TransportState.(*httpCall)
	c.p.put(c)
	if q.streaming == f {
		x.EndStream()
		return
	}
	b := c.p.marks(x.StartResponse(call.status), q, answerReturned)
	x.FinishResponse(append(b, call.headers...), f.ResponseBody)
}

// WriteShed implements Client.
func (c *httpClient) WriteShed(q *Request, retry float64) {
	x := c.x
	c.p.put(c)
	b := c.p.marks(x.StartResponse(503), q, answerShed)
	b = append(b, "Content-Type: application/problem+json\r\nRetry-After: "...)
	b = strconv.AppendInt(b, int64(math.Ceil(retry)), 10)
	b = append(b, "\r\nMastchute-Retry-After: "...)
	b = appendSeconds(b, retry)
	b = append(b, "\r\n"...)
	c.p.scratch = httpconn.AppendProblem(c.p.scratch[:0], 503, "no worker can take this now; trying again is harmless")
	x.FinishResponse(b, c.p.scratch)
}

// WriteFailure implements Client.
func (c *httpClient) WriteFailure(q *Request, late bool, why string) {
	x, status := c.x, 502
	c.p.put(c)
	if late {
		status = 504
	}
	if q.streaming != nil { // the answer has begun: it can only be cut off, so that the client sees it
		x.AbortStream()
		return
	}
	b := c.p.marks(x.StartResponse(status), q, answerFailed)
	b = append(b, "Content-Type: application/problem+json\r\n"...)
	c.p.scratch = httpconn.AppendProblem(c.p.scratch[:0], status, why)
	x.FinishResponse(b, c.p.scratch)
}

// marks are the headers of every final answer.
func (p *httpFront) marks(b []byte, q *Request, a answer) []byte {
	b = append(b, "Mastchute-Answer: "...)
	b = append(b, a.String()...)
	b = append(b, "\r\nMastchute-Inference: "...)
	b = p.g.appendID(b, q)
	return append(b, "\r\n"...)
}
