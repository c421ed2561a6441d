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

// The programs that the gateway is measured beside. All are ours.

// Echo serves workers that answer at once with a few bytes, on one loop, so that what is in front of them is measured.
func Echo(at []netip.AddrPort) (*eventloop.Loop, []netip.AddrPort, error) {
	l, err := eventloop.New(0)
	if err != nil {
		return nil, nil, err
	}
	var out []netip.AddrPort
	e := &echo{start: fmt.Sprintf("Mastchute-Start: %.3f\r\nMastchute-Found: warm\r\n"+
		"endpoint-load-metrics: TEXT named_metrics.inflight=1, named_metrics.queue=0\r\n", float64(time.Now().UnixMilli())/1e3-1e6)}
	for _, a := range at {
		s, err := httpconn.NewServer(l, a, e, httpconn.ServerOptions{IdleTimeout: 3600})
		if err != nil {
			return nil, nil, err
		}
		out = append(out, s.Addr())
	}
	return l, out, nil
}

type echo struct{ start string }

var echoBody = []byte(`{"model_name":"echo","outputs":[]}` + "\n")

func (e *echo) HeadReceived(*httpconn.Exchange) bool { return false }
func (e *echo) RequestReceived(x *httpconn.Exchange) {
	x.FinishResponse(append(x.StartResponse(200), e.start...), echoBody)
}
func (e *echo) ClientGone(*httpconn.Exchange)     {}
func (e *echo) StreamWritable(*httpconn.Exchange) {}
func (e *echo) RequestRefused(*httpcodec.Error)   {}

// Relay is baseline (a): round robin on the gateway's loop and codec, with no decisions.
func Relay(at netip.AddrPort, workers []netip.AddrPort) (*eventloop.Loop, netip.AddrPort, error) {
	l, err := eventloop.New(0)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	r := &relay{}
	for _, w := range workers {
		r.pools = append(r.pools, httpconn.NewPool(l, w, httpconn.PoolOptions{}))
	}
	s, err := httpconn.NewServer(l, at, r, httpconn.ServerOptions{})
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	return l, s.Addr(), nil
}

type relay struct {
	pools []*httpconn.Pool
	next  int
	free  []*relayed
}

type relayed struct {
	r       *relay
	x       *httpconn.Exchange
	call    httpconn.Call
	head    []byte
	status  int
	headers []byte
	body    []byte
}

func (r *relay) HeadReceived(*httpconn.Exchange) bool { return false }
func (r *relay) StreamWritable(*httpconn.Exchange)    {}
func (r *relay) RequestRefused(*httpcodec.Error)      {}

func (r *relay) ClientGone(x *httpconn.Exchange) {
	if q, ok := x.ServiceState.(*relayed); ok && q.x == x {
		q.call.Cancel()
		q.x = nil
		r.free = append(r.free, q)
	}
}

func (r *relay) RequestReceived(x *httpconn.Exchange) {
	var q *relayed
	if n := len(r.free); n > 0 {
		q, r.free = r.free[n-1], r.free[:n-1]
	} else {
		q = &relayed{r: r}
		q.call.Handler = q
	}
	p := r.pools[r.next%len(r.pools)]
	r.next++
	q.x, x.ServiceState = x, q
	q.headers, q.body = q.headers[:0], q.body[:0]
	b := append(q.head[:0], x.Head.Method...)
	b = append(b, ' ')
	b = append(b, x.Head.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = p.Addr.AppendTo(b)
	b = append(b, "\r\n"...)
	b = passOn(b, &x.Head)
	b = httpcodec.AppendLength(b, int64(len(x.Body)))
	q.head = append(b, "\r\n"...)
	p.Do(&q.call, q.head, x.Body)
}

func passOn(b []byte, h *httpcodec.Head) []byte {
	for i := range h.Headers {
		if n := h.Headers[i].Name; !httpcodec.IsHopByHop(n) {
			b = append(b, n...)
			b = append(b, ": "...)
			b = append(b, h.Headers[i].Value...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

func (q *relayed) ResponseHead(h *httpcodec.Head) {
	q.status, q.headers = h.Status, passOn(q.headers, h)
}
func (q *relayed) ResponseBody(b []byte) { q.body = append(q.body, b...) }

func (q *relayed) ResponseDone(err error) {
	x := q.x
	q.x = nil
	if err != nil {
		x.Problem(502, "the worker failed")
	} else {
		x.FinishResponse(append(x.StartResponse(q.status), q.headers...), q.body)
	}
	q.r.free = append(q.r.free, q)
}

// Proxy is baseline (b): round robin on net/http's ReverseProxy.
func Proxy(at string, workers []netip.AddrPort) (net.Listener, error) {
	var next atomic.Int64
	p := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			w := workers[int(next.Add(1))%len(workers)]
			r.SetURL(&url.URL{Scheme: "http", Host: w.String()})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 1024, DisableCompression: true},
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	go http.Serve(ln, p)
	return ln, nil
}
