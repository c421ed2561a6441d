package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
)

const (
	benchModelCount   = 16
	driverGrace       = 0.2            // s after the measurement, for requests in flight
	maxDriverLatency  = 60_000_000_000 // ns
	minDriverLatency  = 1000           // ns
	driverDialTimeout = 2              // s
)

var benchBody = []byte(`{"inputs":[{"name":"sheet","shape":[1],"datatype":"BYTES","data":["0123456789abcdef"]}]}`)

// ErrNoResponses is returned by Bench if a target sends no response.
var ErrNoResponses = errors.New("the target sent no response")

// runDriver sends requests to a target for some time, from one event loop, and returns the latencies in nanoseconds. At rate 0,
// it is a closed loop: each connection sends its next request after a response. Otherwise, it is an open loop with Poisson
// arrivals at the rate, and latency is measured from the intended time.
func runDriver(to netip.AddrPort, conns int, rate float64, duration time.Duration) (*hdrhistogram.Histogram, error) {
	loop, err := eventloop.New(0)
	if err != nil {
		return nil, err
	}
	d := newDriver(loop, to, conns, rate, duration)
	loop.Defer(func() {
		if rate > 0 {
			d.timer.Fire = d.sendDue
			d.sendDue()
		} else {
			for range conns {
				d.send(loop.Clock())
			}
		}
		loop.StartTimer(&eventloop.Timer{Fire: loop.Stop}, duration.Seconds()+driverGrace)
	})
	if err := loop.Run(); err != nil {
		return nil, err
	}
	if d.failures > 0 {
		return nil, fmt.Errorf("%s: %d of %d requests failed, the last one with: %w", to, d.failures, d.latencies.TotalCount(), d.lastErr)
	}
	if d.latencies.TotalCount() == 0 {
		return nil, ErrNoResponses
	}
	return d.latencies, nil
}

// driver sends requests to a target from an event loop.
type driver struct {
	loop         *eventloop.Loop
	pool         *httpconn.Pool
	rate         float64 // 0 for a closed loop
	end          float64 // s on the loop's clock
	nextAt       float64 // intended time of the next arrival, on the loop's clock; 0 before the first
	rnd          *rand.Rand
	latencies    *hdrhistogram.Histogram
	requestHeads [][]byte // by model
	timer        eventloop.Timer
	sent         int
	failures     int
	lastErr      error
	freeRequests []*benchRequest
}

func newDriver(loop *eventloop.Loop, to netip.AddrPort, conns int, rate float64, duration time.Duration) *driver {
	d := &driver{loop: loop, rate: rate, end: duration.Seconds(), rnd: rand.New(rand.NewPCG(1, 2)),
		pool:      httpconn.NewPool(loop, to, httpconn.PoolOptions{MaxConnections: conns, MaxIdle: conns, ConnectTimeout: driverDialTimeout}),
		latencies: hdrhistogram.New(minDriverLatency, maxDriverLatency, 3)}
	for i := range benchModelCount {
		head := fmt.Sprintf("POST /v2/models/m-%d/infer HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", i, to, len(benchBody))
		d.requestHeads = append(d.requestHeads, []byte(head))
	}
	return d
}

// benchRequest is a request in flight. It implements httpconn.ResponseHandler and is reused after its response.
type benchRequest struct {
	driver     *driver
	call       httpconn.Call
	intendedAt float64
	status     int
}

// send sends a request that was due at intendedAt.
func (d *driver) send(intendedAt float64) {
	r := d.takeRequest()
	r.intendedAt = intendedAt
	d.sent++
	d.pool.Do(&r.call, d.requestHeads[d.sent%len(d.requestHeads)], benchBody)
}

func (d *driver) takeRequest() *benchRequest {
	if last := len(d.freeRequests) - 1; last >= 0 {
		r := d.freeRequests[last]
		d.freeRequests = d.freeRequests[:last]
		return r
	}
	r := &benchRequest{driver: d}
	r.call.Handler = r
	return r
}

// sendDue sends all requests that are due and starts the timer for the next one.
func (d *driver) sendDue() {
	if d.nextAt == 0 {
		d.nextAt = d.loop.Clock()
	}
	for now := d.loop.Clock(); d.nextAt <= now; d.nextAt += d.rnd.ExpFloat64() / d.rate {
		if d.nextAt < d.end {
			d.send(d.nextAt)
		}
	}
	if d.nextAt < d.end {
		d.loop.StartTimer(&d.timer, d.nextAt-d.loop.Now())
	}
}

// ResponseHead implements httpconn.ResponseHandler.
func (r *benchRequest) ResponseHead(h *httpcodec.Head) { r.status = h.Status }

// ResponseBody implements httpconn.ResponseHandler.
func (r *benchRequest) ResponseBody([]byte) {}

// ResponseDone implements httpconn.ResponseHandler.
func (r *benchRequest) ResponseDone(err error) {
	d := r.driver
	now := d.loop.Clock()
	if err == nil && r.status != 200 {
		err = fmt.Errorf("response status %d instead of 200", r.status)
	}
	if err != nil {
		d.failures++
		d.lastErr = err
	}
	d.freeRequests = append(d.freeRequests, r)
	if now >= d.end {
		return
	}
	d.latencies.RecordValue(int64((now - r.intendedAt) * 1e9))
	if d.rate == 0 {
		d.send(now)
	}
}
