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
		NewClientTransport: func(g *Gateway) (ClientTransport, error) { return newHTTPClientTransport(g) }}, log, start)
}

// Addr is the address that HTTP/1.1 listens on. Safe before the loop runs.
func (g *Gateway) Addr() netip.AddrPort { return g.clients.(*httpClientTransport).server.Addr() }

// httpClientTransport takes clients in over HTTP/1.1.
type httpClientTransport struct {
	gateway     *Gateway
	server      *httpconn.Server
	budget      httpconn.MemoryBudget
	freeWriters []*httpResponseWriter
	scratch     []byte
}

func newHTTPClientTransport(g *Gateway) (*httpClientTransport, error) {
	p := &httpClientTransport{gateway: g}
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
func (p *httpClientTransport) Drain()               { p.server.Drain() }
func (p *httpClientTransport) ConnectionCount() int { return p.server.ConnectionCount() }
func (p *httpClientTransport) BufferedBytes() int64 { return p.budget.Used }
func (p *httpClientTransport) NewWorkerTransport(w *Worker) WorkerTransport {
	return newHTTPWorkerTransport(p.gateway, w)
}

// httpResponseWriter is the client's side of one request.
type httpResponseWriter struct {
	transport *httpClientTransport
	exchange  *httpconn.Exchange
	request   *Request
}

func matches(pattern, name string) bool {
	ok, err := path.Match(pattern, name)
	return ok && err == nil
}

// HeadReceived implements httpconn.Service: refusals before the body is read, and the small paths.
func (p *httpClientTransport) HeadReceived(x *httpconn.Exchange) bool {
	g := p.gateway
	h := &x.Head
	name, verb, ok := parseModelPath(h.Target)
	switch {
	case ok && string(verb) == "infer":
		if !httpcodec.EqualsLower(h.Method, "post") {
			return p.reject(x, "method", 405, "write POST")
		}
	case ok && string(verb) == "ready" && (httpcodec.EqualsLower(h.Method, "get") || httpcodec.EqualsLower(h.Method, "head")):
		m, err := g.resolveModel(name)
		if m == nil || err != nil {
			return p.reject(x, "unknown_model", 404, "no such model in the catalogue")
		}
		return p.writeHealth(x, g.hasReadyWorker())
	case string(h.Target) == "/v2/health/live":
		return p.writeHealth(x, g.exitStatus.PanicMessage == "")
	case string(h.Target) == "/v2/health/ready":
		return p.writeHealth(x, g.hasReadyWorker())
	default:
		return p.reject(x, "path", 404, "no such path; inferences go to POST /v2/models/NAME/infer")
	}
	m, err := g.resolveModel(name)
	switch {
	case err != nil:
		return p.reject(x, "model_id", 409, "this model cannot be taken: "+err.Error())
	case m == nil:
		return p.reject(x, "unknown_model", 404, "no such model in the catalogue")
	case !g.Serving():
		x.CloseAfter()
		return p.reject(x, "stopping", 503, "the dispatcher is stopping")
	case g.inFlight >= g.cfg.Limits.Requests:
		return p.reject(x, "too_many", 503, "too many inferences are in hand")
	}
	if t := h.Get("mastchute-tenant"); len(t) > 0 && len(g.tenants) > 0 {
		if _, ok := g.tenants[string(t)]; !ok {
			return p.reject(x, "unknown_tenant", 400, "no such tenant in the settings")
		}
	}
	for _, n := range []string{"mastchute-timeout", "mastchute-work"} {
		if v := h.Get(n); v != nil && !(parseDecimal(v) > 0) {
			return p.reject(x, "header", 400, n+" is no positive decimal number of seconds")
		}
	}
	return false
}

func (p *httpClientTransport) writeHealth(x *httpconn.Exchange, well bool) bool {
	if !well {
		x.Problem(503, "not ready")
		return true
	}
	x.FinishResponse(x.StartResponse(200), nil)
	return true
}

// hasReadyWorker tells whether there is a worker to attempt to.
func (g *Gateway) hasReadyWorker() bool {
	if g.stopping || g.module == nil {
		return false
	}
	for _, w := range g.workers {
		if w.announced && w.State == control.Ready {
			return true
		}
	}
	return false
}

// reject answers before a request is taken: no Mastchute-Answer, since nothing was taken.
func (p *httpClientTransport) reject(x *httpconn.Exchange, why string, status int, text string) bool {
	p.gateway.Metrics.countRejection(why)
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
func (p *httpClientTransport) RequestRefused(e *httpcodec.Error) {
	p.gateway.Metrics.countRejection("http_" + strconv.Itoa(e.Status))
}

// RequestReceived implements httpconn.Service: a request is taken.
func (p *httpClientTransport) RequestReceived(x *httpconn.Exchange) {
	g := p.gateway
	name, _, _ := parseModelPath(x.Head.Target)
	m, err := g.resolveModel(name)
	if m == nil || err != nil || !g.Serving() || g.inFlight >= g.cfg.Limits.Requests {
		p.reject(x, "stopping", 503, "the dispatcher is stopping or full") // since its head came in
		return
	}
	in := control.Request{Group: m.group.index, MemoryMB: m.Memory, Concurrency: m.Lanes, LoadTimeHint: m.Load, Deadline: math.Inf(1),
		ClientRetry: httpcodec.EqualsLower(x.Head.Get("mastchute-repeat"), "true"), WorkHint: parseDecimal(x.Head.Get("mastchute-work"))}
	if v := x.Head.Get("mastchute-timeout"); v != nil {
		in.Deadline = x.ReceivedAt() + parseDecimal(v)
	}
	tenant := -1
	if t := x.Head.Get("mastchute-tenant"); len(t) > 0 {
		if i, ok := g.tenants[string(t)]; ok {
			tenant = i
		}
	}
	c := p.allocateWriter(x)
	c.request = g.AcceptRequest(c, m, tenant, x.ReceivedAt(), in)
}

func (p *httpClientTransport) allocateWriter(x *httpconn.Exchange) *httpResponseWriter {
	var c *httpResponseWriter
	if n := len(p.freeWriters); n > 0 {
		c, p.freeWriters = p.freeWriters[n-1], p.freeWriters[:n-1]
	} else {
		c = &httpResponseWriter{transport: p}
	}
	c.exchange, x.ServiceState = x, c
	return c
}

func (p *httpClientTransport) recycleWriter(c *httpResponseWriter) {
	c.exchange, c.request = nil, nil
	p.freeWriters = append(p.freeWriters, c)
}

// ClientGone implements httpconn.Service: the client has gone.
func (p *httpClientTransport) ClientGone(x *httpconn.Exchange) {
	if c, _ := x.ServiceState.(*httpResponseWriter); c != nil && c.exchange == x {
		q := c.request
		p.recycleWriter(c)
		p.gateway.ClientGone(q)
	}
}

// StreamWritable implements httpconn.Service: a streamed answer has room again.
func (p *httpClientTransport) StreamWritable(x *httpconn.Exchange) {
	if c, _ := x.ServiceState.(*httpResponseWriter); c != nil && c.exchange == x && c.request.streamingAttempt != nil {
		c.request.streamingAttempt.TransportState.(*httpAttempt).call.Resume()
	}
}

// WriteResponse implements Client.
func (c *httpResponseWriter) WriteResponse(q *Request, f *Attempt) {
	x, call := c.exchange, f.TransportState.(*httpAttempt)
	c.transport.recycleWriter(c)
	if q.streamingAttempt == f {
		x.EndStream()
		return
	}
	b := c.transport.appendMarkHeaders(x.StartResponse(call.status), q, outcomeReturned)
	x.FinishResponse(append(b, call.headers...), f.ResponseBody)
}

// WriteShed implements Client.
func (c *httpResponseWriter) WriteShed(q *Request, retry float64) {
	x := c.exchange
	c.transport.recycleWriter(c)
	b := c.transport.appendMarkHeaders(x.StartResponse(503), q, outcomeShed)
	b = append(b, "Content-Type: application/problem+json\r\nRetry-After: "...)
	b = strconv.AppendInt(b, int64(math.Ceil(retry)), 10)
	b = append(b, "\r\nMastchute-Retry-After: "...)
	b = appendSeconds(b, retry)
	b = append(b, "\r\n"...)
	c.transport.scratch = httpconn.AppendProblem(c.transport.scratch[:0], 503, "no worker can take this now; trying again is harmless")
	x.FinishResponse(b, c.transport.scratch)
}

// WriteFailure implements Client.
func (c *httpResponseWriter) WriteFailure(q *Request, late bool, why string) {
	x, status := c.exchange, 502
	c.transport.recycleWriter(c)
	if late {
		status = 504
	}
	if q.streamingAttempt != nil { // the answer has begun: it can only be cut off, so that the client sees it
		x.AbortStream()
		return
	}
	b := c.transport.appendMarkHeaders(x.StartResponse(status), q, outcomeFailed)
	b = append(b, "Content-Type: application/problem+json\r\n"...)
	c.transport.scratch = httpconn.AppendProblem(c.transport.scratch[:0], status, why)
	x.FinishResponse(b, c.transport.scratch)
}

// appendMarkHeaders are the headers of every final answer.
func (p *httpClientTransport) appendMarkHeaders(b []byte, q *Request, a outcome) []byte {
	b = append(b, "Mastchute-Answer: "...)
	b = append(b, a.String()...)
	b = append(b, "\r\nMastchute-Inference: "...)
	b = p.gateway.appendRequestID(b, q)
	return append(b, "\r\n"...)
}
