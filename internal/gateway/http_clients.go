package gateway

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"github.com/rs/zerolog"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
	"mastchute/internal/membership"
)

// This file implements ClientTransport over HTTP/1.1, with package httpconn: it accepts and rejects requests.

const (
	maxRequestLine    = 8 << 10 // bytes
	maxRequestHeaders = 100
)

// NewHTTP returns a gateway that listens for HTTP/1.1 at the configured address. It serves once the loop runs.
func NewHTTP(loop *eventloop.Loop, cfg *config.Config, log zerolog.Logger, newModule NewModule) (*Gateway, error) {
	workers, err := WorkerEntries(cfg.Workers)
	if err != nil {
		return nil, err
	}
	options := Options{
		Config:   cfg,
		Settings: cfg.Settings(),
		Seed:     cfg.Seed,
		Source:   membership.SourceConfig,
		Workers:  workers,
		NewClientTransport: func(g *Gateway) (ClientTransport, error) {
			return newHTTPClientTransport(g)
		},
	}
	return New(loop, options, log, newModule)
}

// Addr returns the address that the HTTP/1.1 server listens on. It may be called from any goroutine.
func (g *Gateway) Addr() netip.AddrPort { return g.clients.(*httpClientTransport).server.Addr() }

// httpClientTransport implements ClientTransport and httpconn.Service.
type httpClientTransport struct {
	gateway     *Gateway
	server      *httpconn.Server
	budget      httpconn.MemoryBudget
	freeWriters []*httpResponseWriter
	scratch     []byte // buffer for problem documents
}

func newHTTPClientTransport(g *Gateway) (*httpClientTransport, error) {
	limits := g.cfg.Limits
	addr, err := netip.ParseAddrPort(g.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	t := &httpClientTransport{gateway: g, budget: httpconn.MemoryBudget{Limit: limits.Memory.Bytes}}
	t.server, err = httpconn.NewServer(g.Loop, addr, t, httpconn.ServerOptions{
		Limits: httpcodec.Limits{
			Line:    min(maxRequestLine, int(limits.Head.Bytes)),
			Head:    int(limits.Head.Bytes),
			Headers: maxRequestHeaders,
			Body:    limits.Body.Bytes,
		},
		IdleTimeout:  limits.IdleTimeout.Seconds,
		HeadTimeout:  limits.HeadTimeout.Seconds,
		BodyTimeout:  limits.BodyTimeout.Seconds,
		MemoryBudget: &t.budget,
	})
	return t, err
}

// Drain implements ClientTransport.
func (t *httpClientTransport) Drain() { t.server.Drain() }

// ConnectionCount implements ClientTransport.
func (t *httpClientTransport) ConnectionCount() int { return t.server.ConnectionCount() }

// CloseAll implements ClientTransport.
func (t *httpClientTransport) CloseAll() (unreadCount int) { return t.server.CloseFlushed() }

// BufferedBytes implements ClientTransport.
func (t *httpClientTransport) BufferedBytes() int64 { return t.budget.Used }

// NewWorkerTransport implements ClientTransport.
func (t *httpClientTransport) NewWorkerTransport(w *Worker) WorkerTransport {
	return newHTTPWorkerTransport(t.gateway, w)
}

// HeadReceived implements httpconn.Service. It responds to health checks, and rejects requests before their body is read.
func (t *httpClientTransport) HeadReceived(exchange *httpconn.Exchange) (responded bool) {
	g := t.gateway
	target := exchange.Head.Target
	model, verb, isModelPath := parseModelPath(target)
	switch {
	case isModelPath && string(verb) == "infer":
		return t.rejectUnacceptable(exchange, model)
	case isModelPath && string(verb) == "ready" && isReadMethod(exchange.Head.Method):
		if _, err := g.resolveModel(model); err != nil {
			return t.reject(exchange, "unknown_model", 404, errUnknownModel.Error())
		}
		return t.writeHealth(exchange, g.Ready())
	case string(target) == "/v2/health/live":
		return t.writeHealth(exchange, g.exitStatus.PanicMessage == "")
	case string(target) == "/v2/health/ready":
		return t.writeHealth(exchange, g.Ready())
	}
	return t.reject(exchange, "path", 404, "no such path; inferences go to POST /v2/models/NAME/infer")
}

// rejectUnacceptable rejects an inference request if its head shows that it can't be accepted, and reports whether it did.
func (t *httpClientTransport) rejectUnacceptable(exchange *httpconn.Exchange, modelName []byte) bool {
	g := t.gateway
	if !httpcodec.EqualsLower(exchange.Head.Method, "post") {
		return t.reject(exchange, "method", 405, "write POST")
	}
	if _, rejected := t.rejectUnavailable(exchange, modelName); rejected {
		return true
	}
	tenant := exchange.Head.Get("mastchute-tenant")
	if len(tenant) > 0 && len(g.tenants) > 0 && t.tenantIndex(tenant) < 0 {
		return t.reject(exchange, "unknown_tenant", 400, "no such tenant in the settings")
	}
	for _, name := range [...]string{"mastchute-timeout", "mastchute-work"} {
		value := exchange.Head.Get(name)
		if value != nil && parseDecimal(value) <= 0 {
			return t.reject(exchange, "header", 400, name+" is no positive decimal number of seconds")
		}
	}
	return false
}

// rejectUnavailable rejects a request if its model can't be used, or if the gateway accepts no requests now. Otherwise it returns
// the model.
func (t *httpClientTransport) rejectUnavailable(exchange *httpconn.Exchange, modelName []byte) (model *Model, rejected bool) {
	g := t.gateway
	model, err := g.resolveModel(modelName)
	switch {
	case errors.Is(err, errUnknownModel):
		return nil, t.reject(exchange, "unknown_model", 404, errUnknownModel.Error())
	case err != nil:
		return nil, t.reject(exchange, "model_id", 409, "this model cannot be taken: "+err.Error())
	case !g.Serving():
		exchange.CloseAfterResponse()
		return nil, t.reject(exchange, "stopping", 503, "the dispatcher is stopping")
	case g.inFlight >= g.cfg.Limits.Requests:
		return nil, t.reject(exchange, "too_many", 503, "too many inferences are in hand")
	}
	return model, false
}

// reject responds to a request that is not accepted. It does not set the Mastchute-Answer header, which only accepted requests
// get. It always returns true.
func (t *httpClientTransport) reject(exchange *httpconn.Exchange, reason string, status int, detail string) bool {
	t.gateway.Metrics.countRejection(reason)
	b := exchange.StartResponse(status)
	b = httpcodec.AppendHeader(b, "Content-Type", httpconn.ProblemType)
	if status == 503 {
		b = append(b, "Retry-After: 1\r\n"...)
	}
	if status == 405 {
		b = append(b, "Allow: POST\r\n"...)
	}
	exchange.FinishResponse(b, httpconn.AppendProblem(nil, status, detail))
	return true
}

func (t *httpClientTransport) writeHealth(exchange *httpconn.Exchange, healthy bool) bool {
	if !healthy {
		exchange.RespondProblem(503, "not ready")
		return true
	}
	exchange.FinishResponse(exchange.StartResponse(200), nil)
	return true
}

// RequestRejected implements httpconn.Service.
func (t *httpClientTransport) RequestRejected(e *httpcodec.Error) {
	t.gateway.Metrics.countRejection("http_" + strconv.Itoa(e.Status))
}

// RequestReceived implements httpconn.Service. It accepts a request, unless the gateway's state has changed since the head
// was received.
func (t *httpClientTransport) RequestReceived(exchange *httpconn.Exchange) {
	g := t.gateway
	name, _, _ := parseModelPath(exchange.Head.Target)
	model, rejected := t.rejectUnavailable(exchange, name)
	if rejected {
		return
	}
	details := control.Request{
		Group:        model.group.index,
		MemoryMB:     model.MemoryMB,
		Concurrency:  model.Concurrency,
		LoadTimeHint: model.LoadSeconds,
		Deadline:     math.Inf(1),
		ClientRetry:  httpcodec.EqualsLower(exchange.Head.Get("mastchute-repeat"), "true"),
		WorkHint:     parseDecimal(exchange.Head.Get("mastchute-work")),
	}
	if timeout := exchange.Head.Get("mastchute-timeout"); timeout != nil {
		details.Deadline = exchange.ReceivedAt() + parseDecimal(timeout)
	}
	tenant := t.tenantIndex(exchange.Head.Get("mastchute-tenant"))
	w := t.allocateWriter(exchange)
	w.request = g.AcceptRequest(w, model, tenant, exchange.ReceivedAt(), details)
}

// tenantIndex returns the index of a tenant in the settings, -1 if there is no tenant of that name.
func (t *httpClientTransport) tenantIndex(name []byte) int {
	index, ok := t.gateway.tenants[string(name)]
	if len(name) == 0 || !ok {
		return -1
	}
	return index
}

// ClientDisconnected implements httpconn.Service.
func (t *httpClientTransport) ClientDisconnected(exchange *httpconn.Exchange) {
	w := writerOf(exchange)
	if w != nil {
		request := w.request
		t.recycleWriter(w)
		t.gateway.ClientDisconnected(request)
	}
}

// StreamWritable implements httpconn.Service. It resumes reading the worker's response that is being streamed.
func (t *httpClientTransport) StreamWritable(exchange *httpconn.Exchange) {
	w := writerOf(exchange)
	if w != nil && w.request.streamingAttempt != nil {
		w.request.streamingAttempt.TransportState.(*httpAttempt).call.Resume()
	}
}

func isReadMethod(method []byte) bool {
	return httpcodec.EqualsLower(method, "get") || httpcodec.EqualsLower(method, "head")
}

// parseModelPath splits the path /v2/models/NAME/VERB, ignoring its query. ok is false for any other path. Percent escapes are
// not decoded: they are part of the name.
func parseModelPath(target []byte) (name, verb []byte, ok bool) {
	const prefix = "/v2/models/"
	target = target[:indexByte(target, '?')]
	if len(target) <= len(prefix) || string(target[:len(prefix)]) != prefix {
		return nil, nil, false
	}
	rest := target[len(prefix):]
	slash := indexByte(rest, '/')
	if slash == len(rest) {
		return nil, nil, false
	}
	return rest[:slash], rest[slash+1:], slash > 0
}
