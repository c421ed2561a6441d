package emulator

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
)

const (
	connectionIdleTimeout = 3600 // s
	slowConnectDelay      = 0.2  // s by which FaultSlowConnect delays a request
)

// workerListener is the HTTP interface of one worker. It implements httpconn.Service.
type workerListener struct {
	emulatorServer *Server
	worker         int
	addr           netip.AddrPort
	server         *httpconn.Server
}

// pendingRequest is a request that was received and has no response yet.
type pendingRequest struct {
	exchange   *httpconn.Exchange // nil after the response, or after the client disconnected
	listener   *workerListener
	request    Request
	id         string
	attempt    int
	dispatcher string
}

func (wl *workerListener) listen() (err error) {
	wl.server, err = httpconn.NewServer(wl.emulatorServer.Loop, wl.addr, wl, httpconn.ServerOptions{IdleTimeout: connectionIdleTimeout})
	return err
}

// HeadReceived implements httpconn.Service: bodies are buffered.
func (wl *workerListener) HeadReceived(*httpconn.Exchange) bool { return false }

// RequestRejected implements httpconn.Service.
func (wl *workerListener) RequestRejected(*httpcodec.Error) {}

// StreamWritable implements httpconn.Service.
func (wl *workerListener) StreamWritable(*httpconn.Exchange) {}

// ClientDisconnected implements httpconn.Service.
func (wl *workerListener) ClientDisconnected(x *httpconn.Exchange) {
	p, ok := x.ServiceState.(*pendingRequest)
	if !ok || p.exchange != x {
		return
	}
	p.exchange = nil
	s := wl.emulatorServer
	s.fleet.Cancel(s.Loop.Now(), &p.request)
	s.afterChange()
}

// RequestReceived implements httpconn.Service.
func (wl *workerListener) RequestReceived(x *httpconn.Exchange) {
	target := string(x.Head.Target)
	model, verb := parseTarget(target)
	p := wl.newPendingRequest(x, model)
	x.ServiceState = p
	switch {
	case verb == "infer":
		if timeout, err := strconv.ParseFloat(string(x.Head.Get("mastchute-timeout")), 64); err == nil {
			p.request.Deadline = wl.emulatorServer.Loop.Now() + timeout
		}
	case verb == "load":
		p.request.IsLoad = true
		p.request.Replicas = requestedReplicas(x.Body)
	case verb == "unload":
		wl.emulatorServer.fleet.Unload(wl.emulatorServer.Loop.Now(), wl.worker, model)
		x.FinishResponse(wl.appendHeaders(x.StartResponse(200)), nil)
		return
	case target == "/v2/load": // a probe; the headers have the load report
		x.FinishResponse(wl.appendHeaders(x.StartResponse(200)), nil)
		return
	default:
		x.RespondProblem(404, "no such path")
		return
	}
	if wl.emulatorServer.fleet.HasFault(wl.worker, FaultSlowConnect) {
		delay := &eventloop.Timer{Fire: func() { wl.submit(p) }}
		wl.emulatorServer.Loop.StartTimer(delay, slowConnectDelay)
		return
	}
	wl.submit(p)
}

func (wl *workerListener) newPendingRequest(x *httpconn.Exchange, model string) *pendingRequest {
	head := &x.Head
	p := &pendingRequest{exchange: x, listener: wl, dispatcher: string(head.Get("mastchute-dispatcher")), id: string(head.Get("mastchute-inference"))}
	p.attempt, _ = strconv.Atoi(string(head.Get("mastchute-forward")))
	p.request = Request{Owner: p, Model: model, IdempotencyKey: string(head.Get("idempotency-key")), Tenant: string(head.Get("mastchute-tenant"))}
	return p
}

// parseTarget splits the path of a request for an inference, a load or an unload into the model and the verb.
func parseTarget(target string) (model, verb string) {
	path, ok := strings.CutPrefix(target, "/v2/repository/models/")
	if !ok {
		path = strings.TrimPrefix(target, "/v2/repository")
		path = strings.TrimPrefix(path, "/v2/models/")
	}
	model, verb, _ = strings.Cut(path, "/")
	return model, verb
}

// requestedReplicas returns the number of replicas that a load request asks for, 1 by default.
func requestedReplicas(body []byte) int {
	var load struct {
		Parameters struct{ Copies int }
	}
	if err := json.Unmarshal(body, &load); err != nil || load.Parameters.Copies <= 0 {
		return 1
	}
	return load.Parameters.Copies
}

// submit passes a request to the fleet unless its client has disconnected.
func (wl *workerListener) submit(p *pendingRequest) {
	if p.exchange == nil {
		return
	}
	s := wl.emulatorServer
	s.fleet.Submit(s.Loop.Now(), wl.worker, &p.request)
	if p.request.Outcome != Pending {
		s.respond(p)
	}
	s.afterChange()
}
