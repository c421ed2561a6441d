package lab

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
)

// The echo workers and the baseline proxies, with which Bench compares the gateway.

const (
	echoIdleTimeout   = 3600 // s
	echoUptimeSeconds = 1e6  // longer than any slow start
)

// NewEchoWorkers returns a loop with workers that respond immediately with a few bytes, so that a measurement shows the
// cost of the proxy in front of them. It also returns the addresses that they listen on.
func NewEchoWorkers(listenAddresses []netip.AddrPort) (*eventloop.Loop, []netip.AddrPort, error) {
	loop, err := eventloop.New(0)
	if err != nil {
		return nil, nil, err
	}
	startedAt := float64(time.Now().UnixMilli())/1e3 - echoUptimeSeconds
	e := &echoService{headers: fmt.Sprintf("Mastchute-Start: %.3f\r\nMastchute-Found: warm\r\n"+
		"endpoint-load-metrics: TEXT named_metrics.inflight=1, named_metrics.queue=0\r\n", startedAt)}
	var addresses []netip.AddrPort
	for _, address := range listenAddresses {
		server, err := httpconn.NewServer(loop, address, e, httpconn.ServerOptions{IdleTimeout: echoIdleTimeout})
		if err != nil {
			return nil, nil, err
		}
		addresses = append(addresses, server.Addr())
	}
	return loop, addresses, nil
}

// echoService implements httpconn.Service.
type echoService struct{ headers string }

var echoBody = []byte(`{"model_name":"echo","outputs":[]}` + "\n")

// HeadReceived implements httpconn.Service.
func (e *echoService) HeadReceived(*httpconn.Exchange) bool { return false }

// RequestReceived implements httpconn.Service.
func (e *echoService) RequestReceived(x *httpconn.Exchange) {
	x.FinishResponse(append(x.StartResponse(200), e.headers...), echoBody)
}

// ClientDisconnected implements httpconn.Service.
func (e *echoService) ClientDisconnected(*httpconn.Exchange) {}

// StreamWritable implements httpconn.Service.
func (e *echoService) StreamWritable(*httpconn.Exchange) {}

// RequestRejected implements httpconn.Service.
func (e *echoService) RequestRejected(*httpcodec.Error) {}

// NewRelayProxy returns a loop with baseline (a), a round-robin proxy on the gateway's event loop and codec without a
// control module, and the address that it listens on.
func NewRelayProxy(listenAddress netip.AddrPort, workers []netip.AddrPort) (*eventloop.Loop, netip.AddrPort, error) {
	loop, err := eventloop.New(0)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	r := &relayService{}
	for _, worker := range workers {
		r.pools = append(r.pools, httpconn.NewPool(loop, worker, httpconn.PoolOptions{}))
	}
	server, err := httpconn.NewServer(loop, listenAddress, r, httpconn.ServerOptions{})
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	return loop, server.Addr(), nil
}

// relayService implements httpconn.Service.
type relayService struct {
	pools []*httpconn.Pool // by worker
	next  int
	free  []*relayedRequest // for reuse
}

// relayedRequest is a request in flight. It is reused after its response.
type relayedRequest struct {
	relay    *relayService
	exchange *httpconn.Exchange // nil after the client disconnected
	call     httpconn.Call
	head     []byte // of the request to the worker
	status   int
	headers  []byte // of the response
	body     []byte
}

// HeadReceived implements httpconn.Service.
func (r *relayService) HeadReceived(*httpconn.Exchange) bool { return false }

// StreamWritable implements httpconn.Service.
func (r *relayService) StreamWritable(*httpconn.Exchange) {}

// RequestRejected implements httpconn.Service.
func (r *relayService) RequestRejected(*httpcodec.Error) {}

// ClientDisconnected implements httpconn.Service.
func (r *relayService) ClientDisconnected(x *httpconn.Exchange) {
	request, ok := x.ServiceState.(*relayedRequest)
	if !ok || request.exchange != x {
		return
	}
	request.call.Cancel()
	request.exchange = nil
	r.free = append(r.free, request)
}

// RequestReceived implements httpconn.Service.
func (r *relayService) RequestReceived(x *httpconn.Exchange) {
	request := r.takeRequest()
	pool := r.pools[r.next%len(r.pools)]
	r.next++
	request.exchange = x
	x.ServiceState = request
	request.headers = request.headers[:0]
	request.body = request.body[:0]
	head := append(request.head[:0], x.Head.Method...)
	head = append(head, ' ')
	head = append(head, x.Head.Target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = pool.Addr.AppendTo(head)
	head = append(head, "\r\n"...)
	head = appendForwardedHeaders(head, &x.Head)
	head = httpcodec.AppendLength(head, int64(len(x.Body)))
	request.head = append(head, "\r\n"...)
	pool.Do(&request.call, request.head, x.Body)
}

func (r *relayService) takeRequest() *relayedRequest {
	if last := len(r.free) - 1; last >= 0 {
		request := r.free[last]
		r.free = r.free[:last]
		return request
	}
	request := &relayedRequest{relay: r}
	request.call.Handler = request
	return request
}

// appendForwardedHeaders appends all headers except hop-by-hop headers.
func appendForwardedHeaders(b []byte, h *httpcodec.Head) []byte {
	for i := range h.Headers {
		name := h.Headers[i].Name
		if httpcodec.IsHopByHop(name) {
			continue
		}
		b = append(b, name...)
		b = append(b, ": "...)
		b = append(b, h.Headers[i].Value...)
		b = append(b, "\r\n"...)
	}
	return b
}

// ResponseHead implements httpconn.ResponseHandler.
func (r *relayedRequest) ResponseHead(h *httpcodec.Head) {
	r.status = h.Status
	r.headers = appendForwardedHeaders(r.headers, h)
}

// ResponseBody implements httpconn.ResponseHandler.
func (r *relayedRequest) ResponseBody(b []byte) { r.body = append(r.body, b...) }

// ResponseDone implements httpconn.ResponseHandler.
func (r *relayedRequest) ResponseDone(err error) {
	x := r.exchange
	r.exchange = nil
	if err != nil {
		x.RespondProblem(502, "the worker failed")
	} else {
		x.FinishResponse(append(x.StartResponse(r.status), r.headers...), r.body)
	}
	r.relay.free = append(r.relay.free, r)
}

const (
	proxyIdlePerWorker = 256  // idle connections to one worker
	proxyIdle          = 1024 // idle connections to all workers
)

// StartReverseProxy starts baseline (b), a round-robin proxy on net/http's ReverseProxy.
func StartReverseProxy(listenAddress string, workers []netip.AddrPort) (net.Listener, error) {
	var next atomic.Int64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			worker := workers[int(next.Add(1))%len(workers)]
			r.SetURL(&url.URL{Scheme: "http", Host: worker.String()})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: proxyIdlePerWorker, MaxIdleConns: proxyIdle, DisableCompression: true},
	}
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, err
	}
	go http.Serve(listener, proxy)
	return listener, nil
}
