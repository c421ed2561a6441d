package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
	"mastchute/internal/membership"
)

func TestReturnedAnswerGoesThrough(t *testing.T) {
	w := newWorker(t, "w1", respond(200, "Content-Type: text/x\r\nX-Kept: 1\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\nendpoint-load-metrics: TEXT named_metrics.inflight=3, named_metrics.queue=1\r\n", "well"))
	h := newHarness(t, "", nil, w)
	a := h.post("read-1", "X-Mine: a\r\nConnection: X-Hop\r\nX-Hop: b\r\nMastchute-Dispatcher: forged\r\nMastchute-Timeout: 2\r\nMastchute-Tenant: north\r\n", "body")
	if a.status != 200 || a.outcome != "returned" || a.body != "well" || a.header.Get("X-Kept") != "1" || a.header.Get("Content-Type") != "text/x" ||
		a.header.Get("Keep-Alive") != "" || a.header.Get("endpoint-load-metrics") != "" || a.header.Get("Mastchute-Start") != "" {
		t.Errorf("%+v", a)
	}
	s := w.received()
	if len(s) != 1 || s[0].body != "body" || s[0].path != "/v2/models/read-1/infer" || s[0].header.Get("X-Mine") != "a" || s[0].header.Get("X-Hop") != "" ||
		s[0].header.Get("Mastchute-Dispatcher") != "d0" || s[0].header.Get("Mastchute-Inference") != a.header.Get("Mastchute-Inference") ||
		s[0].header.Get("Mastchute-Forward") != "0" || s[0].header.Get("Mastchute-Tenant") != "north" || s[0].header.Get("Idempotency-Key") != "" {
		t.Errorf("%+v", s)
	}
	h.on(func() {
		if v := h.gateway.Status(); v.Workers[0].Report <= 0 || v.InFlight != 0 || v.BufferedBytes != 0 || len(v.Workers[0].Warm) != 1 {
			t.Errorf("%+v", v)
		}
	})
}

func TestConnectionsOfClients(t *testing.T) {
	h := newHarness(t, "", nil, newWorker(t, "w1", func(w net.Conn, q *http.Request) { respond(200, "", q.Header.Get("N"))(w, q) }))
	c := h.dial()
	br := bufio.NewReader(c)
	one := func(n int) string {
		return fmt.Sprintf("POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nN: %d\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: 1\r\n\r\n", n)
	}
	io.WriteString(c, one(1)+one(2)+one(3)) // pipelined: answers in order
	for n := 1; n <= 3; n++ {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if b, _ := io.ReadAll(resp.Body); string(b) != fmt.Sprint(n) {
			t.Errorf("answer %d is %q", n, b)
		}
	}
	io.WriteString(c, "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nN: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	if line, _ := br.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Errorf("%q", line)
	}
	br.ReadString('\n')
	if a := exchange(c, br, "ab"); a.status != 200 {
		t.Errorf("after 100: %+v", a)
	}
	if a := exchange(c, br, "GET /v2/health/ready HTTP/1.1\r\nHost: g\r\n\r\n"); a.status != 200 {
		t.Errorf("ready: %+v", a)
	}
	if a := exchange(c, br, "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n"); a.status != 400 || a.outcome != "" {
		t.Errorf("smuggled: %+v", a)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the connection goes on after a malformed request: %v", err)
	}
}

func TestRefusalsTakeNothing(t *testing.T) {
	h := newHarness(t, "limits: {body: 100B, memory: 64KiB}\n", nil, newWorker(t, "w1", succeed))
	post := func(path, headers, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: g\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, len(body), body)
	}
	for _, c := range []struct {
		text   string
		status int
	}{
		{post("/v2/models/nope/infer", "", "x"), 404},
		{post("/v2/models/read-1/outfer", "", "x"), 404},
		{"GET /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\n\r\n", 405},
		{post("/v2/models/read-1/infer", "Mastchute-Timeout: soon\r\n", "x"), 400},
		{post("/v2/models/read-1/infer", "Mastchute-Timeout: 0\r\n", "x"), 400},
		{post("/v2/models/read-1/infer", "Mastchute-Tenant: east\r\n", "x"), 400},
		{post("/v2/models/read-1/infer", "", strings.Repeat("x", 101)), 413},
	} {
		conn := h.dial()
		if a := exchange(conn, bufio.NewReader(conn), c.text); a.status != c.status || a.outcome != "" || a.header.Get("Content-Type") != httpconn.ProblemType {
			t.Errorf("%q: %+v", c.text, a)
		}
	}
	h.on(func() {
		if h.gateway.lastSeq != 0 || h.gateway.inFlight != 0 || h.gateway.clients.BufferedBytes() != 0 {
			t.Errorf("taken %d, in hand %d, %d bytes held", h.gateway.lastSeq, h.gateway.inFlight, h.gateway.clients.BufferedBytes())
		}
	})
}

func TestMemoryForBodiesIsBounded(t *testing.T) {
	w := newWorker(t, "w1", neverRespond)
	h := newHarness(t, "limits: {body: 40kB, memory: 64KiB}\n", nil, w)
	big := strings.Repeat("x", 40_000)
	c := h.dial()
	fmt.Fprintf(c, "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 40000\r\n\r\n%s", big)
	h.until("the first is held", func() bool { return h.gateway.clients.BufferedBytes() == 40_000 })
	if a := h.post("read-1", "", big); a.status != 503 || a.outcome != "" {
		t.Errorf("%+v", a)
	}
	c.Close()
	h.until("its memory is handed back", func() bool { return h.gateway.clients.BufferedBytes() == 0 && h.gateway.inFlight == 0 })
}

// Rule 1: a worker that says nothing costs the client no more than its time; nothing is sent after.
func TestSilenceIsAnsweredInTime(t *testing.T) {
	w := newWorker(t, "w1", neverRespond)
	h := newHarness(t, "", nil, w)
	a := h.post("once-1", "Mastchute-Timeout: 0.3\r\n", "in")
	if a.status != 504 || a.outcome != "failed" || a.duration > 320*time.Millisecond || a.duration < 200*time.Millisecond {
		t.Errorf("%+v", a)
	}
	h.until("the forward is called off", func() bool { return w.closedCount() == 1 && h.gateway.inFlight == 0 })
	if len(w.received()) != 1 || h.guardCount("late") != 0 {
		t.Errorf("%d forwards; the host had to answer %g times", len(w.received()), h.guardCount("late"))
	}
}

func TestClientLeaves(t *testing.T) {
	w := newWorker(t, "w1", neverRespond)
	h := newHarness(t, "", nil, w)
	c := h.dial()
	io.WriteString(c, "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\nin")
	h.until("it is forwarded", func() bool { return len(w.received()) == 1 })
	c.Close()
	h.until("the forward is called off and forgotten", func() bool { return w.closedCount() == 1 && h.gateway.inFlight == 0 })
	if n := h.counterValue("mastchute_answers_total", "left"); n != 1 {
		t.Errorf("left counted %g times", n)
	}
}

// Rule 2: what each way of failing proves, for the strictest model group and for one that may run again.
func TestWhatProvesThatNothingRan(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  workerAction
		model  string
		status int
		answer string
		second bool // a retry goes to the other worker
	}{
		{"full", rejectAtCapacity, "once-1", 200, "returned", true},
		{"miss", rejectModelNotLoaded, "once-1", 200, "returned", true},
		{"503 without proof", rejectWithoutProof, "once-1", 502, "failed", false},
		{"error", failInternally, "once-1", 502, "failed", false},
		{"reset", resetConnection, "once-1", 502, "failed", false},
		{"cut short", truncateResponse, "once-1", 502, "failed", false},
		{"error, retriable", failInternally, "read-1", 200, "returned", true},
		{"reset, retriable", resetConnection, "read-1", 200, "returned", true},
		{"cut short, retriable", truncateResponse, "read-1", 200, "returned", true},
		{"reset, deduped in the zone", resetConnection, "write-1", 200, "returned", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			// Whichever worker is first does the act; the other, and it thereafter, is fine.
			var once sync.Once
			script := func(w net.Conn, q *http.Request) {
				do := succeed
				once.Do(func() { do = c.first })
				do(w, q)
			}
			a, b := newWorker(t, "w1", script), newWorker(t, "w2", script)
			h := newHarness(t, "", nil, a, b)
			h.expect(c.model, c.status, c.answer)
			if n := len(a.received()) + len(b.received()); n != map[bool]int{false: 1, true: 2}[c.second] {
				t.Errorf("%d forwards", n)
			}
			if got := append(a.received(), b.received()...); strings.HasPrefix(c.model, "write") && got[0].header.Get("Idempotency-Key") != got[1].header.Get("Idempotency-Key") {
				t.Error("a repeat does not carry the mark of the first")
			}
		})
	}
}

func TestNoConnectionProvesThatNothingRan(t *testing.T) {
	a, b := newWorker(t, "w1", succeed), newWorker(t, "w2", succeed)
	h := newHarness(t, "", nil, a, b)
	a.listener.Close()
	h.on(func() { h.gateway.workers[h.gateway.Members.ByName("w1").ID].transport.CloseIdle() })
	for i := range 8 {
		h.expect(fmt.Sprintf("once-%d", i), 200, "returned")
	}
	if len(a.received()) != 0 || h.counterValue("mastchute_forward_ends_total", "connect_failed") == 0 {
		t.Error("the dead worker was never tried, or was reached")
	}
}

// The classic trap: a kept connection that the worker closes as the next request is on its way. Bytes were written,
// so it may have run.
func TestReusedConnectionThatWasClosing(t *testing.T) {
	w := newWorker(t, "w1", succeed, resetConnection, succeed)
	h := newHarness(t, "", nil, w)
	h.expect("once-1", 200, "returned")
	h.expect("once-1", 502, "failed")
	if len(w.received()) != 2 {
		t.Errorf("%d forwards", len(w.received()))
	}
}

// Rule 2 for a deduped model group: outside its zone nothing is sent once an attempt may have run.
func TestDedupedStaysInItsZone(t *testing.T) {
	ws := []*scriptedWorker{newWorker(t, "w1", resetConnection), newWorker(t, "w2", resetConnection), newWorker(t, "w3", resetConnection), newWorker(t, "w4", resetConnection)}
	h := newHarness(t, "forwards: {most: 6}\n", nil, ws...)
	h.expect("write-1", 502, "failed")
	zone1, zone2 := len(ws[0].received())+len(ws[1].received()), len(ws[2].received())+len(ws[3].received())
	if zone1*zone2 != 0 || zone1+zone2 < 2 {
		t.Errorf("%d forwards in one zone, %d in the other", zone1, zone2)
	}
}

// A repeat of a deduplicated request that waits for a connection until its window is over never leaves.
func TestNoRepeatLeavesAfterItsWindow(t *testing.T) {
	a := newWorker(t, "w1", resetConnection, succeed)
	h := newHarness(t, "", nil, a)
	looked := 0
	h.on(func() {
		turn := h.gateway.Loop.AfterEvents
		h.gateway.Loop.AfterEvents = func() {
			turn()
			for _, q := range h.gateway.requests {
				if !q.inUse {
					continue
				}
				for _, f := range q.attempts[:q.attemptCount] {
					if c, _ := f.TransportState.(*httpAttempt); f.Index > 0 && !f.finished && c.call.SentAt == 0 {
						looked++
						c.call.SendDeadline = h.gateway.Loop.Now() - 0.001 // the connection comes up a moment too late
						q.group.Window = config.S(0)                       // and so do all further ones
					}
				}
			}
		}
	})
	if got := h.post("write-1", "", "in"); got.outcome == "returned" || got.err != nil {
		t.Errorf("%+v", got)
	}
	h.on(func() {
		if n := len(a.received()); n != 1 || looked == 0 {
			t.Errorf("%d forwards left, %d repeats were checked", n, looked)
		}
	})
}

// The window counts from the first attempt that may have run.
func TestWindowCountsFromTheFirstThatMayHaveRun(t *testing.T) {
	q := &Request{group: &group{}, attemptCount: 4}
	q.group.effect, q.group.Window = control.Deduplicated, config.S(2)
	q.attempts = [maxAttempts]*Attempt{{createdAt: 1, finished: true, result: control.AtCapacity}, {createdAt: 3, finished: true, result: control.ConnectionReset}, {createdAt: 4}, {createdAt: 4.5}}
	if until := dedupDeadline(q.attemptFacts(nil, q.attemptCount-1)); until != 5 {
		t.Errorf("it ends at %g", until)
	}
	if q.attemptCount = 2; !math.IsInf(dedupDeadline(q.attemptFacts(nil, q.attemptCount-1)), 1) {
		t.Error("a forward that never ran begins the window")
	}
	if q.attemptCount, q.group.effect = 4, control.Retriable; !math.IsInf(dedupDeadline(q.attemptFacts(nil, q.attemptCount-1)), 1) {
		t.Error("a retriable one has a window")
	}
}

// Rule 3 holds for what is held, what waits for a connection, and what is sent again.
func TestNothingNewAfterADrain(t *testing.T) {
	slow := workerAction(func(w net.Conn, q *http.Request) { time.Sleep(300 * time.Millisecond); succeed(w, q) })
	a := newWorker(t, "w1", slow)
	b := newWorker(t, "w2", succeed)
	h := newHarness(t, "limits: {worker_connections: 1}\n", nil, a)
	h.expect("read-1", 200, "returned") // warm, over one kept connection
	var wg sync.WaitGroup
	for range 5 {
		wg.Add(1)
		go func() { defer wg.Done(); h.expect("read-1", 200, "returned") }()
	}
	h.until("four wait for the connection", func() bool {
		return len(a.received()) == 2 && h.gateway.workers[h.gateway.Members.ByName("w1").ID].transport.QueuedCount() == 4
	})
	h.on(func() {
		if err := h.gateway.SetAdminState(membership.Entry{Name: "w2", Addr: b.addr(), State: control.Ready, Weight: 1}); err != nil {
			t.Error(err)
		}
	})
	h.until("w2 is told of", func() bool { return h.gateway.workers[h.gateway.Members.ByName("w2").ID].announced })
	h.on(func() {
		if err := h.gateway.SetAdminState(membership.Entry{Name: "w1", State: control.Draining}); err != nil {
			t.Error(err)
		}
	})
	wg.Wait()
	if len(a.received()) != 2 || len(b.received()) != 4 {
		t.Errorf("%d at the draining worker, %d at the other", len(a.received()), len(b.received()))
	}
}

// Rule 5, and the path of a miss: one load order, within the ration, then the attempt again.
func TestMissOrdersALoad(t *testing.T) {
	w := newWorker(t, "w1", rejectModelNotLoaded, respond(200, "Mastchute-Copies: 1\r\n", ""), succeed, rejectModelNotLoaded)
	h := newHarness(t, "loads: {on_miss: miss, window: 60s, few: 1, share: 0}\n", nil, w)
	h.expect("read-1", 200, "returned")
	if got := paths(w.received()); got != "/v2/models/read-1/infer /v2/repository/models/read-1/load /v2/models/read-1/infer" {
		t.Errorf("%s", got)
	}
	h.expect("read-2", 503, "shed") // the ration is used up
	if n := strings.Count(paths(w.received()), "/load"); n != 1 {
		t.Errorf("%d load orders, 1 allowed", n)
	}
}

// A worker that tells a new start is empty and cold: the decisions hear it with the answer that told it.
func TestNewStartIsHeard(t *testing.T) {
	now := float64(time.Now().UnixMilli()) / 1e3
	w := newWorker(t, "w1", succeed, func(c net.Conn, _ *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 X\r\nMastchute-Start: %.3f\r\nMastchute-Found: began\r\nContent-Length: 0\r\n\r\n", now)
	})
	h := newHarness(t, "", nil, w)
	h.expect("read-2", 200, "returned")
	h.expect("read-1", 200, "returned")
	h.on(func() { // what the process before held is forgotten, what the new one answered is not
		v := h.gateway.Status().Workers[0]
		if v.Age == nil || *v.Age > 60 || fmt.Sprint(v.Warm) != "[read-1]" {
			t.Errorf("%+v", v)
		}
	})
}

// A worker that is ready again, or whose connections were lost, is asked for its start before anything is sent to it on
// the word of the process before; until it answers it stays draining for the decisions, and is asked again.
func TestReturningWorkerIsGreeted(t *testing.T) {
	for _, how := range []string{"ready again", "connections lost"} {
		w := newWorker(t, "w1", succeed)
		h := newHarness(t, "", nil, w)
		h.expect("read-1", 200, "returned")
		asked := make(chan net.Conn, 10)
		w.mu.Lock()
		w.probeAction = func(c net.Conn, _ *http.Request) { asked <- c }
		w.mu.Unlock()
		if how == "ready again" {
			for _, s := range []control.WorkerState{control.Draining, control.Ready} {
				h.on(func() { h.gateway.SetAdminState(membership.Entry{Name: "w1", State: s}) })
			}
		} else {
			w.mu.Lock()
			for _, c := range w.connections {
				c.Close()
			}
			w.mu.Unlock()
		}
		c := <-asked
		h.on(func() {
			if l := h.gateway.Members.ByName("w1").Advertised(); how == "ready again" && l.State != control.Draining {
				t.Errorf("%s: told as %+v before it answered", how, l)
			}
		})
		c.Close() // no answer: it is asked again
		c = <-asked
		respond(200, "", "")(c, nil)
		h.until(how+": it is ready", func() bool { return h.gateway.Members.ByName("w1").Advertised().State == control.Ready })
		h.expect("read-1", 200, "returned")
	}
}

// Long answers go through as they come, whole, and hold no more memory than allowed while the client reads slowly.
func TestLongAnswersStream(t *testing.T) {
	big := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	for _, chunked := range []bool{false, true} {
		w := newWorker(t, "w1", func(c net.Conn, _ *http.Request) {
			if !chunked {
				fmt.Fprintf(c, "HTTP/1.1 200 X\r\nMastchute-Start: 1000.5\r\nContent-Length: %d\r\n\r\n", len(big))
				c.Write(big)
				return
			}
			io.WriteString(c, "HTTP/1.1 200 X\r\nMastchute-Start: 1000.5\r\nTransfer-Encoding: chunked\r\n\r\n")
			for rest := big; len(rest) > 0; rest = rest[1<<20:] {
				fmt.Fprintf(c, "%x\r\n%s\r\n", 1<<20, rest[:1<<20])
			}
			io.WriteString(c, "0\r\n\r\n")
		})
		h := newHarness(t, "limits: {answer: 64KiB}\n", nil, w)
		c := h.dial()
		io.WriteString(c, "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\nin")
		h.until("the answer streams and is held back", func() bool {
			for _, q := range h.gateway.requests {
				if !q.inUse {
					continue
				}
				if q.inUse && q.streamingAttempt != nil && q.Responder.(*httpResponseWriter).exchange.UnsentBytes() > 128<<10 {
					return true
				}
			}
			return false
		})
		h.on(func() {
			for _, q := range h.gateway.requests {
				if !q.inUse {
					continue
				}
				if q.inUse && q.Responder != nil && q.Responder.(*httpResponseWriter).exchange.UnsentBytes() > 512<<10 {
					t.Errorf("%d bytes wait for a client that reads nothing", q.Responder.(*httpResponseWriter).exchange.UnsentBytes())
				}
			}
		})
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil || !bytes.Equal(b, big) || resp.Header.Get("Mastchute-Answer") != "returned" {
			t.Errorf("chunked %v: %d bytes, %v", chunked, len(b), err)
		}
		h.until("nothing is in hand", func() bool { return h.gateway.inFlight == 0 })
	}
}

func TestStreamCutByTheWorkerIsCutForTheClient(t *testing.T) {
	w := newWorker(t, "w1", func(c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 X\r\nMastchute-Start: 1000.5\r\nContent-Length: 300000\r\n\r\n")
		c.Write(make([]byte, 200_000))
		c.Close()
	})
	h := newHarness(t, "limits: {answer: 64KiB}\n", nil, w)
	if a := h.post("read-1", "", "in"); a.err == nil {
		t.Errorf("a cut answer looks whole: %d bytes", len(a.body))
	}
	h.until("nothing is in hand", func() bool { return h.gateway.inFlight == 0 })
	if len(w.received()) != 1 {
		t.Errorf("%d forwards: once it streams, the answer is the client's", len(w.received()))
	}
}

// A long body goes to the worker in pieces, whole; it is not held a second time while the worker reads slowly.
func TestLongBodiesAreNotHeldTwice(t *testing.T) {
	goOn := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sum := make(chan int, 1)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				br := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if q.URL.Path != "/v2/load" {
						<-goOn
						b, _ := io.ReadAll(q.Body)
						sum <- len(b)
					}
					respond(200, "", "")(c, q)
				}
			}()
		}
	}()
	h := newHarness(t, "", nil, &scriptedWorker{name: "w1", listener: ln})
	out := make(chan clientResponse, 1)
	body := strings.Repeat("x", 8<<20)
	go func() { out <- h.post("read-1", "", body) }()
	var f *Attempt
	h.until("the forward waits for the worker to read", func() bool {
		for _, q := range h.gateway.requests {
			if q.inUse && q.attemptCount > 0 && q.attempts[0].Worker.transport.SentAt(q.attempts[0]) > 0 {
				f = q.attempts[0]
			}
		}
		return f != nil && f.TransportState.(*httpAttempt).call.UnsentBytes() > 0
	})
	h.on(func() {
		if n := f.TransportState.(*httpAttempt).call.UnsentBytes(); n > 256<<10 || f.TransportState.(*httpAttempt).call.FullySent() {
			t.Errorf("%d bytes are held for the worker, whole %v", n, f.TransportState.(*httpAttempt).call.FullySent())
		}
	})
	close(goOn)
	if a := <-out; a.status != 200 || <-sum != len(body) {
		t.Errorf("%+v", a)
	}
}

// faultyModule is a module with a fault.
type faultyModule struct {
	control.Module
	actions     control.Actions
	requestID   control.RequestID
	workerID    control.WorkerID
	onReconcile func(b *faultyModule)
}

func (b *faultyModule) RequestArrived(q control.Request) { b.requestID = q.ID }
func (b *faultyModule) UpdateWorkers(_ control.WorkerListKind, _ uint32, l []control.WorkerInfo) {
	if len(l) > 0 {
		b.workerID = l[0].ID
	}
}
func (b *faultyModule) Reconcile() {
	if b.requestID != 0 {
		b.onReconcile(b)
	}
}
func (b *faultyModule) AttemptFinished(control.AttemptResult) {}
func (b *faultyModule) RequestCancelled(control.RequestID)    {}

func newFaultyModule(f func(b *faultyModule)) NewModule {
	return func(seed uint64, s control.Settings, a control.Actions) control.Module {
		return &faultyModule{Module: control.New(seed, s, a), actions: a, onReconcile: f}
	}
}

func TestPanicEndsTheDispatcherHonestly(t *testing.T) {
	h := newHarness(t, "", newFaultyModule(func(*faultyModule) { panic("odd") }), newWorker(t, "w1", succeed))
	if a := h.post("once-1", "", "in"); a.status != 502 || a.outcome != "failed" {
		t.Errorf("%+v", a)
	}
	if err := <-h.done; err != nil {
		t.Error(err)
	}
	if h.gateway.ExitStatus().PanicMessage != "odd" {
		t.Errorf("%+v", h.gateway.ExitStatus())
	}
	h.done <- nil // for the clean-up
}

func TestHostAnswersWhereTheDecisionsDoNot(t *testing.T) {
	h := newHarness(t, "", newFaultyModule(func(*faultyModule) {}), newWorker(t, "w1", succeed))
	a := h.post("read-1", "Mastchute-Timeout: 0.2\r\n", "in")
	if a.status != 504 || a.outcome != "failed" || h.guardCount("late") != 1 {
		t.Errorf("%+v, guard %g", a, h.guardCount("late"))
	}
}

func TestHostBarsWhatTheRulesForbid(t *testing.T) {
	w := newWorker(t, "w1", succeed)
	h := newHarness(t, "", newFaultyModule(func(b *faultyModule) {
		b.actions.Shed(b.requestID, 0.5)
		b.actions.Shed(b.requestID, 0.5)                  // a second answer
		b.actions.SendAttempt(b.requestID, b.workerID, 0) // and an attempt after it
		b.requestID = 0
	}), w)
	a := h.post("read-1", "", "in")
	if a.status != 503 || a.outcome != "shed" || a.header.Get("Retry-After") != "1" || a.header.Get("Mastchute-Retry-After") != "0.500" {
		t.Errorf("%+v", a)
	}
	h.until("nothing is in hand", func() bool { return h.gateway.inFlight == 0 })
	if len(w.received()) != 0 || h.guardCount("forward_barred")+h.guardCount("unknown") != 1 {
		t.Errorf("%d forwards after the answer", len(w.received()))
	}
}

func TestStopAnswersWhatIsInHand(t *testing.T) {
	slow := workerAction(func(w net.Conn, q *http.Request) { time.Sleep(200 * time.Millisecond); succeed(w, q) })
	h := newHarness(t, "", nil, newWorker(t, "w1", slow))
	out := make(chan clientResponse, 1)
	go func() { out <- h.post("once-1", "", "in") }()
	h.until("it is in hand", func() bool { return h.gateway.inFlight == 1 })
	idle := h.dial()
	h.on(func() {})
	h.on(func() { h.gateway.Stop(5) })
	if a := <-out; a.status != 200 || a.outcome != "returned" {
		t.Errorf("%+v", a)
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("an idle connection is not closed")
	}
	if err := <-h.done; err != nil || h.gateway.ExitStatus() != (ExitStatus{}) {
		t.Errorf("%v %+v", err, h.gateway.ExitStatus())
	}
	if c, err := net.Dial("tcp", h.gateway.Addr().String()); err == nil {
		c.Close()
		t.Error("it still accepts")
	}
	h.done <- nil
}

func TestStopAtOnceFailsWhatIsInHand(t *testing.T) {
	h := newHarness(t, "", nil, newWorker(t, "w1", neverRespond))
	out := make(chan clientResponse, 1)
	go func() { out <- h.post("once-1", "", "in") }()
	h.until("it is in hand", func() bool { return h.gateway.inFlight == 1 })
	h.on(func() { h.gateway.Stop(30) })
	h.on(func() { h.gateway.Stop(0) })
	if a := <-out; a.status != 502 || a.outcome != "failed" {
		t.Errorf("%+v", a)
	}
	<-h.done
	if h.gateway.ExitStatus().FailedRequests != 1 {
		t.Errorf("%+v", h.gateway.ExitStatus())
	}
	h.done <- nil
}

func TestWorkerMovesToAnotherAddress(t *testing.T) {
	a, b := newWorker(t, "w1", succeed), newWorker(t, "w1", succeed)
	h := newHarness(t, "", nil, a)
	h.expect("read-1", 200, "returned")
	h.on(func() {
		h.gateway.ReplaceWorkers(membership.SourceConfig, []membership.Entry{{Name: "w1", Addr: b.addr(), State: control.Ready, Weight: 1}})
	})
	h.expect("read-1", 200, "returned")
	if len(a.received()) != 1 || len(b.received()) != 1 {
		t.Errorf("%d at the old address, %d at the new", len(a.received()), len(b.received()))
	}
}

// In the steady state the whole path, client and worker of this test included, allocates nothing for a request.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector allocates")
	}
	worker, err := eventloop.New(0)
	if err != nil {
		t.Fatal(err)
	}
	srv, err := httpconn.NewServer(worker, anyLoopbackAddr, echoService{}, httpconn.ServerOptions{})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 2)
	go func() { ended <- worker.Run() }()
	s := newWorker(t, "w0", succeed)
	h := newHarness(t, "log: {sample: 0}\n", nil, s)
	h.on(func() {
		h.gateway.ReplaceWorkers(membership.SourceConfig, []membership.Entry{{Name: "w1", Addr: srv.Addr(), State: control.Ready, Weight: 1}})
	})
	h.until("the echo worker is told of", func() bool { w := h.gateway.Members.ByName("w1"); return w != nil && h.gateway.workers[w.ID].announced })
	client, err := eventloop.New(0)
	if err != nil {
		t.Fatal(err)
	}
	c := &closedLoopClient{pool: httpconn.NewPool(client, h.gateway.Addr(), httpconn.PoolOptions{MaxConnections: 8}), warmUp: 4000, total: 24000}
	c.head = []byte("POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\n")
	c.stop = client.Stop
	client.Defer(func() {
		for i := range c.calls {
			c.calls[i].client = c
			c.calls[i].call.Handler = &c.calls[i]
			c.pool.Do(&c.calls[i].call, c.head, []byte("in"))
		}
	})
	if err := client.Run(); err != nil {
		t.Fatal(err)
	}
	worker.Stop()
	<-ended
	if c.failed > 0 {
		t.Fatalf("%d were not returned", c.failed)
	}
	per := float64(c.after.Mallocs-c.before.Mallocs) / float64(c.total-c.warmUp)
	if per > 0.02 {
		t.Errorf("%.3f allocations for each inference", per)
	}
}

type closedLoopClient struct {
	pool              *httpconn.Pool
	calls             [8]closedLoopCall
	head              []byte
	completed, failed int
	warmUp, total     int
	before, after     runtime.MemStats
	stop              func()
}

type closedLoopCall struct {
	client *closedLoopClient
	call   httpconn.Call
	status int
}

func (q *closedLoopCall) ResponseHead(h *httpcodec.Head) { q.status = h.Status }
func (q *closedLoopCall) ResponseBody([]byte)            {}
func (q *closedLoopCall) ResponseDone(err error) {
	c := q.client
	if err != nil || q.status != 200 {
		c.failed++
	}
	switch c.completed++; {
	case c.completed == c.warmUp:
		runtime.ReadMemStats(&c.before)
	case c.completed == c.total:
		runtime.ReadMemStats(&c.after)
		c.stop()
		return
	}
	c.pool.Do(&q.call, c.head, requestBody)
}

var requestBody = []byte("in")

type echoService struct{}

func (echoService) HeadReceived(*httpconn.Exchange) bool { return false }
func (echoService) RequestReceived(x *httpconn.Exchange) {
	x.FinishResponse(append(x.StartResponse(200), "Mastchute-Start: 1000.5\r\nMastchute-Found: warm\r\nendpoint-load-metrics: TEXT named_metrics.inflight=1, named_metrics.queue=0\r\n"...), requestBody)
}
func (echoService) ClientGone(*httpconn.Exchange)     {}
func (echoService) StreamWritable(*httpconn.Exchange) {}
func (echoService) RequestRefused(*httpcodec.Error)   {}
