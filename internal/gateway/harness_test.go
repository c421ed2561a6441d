package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/eventloop"
	"mastchute/internal/eventloop/eventlooptest"
)

// harness is a gateway on loopback with scripted workers.
type harness struct {
	t       *testing.T
	gateway *Gateway
	cfg     *config.Config
	done    chan error
}

// receivedRequest is one request as a worker's socket carried it.
type receivedRequest struct {
	worker, path, body string
	header             http.Header
	at                 time.Time
}

// workerAction is what a scripted worker does with a request on its connection.
type workerAction func(w net.Conn, r *http.Request)

// scriptedWorker is a worker that follows a script; the last act repeats.
type scriptedWorker struct {
	name              string
	listener          net.Listener
	mu                sync.Mutex
	actions           []workerAction
	requests          []receivedRequest
	connections       []net.Conn
	closedConnections int          // connections that ended
	probeAction       workerAction // what it does when it is asked for its start and load
}

func respond(status int, headers, body string) workerAction {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nMastchute-Start: 1000.5\r\nMastchute-Found: warm\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	}
}

var (
	succeed              = respond(200, "Content-Type: text/plain\r\n", "well")
	rejectAtCapacity     = respond(503, "Mastchute-Ran: no\r\nMastchute-Why: full\r\n", "")
	rejectModelNotLoaded = respond(503, "Mastchute-Ran: no\r\nMastchute-Why: miss\r\n", "")
	failInternally       = respond(500, "", "")
	rejectWithoutProof   = respond(503, "", "") // no proof
	neverRespond         = workerAction(func(net.Conn, *http.Request) {})
	resetConnection      = workerAction(func(w net.Conn, _ *http.Request) { w.(*net.TCPConn).SetLinger(0); w.Close() })
	truncateResponse     = workerAction(func(w net.Conn, _ *http.Request) {
		io.WriteString(w, "HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nabc")
		w.(*net.TCPConn).CloseWrite()
	})
)

func newWorker(t *testing.T, name string, acts ...workerAction) *scriptedWorker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedWorker{name: name, listener: ln, actions: acts}
	t.Cleanup(func() {
		ln.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.connections {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connections = append(s.connections, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *scriptedWorker) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			s.mu.Lock()
			s.closedConnections++
			s.mu.Unlock()
			return
		}
		body, _ := io.ReadAll(q.Body)
		if q.URL.Path == "/v2/load" {
			s.mu.Lock()
			greet := s.probeAction
			s.mu.Unlock()
			if greet == nil {
				greet = respond(200, "", "")
			}
			greet(c, q)
			continue
		}
		s.mu.Lock()
		s.requests = append(s.requests, receivedRequest{s.name, q.URL.Path, string(body), q.Header, time.Now()})
		a := s.actions[0]
		if len(s.actions) > 1 {
			s.actions = s.actions[1:]
		}
		s.mu.Unlock()
		a(c, q)
	}
}

func (s *scriptedWorker) received() []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedRequest(nil), s.requests...)
}

func (s *scriptedWorker) closedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedConnections
}

const harnessSettings = `listen: 127.0.0.1:0
admin: "off"
seed: 7
groups:
  - {name: read, effect: retriable, slo: 500ms, timeout: 3s}
  - {name: write, effect: deduped, scope: zone, window: 2s, slo: 500ms, timeout: 3s}
  - {name: once, effect: non-retriable, slo: 500ms, timeout: 3s}
tenants: [{name: north}]
models: [{name: "read-*", group: read, lanes: 8}, {name: "write-*", group: write, lanes: 8}, {name: "once-*", group: once, lanes: 8}]
`

// newHarness starts a gateway over the workers; more is added to its settings, start may replace the decisions.
func newHarness(t *testing.T, more string, start NewModule, workers ...*scriptedWorker) *harness {
	t.Helper()
	text := harnessSettings + more + "workers:\n"
	for i, w := range workers {
		text += fmt.Sprintf("  - {name: %s, address: %q, zone: z%d}\n", w.name, w.listener.Addr(), i/2)
	}
	cfg, err := config.Parse("rig", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	l, err := eventloop.New(0)
	if err != nil {
		t.Fatal(err)
	}
	if start == nil {
		start = func(seed uint64, s control.Settings, a control.Actions) control.Module {
			return control.New(seed, s, a)
		}
	}
	log := zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel)
	g, err := NewHTTP(l, cfg, log, start)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, gateway: g, cfg: cfg, done: make(chan error, 1)}
	go func() { r.done <- l.Run() }()
	t.Cleanup(func() {
		l.Stop()
		if err := <-r.done; err != nil {
			t.Error(err)
		}
	})
	r.until("all workers are told of", func() bool {
		n := 0
		for _, w := range g.workers {
			if w.announced {
				n++
			}
		}
		return n == len(workers)
	})
	return r
}

// on runs f on the loop.
func (r *harness) on(f func()) { r.t.Helper(); eventlooptest.On(r.t, r.gateway.Loop, f) }

// until waits for something that is to come about, as seen on the loop.
func (r *harness) until(what string, f func() bool) {
	r.t.Helper()
	eventlooptest.Until(r.t, r.gateway.Loop, what, f)
}

// clientResponse is an answer as the client's socket carried it.
type clientResponse struct {
	status        int
	outcome, body string
	header        http.Header
	duration      time.Duration
	err           error
}

func (r *harness) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.gateway.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// post sends one request and reads its answer.
func (r *harness) post(model, headers, body string) clientResponse {
	r.t.Helper()
	c := r.dial()
	defer c.Close()
	return exchange(c, bufio.NewReader(c), fmt.Sprintf("POST /v2/models/%s/infer HTTP/1.1\r\nHost: g\r\n%sContent-Length: %d\r\n\r\n%s", model, headers, len(body), body))
}

func exchange(c net.Conn, br *bufio.Reader, text string) (g clientResponse) {
	start := time.Now()
	io.WriteString(c, text)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return clientResponse{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	return clientResponse{resp.StatusCode, resp.Header.Get("Mastchute-Answer"), string(b), resp.Header, time.Since(start), err}
}

// expect asks and compares status and answer.
func (r *harness) expect(model string, status int, answer string) clientResponse {
	r.t.Helper()
	a := r.post(model, "", "in")
	if a.err != nil || a.status != status || a.outcome != answer {
		r.t.Errorf("%s: %d %q %q %v, want %d %q", model, a.status, a.outcome, a.body, a.err, status, answer)
	}
	return a
}

func (r *harness) guardCount(which string) float64 {
	return counterValue(r, "mastchute_guards_total", which)
}

func counterValue(r *harness, name, label string) float64 {
	list, err := r.gateway.Metrics.Registry.Gather()
	if err != nil {
		r.t.Fatal(err)
	}
	sum := 0.0
	for _, f := range list {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.Metric {
			for _, l := range m.Label {
				if l.GetValue() == label {
					sum += m.Counter.GetValue()
				}
			}
		}
	}
	return sum
}

var anyLoopbackAddr = netip.MustParseAddrPort("127.0.0.1:0")

func listenAddr(w *scriptedWorker) netip.AddrPort {
	return netip.MustParseAddrPort(w.listener.Addr().String())
}

func paths(list []receivedRequest) string {
	var out []string
	for _, s := range list {
		out = append(out, s.path)
	}
	return strings.Join(out, " ")
}
