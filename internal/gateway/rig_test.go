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

// rig is a gateway on loopback with scripted workers.
type rig struct {
	t    *testing.T
	g    *Gateway
	cfg  *config.Config
	done chan error
}

// seen is one request as a worker's socket carried it.
type seen struct {
	worker, path, body string
	header             http.Header
	at                 time.Time
}

// act is what a scripted worker does with a request on its connection.
type act func(w net.Conn, r *http.Request)

// scripted is a worker that follows a script; the last act repeats.
type scripted struct {
	name  string
	ln    net.Listener
	mu    sync.Mutex
	acts  []act
	got   []seen
	open  []net.Conn
	gone  int // connections that ended
	greet act // what it does when it is asked for its start and load
}

func reply(status int, headers, body string) act {
	return func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nMastchute-Start: 1000.5\r\nMastchute-Found: warm\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	}
}

var (
	fine   = reply(200, "Content-Type: text/plain\r\n", "well")
	full   = reply(503, "Mastchute-Ran: no\r\nMastchute-Why: full\r\n", "")
	missed = reply(503, "Mastchute-Ran: no\r\nMastchute-Why: miss\r\n", "")
	broken = reply(500, "", "")
	doubt  = reply(503, "", "") // no proof
	silent = act(func(net.Conn, *http.Request) {})
	reset  = act(func(w net.Conn, _ *http.Request) { w.(*net.TCPConn).SetLinger(0); w.Close() })
	half   = act(func(w net.Conn, _ *http.Request) {
		io.WriteString(w, "HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nabc")
		w.(*net.TCPConn).CloseWrite()
	})
)

func newWorker(t *testing.T, name string, acts ...act) *scripted {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{name: name, ln: ln, acts: acts}
	t.Cleanup(func() {
		ln.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.open {
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
			s.open = append(s.open, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *scripted) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			s.mu.Lock()
			s.gone++
			s.mu.Unlock()
			return
		}
		body, _ := io.ReadAll(q.Body)
		if q.URL.Path == "/v2/load" {
			s.mu.Lock()
			greet := s.greet
			s.mu.Unlock()
			if greet == nil {
				greet = reply(200, "", "")
			}
			greet(c, q)
			continue
		}
		s.mu.Lock()
		s.got = append(s.got, seen{s.name, q.URL.Path, string(body), q.Header, time.Now()})
		a := s.acts[0]
		if len(s.acts) > 1 {
			s.acts = s.acts[1:]
		}
		s.mu.Unlock()
		a(c, q)
	}
}

func (s *scripted) seen() []seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]seen(nil), s.got...)
}

func (s *scripted) ended() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

const rigSettings = `listen: 127.0.0.1:0
admin: "off"
seed: 7
groups:
  - {name: read, effect: retriable, slo: 500ms, timeout: 3s}
  - {name: write, effect: deduped, scope: zone, window: 2s, slo: 500ms, timeout: 3s}
  - {name: once, effect: non-retriable, slo: 500ms, timeout: 3s}
tenants: [{name: north}]
models: [{name: "read-*", group: read, lanes: 8}, {name: "write-*", group: write, lanes: 8}, {name: "once-*", group: once, lanes: 8}]
`

// newRig starts a gateway over the workers; more is added to its settings, start may replace the decisions.
func newRig(t *testing.T, more string, start NewModule, workers ...*scripted) *rig {
	t.Helper()
	text := rigSettings + more + "workers:\n"
	for i, w := range workers {
		text += fmt.Sprintf("  - {name: %s, address: %q, zone: z%d}\n", w.name, w.ln.Addr(), i/2)
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
	r := &rig{t: t, g: g, cfg: cfg, done: make(chan error, 1)}
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
			if w.told {
				n++
			}
		}
		return n == len(workers)
	})
	return r
}

// on runs f on the loop.
func (r *rig) on(f func()) { r.t.Helper(); eventlooptest.On(r.t, r.g.Loop, f) }

// until waits for something that is to come about, as seen on the loop.
func (r *rig) until(what string, f func() bool) {
	r.t.Helper()
	eventlooptest.Until(r.t, r.g.Loop, what, f)
}

// got is an answer as the client's socket carried it.
type got struct {
	status       int
	answer, body string
	header       http.Header
	took         time.Duration
	err          error
}

func (r *rig) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.g.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// ask sends one request and reads its answer.
func (r *rig) ask(model, headers, body string) got {
	r.t.Helper()
	c := r.dial()
	defer c.Close()
	return exchange(c, bufio.NewReader(c), fmt.Sprintf("POST /v2/models/%s/infer HTTP/1.1\r\nHost: g\r\n%sContent-Length: %d\r\n\r\n%s", model, headers, len(body), body))
}

func exchange(c net.Conn, br *bufio.Reader, text string) (g got) {
	start := time.Now()
	io.WriteString(c, text)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return got{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	return got{resp.StatusCode, resp.Header.Get("Mastchute-Answer"), string(b), resp.Header, time.Since(start), err}
}

// expect asks and compares status and answer.
func (r *rig) expect(model string, status int, answer string) got {
	r.t.Helper()
	a := r.ask(model, "", "in")
	if a.err != nil || a.status != status || a.answer != answer {
		r.t.Errorf("%s: %d %q %q %v, want %d %q", model, a.status, a.answer, a.body, a.err, status, answer)
	}
	return a
}

func (r *rig) guard(which string) float64 { return counted(r, "mastchute_guards_total", which) }

func counted(r *rig, name, label string) float64 {
	list, err := r.g.Metrics.Registry.Gather()
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

var free = netip.MustParseAddrPort("127.0.0.1:0")

func mustAddr(w *scripted) netip.AddrPort { return netip.MustParseAddrPort(w.ln.Addr().String()) }

func paths(list []seen) string {
	var out []string
	for _, s := range list {
		out = append(out, s.path)
	}
	return strings.Join(out, " ")
}
