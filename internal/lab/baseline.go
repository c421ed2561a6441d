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

	"mastchute/internal/h1"
	"mastchute/internal/http1"
	"mastchute/internal/loop"
)

// The programs that the gateway is measured beside. All are ours.

// Echo serves workers that answer at once with a few bytes, on one loop, so that what is in front of them is measured.
func Echo(at []netip.AddrPort) (*loop.Loop, []netip.AddrPort, error) {
	l, err := loop.New(0)
	if err != nil {
		return nil, nil, err
	}
	var out []netip.AddrPort
	e := &echo{start: fmt.Sprintf("Mastchute-Start: %.3f\r\nMastchute-Found: warm\r\n"+
		"endpoint-load-metrics: TEXT named_metrics.inflight=1, named_metrics.queue=0\r\n", float64(time.Now().UnixMilli())/1e3-1e6)}
	for _, a := range at {
		s, err := h1.NewServer(l, a, e, h1.ServerOptions{IdleTimeout: 3600})
		if err != nil {
			return nil, nil, err
		}
		out = append(out, s.Addr())
	}
	return l, out, nil
}

type echo struct{ start string }

var echoBody = []byte(`{"model_name":"echo","outputs":[]}` + "\n")

func (e *echo) Begin(*h1.Exchange) bool { return false }
func (e *echo) Request(x *h1.Exchange)  { x.Finish(append(x.Start(200), e.start...), echoBody) }
func (e *echo) Left(*h1.Exchange)       {}
func (e *echo) Drained(*h1.Exchange)    {}
func (e *echo) Refused(*http1.Error)    {}

// Relay is baseline (a): round robin on the gateway's loop and codec, with no decisions.
func Relay(at netip.AddrPort, workers []netip.AddrPort) (*loop.Loop, netip.AddrPort, error) {
	l, err := loop.New(0)
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	r := &relay{}
	for _, w := range workers {
		r.pools = append(r.pools, h1.NewPool(l, w, h1.PoolOptions{}))
	}
	s, err := h1.NewServer(l, at, r, h1.ServerOptions{})
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	return l, s.Addr(), nil
}

type relay struct {
	pools []*h1.Pool
	next  int
	free  []*relayed
}

type relayed struct {
	r       *relay
	x       *h1.Exchange
	call    h1.Call
	head    []byte
	status  int
	headers []byte
	body    []byte
}

func (r *relay) Begin(*h1.Exchange) bool { return false }
func (r *relay) Drained(*h1.Exchange)    {}
func (r *relay) Refused(*http1.Error)    {}

func (r *relay) Left(x *h1.Exchange) {
	if q, ok := x.Owner.(*relayed); ok && q.x == x {
		q.call.Cancel()
		q.x = nil
		r.free = append(r.free, q)
	}
}

func (r *relay) Request(x *h1.Exchange) {
	var q *relayed
	if n := len(r.free); n > 0 {
		q, r.free = r.free[n-1], r.free[:n-1]
	} else {
		q = &relayed{r: r}
		q.call.Caller = q
	}
	p := r.pools[r.next%len(r.pools)]
	r.next++
	q.x, x.Owner = x, q
	q.headers, q.body = q.headers[:0], q.body[:0]
	b := append(q.head[:0], x.Head.Method...)
	b = append(b, ' ')
	b = append(b, x.Head.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = p.Addr.AppendTo(b)
	b = append(b, "\r\n"...)
	b = passOn(b, &x.Head)
	b = http1.AppendLength(b, int64(len(x.Body)))
	q.head = append(b, "\r\n"...)
	p.Do(&q.call, q.head, x.Body)
}

func passOn(b []byte, h *http1.Head) []byte {
	for i := range h.Headers {
		if n := h.Headers[i].Name; !http1.HopByHop(n) {
			b = append(b, n...)
			b = append(b, ": "...)
			b = append(b, h.Headers[i].Value...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

func (q *relayed) Head(h *http1.Head) { q.status, q.headers = h.Status, passOn(q.headers, h) }
func (q *relayed) Body(b []byte)      { q.body = append(q.body, b...) }

func (q *relayed) End(err error) {
	x := q.x
	q.x = nil
	if err != nil {
		x.Problem(502, "the worker failed")
	} else {
		x.Finish(append(x.Start(q.status), q.headers...), q.body)
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
