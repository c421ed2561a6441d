package gateway

import (
	"math"
	"net/netip"
	"path"
	"strconv"

	"github.com/rs/zerolog"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/h1"
	"mastchute/internal/http1"
	"mastchute/internal/loop"
	"mastchute/internal/membership"
)

// New makes a gateway that listens for HTTP/1.1 as configured. Run the loop to serve; at must be the configured address.
func New(l *loop.Loop, cfg *config.Config, log zerolog.Logger, start Start) (*Gateway, error) {
	list, err := Entries(cfg.Workers)
	if err != nil {
		return nil, err
	}
	return NewHost(l, Options{Config: cfg, Settings: cfg.Settings(), Seed: cfg.Seed, Source: membership.Config, Workers: list,
		Front: func(g *Gateway) (Front, error) { return newHTTP(g) }}, log, start)
}

// Addr is the address that HTTP/1.1 listens on. Safe before the loop runs.
func (g *Gateway) Addr() netip.AddrPort { return g.front.(*httpFront).server.Addr() }

// httpFront takes clients in over HTTP/1.1.
type httpFront struct {
	g       *Gateway
	server  *h1.Server
	budget  h1.Budget
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
	p.server, err = h1.NewServer(g.Loop, at, p, h1.ServerOptions{
		Limits:      http1.Limits{Line: min(8<<10, int(lim.Head.Bytes)), Head: int(lim.Head.Bytes), Headers: 100, Body: lim.Body.Bytes},
		IdleTimeout: lim.IdleTimeout.Seconds, HeadTimeout: lim.HeadTimeout.Seconds, BodyTimeout: lim.BodyTimeout.Seconds,
		Budget: &p.budget})
	return p, err
}

// Drain, Conns, Held and Link implement Front.
func (p *httpFront) Drain()              { p.server.Drain() }
func (p *httpFront) Conns() int          { return p.server.Conns() }
func (p *httpFront) Held() int64         { return p.budget.Used }
func (p *httpFront) Link(w *Worker) Link { return newHTTPLink(p.g, w) }

// httpClient is the client's side of one request.
type httpClient struct {
	p *httpFront
	x *h1.Exchange
	q *Request
}

func matches(pattern, name string) bool {
	ok, err := path.Match(pattern, name)
	return ok && err == nil
}

// Begin implements h1.Service: refusals before the body is read, and the small paths.
func (p *httpFront) Begin(x *h1.Exchange) bool {
	g := p.g
	h := &x.Head
	name, verb, ok := modelPath(h.Target)
	switch {
	case ok && string(verb) == "infer":
		if !http1.Is(h.Method, "post") {
			return p.refuse(x, "method", 405, "write POST")
		}
	case ok && string(verb) == "ready" && (http1.Is(h.Method, "get") || http1.Is(h.Method, "head")):
		m, err := g.lookup(name)
		if m == nil || err != nil {
			return p.refuse(x, "unknown_model", 404, "no such model in the catalogue")
		}
		return p.health(x, g.ready())
	case string(h.Target) == "/v2/health/live":
		return p.health(x, g.exit.Crash == "")
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

func (p *httpFront) health(x *h1.Exchange, well bool) bool {
	if !well {
		x.Problem(503, "not ready")
		return true
	}
	x.Finish(x.Start(200), nil)
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
func (p *httpFront) refuse(x *h1.Exchange, why string, status int, text string) bool {
	p.g.Metrics.refused(why)
	b := x.Start(status)
	b = http1.AppendHeader(b, "Content-Type", h1.ProblemType)
	if status == 503 {
		b = append(b, "Retry-After: 1\r\n"...)
	}
	if status == 405 {
		b = append(b, "Allow: POST\r\n"...)
	}
	x.Finish(b, h1.AppendProblem(nil, status, text))
	return true
}

// Refused implements h1.Service.
func (p *httpFront) Refused(e *http1.Error) { p.g.Metrics.refused("http_" + strconv.Itoa(e.Status)) }

// Request implements h1.Service: a request is taken.
func (p *httpFront) Request(x *h1.Exchange) {
	g := p.g
	name, _, _ := modelPath(x.Head.Target)
	m, err := g.lookup(name)
	if m == nil || err != nil || !g.Serving() || g.inFlight >= g.cfg.Limits.Requests {
		p.refuse(x, "stopping", 503, "the dispatcher is stopping or full") // since its head came in
		return
	}
	in := control.Request{Group: m.group.index, MemoryMB: m.Memory, Lanes: m.Lanes, Load: m.Load, NotAfter: math.Inf(1),
		Repeat: http1.Is(x.Head.Get("mastchute-repeat"), "true"), Work: number(x.Head.Get("mastchute-work"))}
	if v := x.Head.Get("mastchute-timeout"); v != nil {
		in.NotAfter = x.HeardAt() + number(v)
	}
	tenant := -1
	if t := x.Head.Get("mastchute-tenant"); len(t) > 0 {
		if i, ok := g.tenants[string(t)]; ok {
			tenant = i
		}
	}
	c := p.take(x)
	c.q = g.Accept(c, m, tenant, x.HeardAt(), in)
}

func (p *httpFront) take(x *h1.Exchange) *httpClient {
	var c *httpClient
	if n := len(p.free); n > 0 {
		c, p.free = p.free[n-1], p.free[:n-1]
	} else {
		c = &httpClient{p: p}
	}
	c.x, x.Owner = x, c
	return c
}

func (p *httpFront) put(c *httpClient) {
	c.x, c.q = nil, nil
	p.free = append(p.free, c)
}

// Left implements h1.Service: the client has gone.
func (p *httpFront) Left(x *h1.Exchange) {
	if c, _ := x.Owner.(*httpClient); c != nil && c.x == x {
		q := c.q
		p.put(c)
		p.g.Left(q)
	}
}

// Drained implements h1.Service: a streamed answer has room again.
func (p *httpFront) Drained(x *h1.Exchange) {
	if c, _ := x.Owner.(*httpClient); c != nil && c.x == x && c.q.streaming != nil {
		c.q.streaming.Call.(*httpCall).call.Resume()
	}
}

// Returned implements Client.
func (c *httpClient) Returned(q *Request, f *Attempt) {
	x, call := c.x, f.Call.(*httpCall)
	c.p.put(c)
	if q.streaming == f {
		x.End()
		return
	}
	b := c.p.marks(x.Start(call.status), q, answerReturned)
	x.Finish(append(b, call.headers...), f.Body)
}

// Shed implements Client.
func (c *httpClient) Shed(q *Request, retry float64) {
	x := c.x
	c.p.put(c)
	b := c.p.marks(x.Start(503), q, answerShed)
	b = append(b, "Content-Type: application/problem+json\r\nRetry-After: "...)
	b = strconv.AppendInt(b, int64(math.Ceil(retry)), 10)
	b = append(b, "\r\nMastchute-Retry-After: "...)
	b = appendSeconds(b, retry)
	b = append(b, "\r\n"...)
	c.p.scratch = h1.AppendProblem(c.p.scratch[:0], 503, "no worker can take this now; trying again is harmless")
	x.Finish(b, c.p.scratch)
}

// Failed implements Client.
func (c *httpClient) Failed(q *Request, late bool, why string) {
	x, status := c.x, 502
	c.p.put(c)
	if late {
		status = 504
	}
	if q.streaming != nil { // the answer has begun: it can only be cut off, so that the client sees it
		x.Break()
		return
	}
	b := c.p.marks(x.Start(status), q, answerFailed)
	b = append(b, "Content-Type: application/problem+json\r\n"...)
	c.p.scratch = h1.AppendProblem(c.p.scratch[:0], status, why)
	x.Finish(b, c.p.scratch)
}

// marks are the headers of every final answer.
func (p *httpFront) marks(b []byte, q *Request, a answer) []byte {
	b = append(b, "Mastchute-Answer: "...)
	b = append(b, a.String()...)
	b = append(b, "\r\nMastchute-Inference: "...)
	b = p.g.appendID(b, q)
	return append(b, "\r\n"...)
}
