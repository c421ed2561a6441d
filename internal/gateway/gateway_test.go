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
	w := newWorker(t, "w1", reply(200, "Content-Type: text/x\r\nX-Kept: 1\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\nendpoint-load-metrics: TEXT named_metrics.inflight=3, named_metrics.queue=1\r\n", "well"))
	r := newRig(t, "", nil, w)
	a := r.ask("read-1", "X-Mine: a\r\nConnection: X-Hop\r\nX-Hop: b\r\nMastchute-Dispatcher: forged\r\nMastchute-Timeout: 2\r\nMastchute-Tenant: north\r\n", "body")
	if a.status != 200 || a.answer != "returned" || a.body != "well" || a.header.Get("X-Kept") != "1" || a.header.Get("Content-Type") != "text/x" ||
		a.header.Get("Keep-Alive") != "" || a.header.Get("endpoint-load-metrics") != "" || a.header.Get("Mastchute-Start") != "" {
		t.Errorf("%+v", a)
	}
	s := w.seen()
	if len(s) != 1 || s[0].body != "body" || s[0].path != "/v2/models/read-1/infer" || s[0].header.Get("X-Mine") != "a" || s[0].header.Get("X-Hop") != "" ||
		s[0].header.Get("Mastchute-Dispatcher") != "d0" || s[0].header.Get("Mastchute-Inference") != a.header.Get("Mastchute-Inference") ||
		s[0].header.Get("Mastchute-Forward") != "0" || s[0].header.Get("Mastchute-Tenant") != "north" || s[0].header.Get("Idempotency-Key") != "" {
		t.Errorf("%+v", s)
	}
	r.on(func() {
		if v := r.g.Status(); v.Workers[0].Report <= 0 || v.InHand != 0 || v.Memory != 0 || len(v.Workers[0].Warm) != 1 {
			t.Errorf("%+v", v)
		}
	})
}

func TestConnectionsOfClients(t *testing.T) {
	r := newRig(t, "", nil, newWorker(t, "w1", func(w net.Conn, q *http.Request) { reply(200, "", q.Header.Get("N"))(w, q) }))
	c := r.dial()
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
	if a := exchange(c, br, "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n"); a.status != 400 || a.answer != "" {
		t.Errorf("smuggled: %+v", a)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the connection goes on after a malformed request: %v", err)
	}
}

func TestRefusalsTakeNothing(t *testing.T) {
	r := newRig(t, "limits: {body: 100B, memory: 64KiB}\n", nil, newWorker(t, "w1", fine))
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
		conn := r.dial()
		if a := exchange(conn, bufio.NewReader(conn), c.text); a.status != c.status || a.answer != "" || a.header.Get("Content-Type") != httpconn.ProblemType {
			t.Errorf("%q: %+v", c.text, a)
		}
	}
	r.on(func() {
		if r.g.seq != 0 || r.g.inFlight != 0 || r.g.front.BufferedBytes() != 0 {
			t.Errorf("taken %d, in hand %d, %d bytes held", r.g.seq, r.g.inFlight, r.g.front.BufferedBytes())
		}
	})
}

func TestMemoryForBodiesIsBounded(t *testing.T) {
	w := newWorker(t, "w1", silent)
	r := newRig(t, "limits: {body: 40kB, memory: 64KiB}\n", nil, w)
	big := strings.Repeat("x", 40_000)
	c := r.dial()
	fmt.Fprintf(c, "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 40000\r\n\r\n%s", big)
	r.until("the first is held", func() bool { return r.g.front.BufferedBytes() == 40_000 })
	if a := r.ask("read-1", "", big); a.status != 503 || a.answer != "" {
		t.Errorf("%+v", a)
	}
	c.Close()
	r.until("its memory is handed back", func() bool { return r.g.front.BufferedBytes() == 0 && r.g.inFlight == 0 })
}

// Rule 1: a worker that says nothing costs the client no more than its time; nothing is sent after.
func TestSilenceIsAnsweredInTime(t *testing.T) {
	w := newWorker(t, "w1", silent)
	r := newRig(t, "", nil, w)
	a := r.ask("once-1", "Mastchute-Timeout: 0.3\r\n", "in")
	if a.status != 504 || a.answer != "failed" || a.took > 320*time.Millisecond || a.took < 200*time.Millisecond {
		t.Errorf("%+v", a)
	}
	r.until("the forward is called off", func() bool { return w.ended() == 1 && r.g.inFlight == 0 })
	if len(w.seen()) != 1 || r.guard("late") != 0 {
		t.Errorf("%d forwards; the host had to answer %g times", len(w.seen()), r.guard("late"))
	}
}

func TestClientLeaves(t *testing.T) {
	w := newWorker(t, "w1", silent)
	r := newRig(t, "", nil, w)
	c := r.dial()
	io.WriteString(c, "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\nin")
	r.until("it is forwarded", func() bool { return len(w.seen()) == 1 })
	c.Close()
	r.until("the forward is called off and forgotten", func() bool { return w.ended() == 1 && r.g.inFlight == 0 })
	if n := counted(r, "mastchute_answers_total", "left"); n != 1 {
		t.Errorf("left counted %g times", n)
	}
}

// Rule 2: what each way of failing proves, for the strictest model group and for one that may run again.
func TestWhatProvesThatNothingRan(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  act
		model  string
		status int
		answer string
		second bool // a retry goes to the other worker
	}{
		{"full", full, "once-1", 200, "returned", true},
		{"miss", missed, "once-1", 200, "returned", true},
		{"503 without proof", doubt, "once-1", 502, "failed", false},
		{"error", broken, "once-1", 502, "failed", false},
		{"reset", reset, "once-1", 502, "failed", false},
		{"cut short", half, "once-1", 502, "failed", false},
		{"error, retriable", broken, "read-1", 200, "returned", true},
		{"reset, retriable", reset, "read-1", 200, "returned", true},
		{"cut short, retriable", half, "read-1", 200, "returned", true},
		{"reset, deduped in the zone", reset, "write-1", 200, "returned", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			// Whichever worker is first does the act; the other, and it thereafter, is fine.
			var once sync.Once
			script := func(w net.Conn, q *http.Request) {
				do := fine
				once.Do(func() { do = c.first })
				do(w, q)
			}
			a, b := newWorker(t, "w1", script), newWorker(t, "w2", script)
			r := newRig(t, "", nil, a, b)
			r.expect(c.model, c.status, c.answer)
			if n := len(a.seen()) + len(b.seen()); n != map[bool]int{false: 1, true: 2}[c.second] {
				t.Errorf("%d forwards", n)
			}
			if got := append(a.seen(), b.seen()...); strings.HasPrefix(c.model, "write") && got[0].header.Get("Idempotency-Key") != got[1].header.Get("Idempotency-Key") {
				t.Error("a repeat does not carry the mark of the first")
			}
		})
	}
}

func TestNoConnectionProvesThatNothingRan(t *testing.T) {
	a, b := newWorker(t, "w1", fine), newWorker(t, "w2", fine)
	r := newRig(t, "", nil, a, b)
	a.ln.Close()
	r.on(func() { r.g.workers[r.g.Members.ByName("w1").ID].link.CloseIdle() })
	for i := range 8 {
		r.expect(fmt.Sprintf("once-%d", i), 200, "returned")
	}
	if len(a.seen()) != 0 || counted(r, "mastchute_forward_ends_total", "connect_failed") == 0 {
		t.Error("the dead worker was never tried, or was reached")
	}
}

// The classic trap: a kept connection that the worker closes as the next request is on its way. Bytes were written,
// so it may have run.
func TestReusedConnectionThatWasClosing(t *testing.T) {
	w := newWorker(t, "w1", fine, reset, fine)
	r := newRig(t, "", nil, w)
	r.expect("once-1", 200, "returned")
	r.expect("once-1", 502, "failed")
	if len(w.seen()) != 2 {
		t.Errorf("%d forwards", len(w.seen()))
	}
}

// Rule 2 for a deduped model group: outside its zone nothing is sent once an attempt may have run.
func TestDedupedStaysInItsZone(t *testing.T) {
	ws := []*scripted{newWorker(t, "w1", reset), newWorker(t, "w2", reset), newWorker(t, "w3", reset), newWorker(t, "w4", reset)}
	r := newRig(t, "forwards: {most: 6}\n", nil, ws...)
	r.expect("write-1", 502, "failed")
	zone1, zone2 := len(ws[0].seen())+len(ws[1].seen()), len(ws[2].seen())+len(ws[3].seen())
	if zone1*zone2 != 0 || zone1+zone2 < 2 {
		t.Errorf("%d forwards in one zone, %d in the other", zone1, zone2)
	}
}

// A repeat of a deduplicated request that waits for a connection until its window is over never leaves.
func TestNoRepeatLeavesAfterItsWindow(t *testing.T) {
	a := newWorker(t, "w1", reset, fine)
	r := newRig(t, "", nil, a)
	looked := 0
	r.on(func() {
		turn := r.g.Loop.AfterEvents
		r.g.Loop.AfterEvents = func() {
			turn()
			for _, q := range r.g.requests {
				if !q.live {
					continue
				}
				for _, f := range q.attempts[:q.attempted] {
					if c, _ := f.TransportState.(*httpCall); f.Index > 0 && !f.done && c.call.SentAt == 0 {
						looked++
						c.call.SendDeadline = r.g.Loop.Now() - 0.001 // the connection comes up a moment too late
						q.group.Window = config.S(0)                 // and so do all further ones
					}
				}
			}
		}
	})
	if got := r.ask("write-1", "", "in"); got.answer == "returned" || got.err != nil {
		t.Errorf("%+v", got)
	}
	r.on(func() {
		if n := len(a.seen()); n != 1 || looked == 0 {
			t.Errorf("%d forwards left, %d repeats were looked at", n, looked)
		}
	})
}

// The window counts from the first attempt that may have run.
func TestWindowCountsFromTheFirstThatMayHaveRun(t *testing.T) {
	q := &Request{group: &group{}, attempted: 4}
	q.group.effect, q.group.Window = control.Deduplicated, config.S(2)
	q.attempts = [maxAttempts]*Attempt{{made: 1, done: true, result: control.AtCapacity}, {made: 3, done: true, result: control.ConnectionReset}, {made: 4}, {made: 4.5}}
	if until := repeatsUntil(q.terms(nil, q.attempted-1)); until != 5 {
		t.Errorf("it ends at %g", until)
	}
	if q.attempted = 2; !math.IsInf(repeatsUntil(q.terms(nil, q.attempted-1)), 1) {
		t.Error("a forward that never ran begins the window")
	}
	if q.attempted, q.group.effect = 4, control.Retriable; !math.IsInf(repeatsUntil(q.terms(nil, q.attempted-1)), 1) {
		t.Error("a retriable one has a window")
	}
}

// Rule 3 holds for what is held, what waits for a connection, and what is sent again.
func TestNothingNewAfterADrain(t *testing.T) {
	slow := act(func(w net.Conn, q *http.Request) { time.Sleep(300 * time.Millisecond); fine(w, q) })
	a := newWorker(t, "w1", slow)
	b := newWorker(t, "w2", fine)
	r := newRig(t, "limits: {worker_connections: 1}\n", nil, a)
	r.expect("read-1", 200, "returned") // warm, over one kept connection
	var wg sync.WaitGroup
	for range 5 {
		wg.Add(1)
		go func() { defer wg.Done(); r.expect("read-1", 200, "returned") }()
	}
	r.until("four wait for the connection", func() bool {
		return len(a.seen()) == 2 && r.g.workers[r.g.Members.ByName("w1").ID].link.QueuedCount() == 4
	})
	r.on(func() {
		if err := r.g.SetAdminState(membership.Entry{Name: "w2", Addr: mustAddr(b), State: control.Ready, Weight: 1}); err != nil {
			t.Error(err)
		}
	})
	r.until("w2 is told of", func() bool { return r.g.workers[r.g.Members.ByName("w2").ID].told })
	r.on(func() {
		if err := r.g.SetAdminState(membership.Entry{Name: "w1", State: control.Draining}); err != nil {
			t.Error(err)
		}
	})
	wg.Wait()
	if len(a.seen()) != 2 || len(b.seen()) != 4 {
		t.Errorf("%d at the draining worker, %d at the other", len(a.seen()), len(b.seen()))
	}
}

// Rule 5, and the path of a miss: one load order, within the ration, then the attempt again.
func TestMissOrdersALoad(t *testing.T) {
	w := newWorker(t, "w1", missed, reply(200, "Mastchute-Copies: 1\r\n", ""), fine, missed)
	r := newRig(t, "loads: {on_miss: miss, window: 60s, few: 1, share: 0}\n", nil, w)
	r.expect("read-1", 200, "returned")
	if got := paths(w.seen()); got != "/v2/models/read-1/infer /v2/repository/models/read-1/load /v2/models/read-1/infer" {
		t.Errorf("%s", got)
	}
	r.expect("read-2", 503, "shed") // the ration is used up
	if n := strings.Count(paths(w.seen()), "/load"); n != 1 {
		t.Errorf("%d load orders, 1 allowed", n)
	}
}

// A worker that tells a new start is empty and cold: the decisions hear it with the answer that told it.
func TestNewStartIsHeard(t *testing.T) {
	now := float64(time.Now().UnixMilli()) / 1e3
	w := newWorker(t, "w1", fine, func(c net.Conn, _ *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 X\r\nMastchute-Start: %.3f\r\nMastchute-Found: began\r\nContent-Length: 0\r\n\r\n", now)
	})
	r := newRig(t, "", nil, w)
	r.expect("read-2", 200, "returned")
	r.expect("read-1", 200, "returned")
	r.on(func() { // what the process before held is forgotten, what the new one answered is not
		v := r.g.Status().Workers[0]
		if v.Age == nil || *v.Age > 60 || fmt.Sprint(v.Warm) != "[read-1]" {
			t.Errorf("%+v", v)
		}
	})
}

// A worker that is ready again, or whose connections were lost, is asked for its start before anything is sent to it on
// the word of the process before; until it answers it stays draining for the decisions, and is asked again.
func TestReturningWorkerIsGreeted(t *testing.T) {
	for _, how := range []string{"ready again", "connections lost"} {
		w := newWorker(t, "w1", fine)
		r := newRig(t, "", nil, w)
		r.expect("read-1", 200, "returned")
		asked := make(chan net.Conn, 10)
		w.mu.Lock()
		w.greet = func(c net.Conn, _ *http.Request) { asked <- c }
		w.mu.Unlock()
		if how == "ready again" {
			for _, s := range []control.WorkerState{control.Draining, control.Ready} {
				r.on(func() { r.g.SetAdminState(membership.Entry{Name: "w1", State: s}) })
			}
		} else {
			w.mu.Lock()
			for _, c := range w.open {
				c.Close()
			}
			w.mu.Unlock()
		}
		c := <-asked
		r.on(func() {
			if l := r.g.Members.ByName("w1").Advertised(); how == "ready again" && l.State != control.Draining {
				t.Errorf("%s: told as %+v before it answered", how, l)
			}
		})
		c.Close() // no answer: it is asked again
		c = <-asked
		reply(200, "", "")(c, nil)
		r.until(how+": it is ready", func() bool { return r.g.Members.ByName("w1").Advertised().State == control.Ready })
		r.expect("read-1", 200, "returned")
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
		r := newRig(t, "limits: {answer: 64KiB}\n", nil, w)
		c := r.dial()
		io.WriteString(c, "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\nin")
		r.until("the answer streams and is held back", func() bool {
			for _, q := range r.g.requests {
				if !q.live {
					continue
				}
				if q.live && q.streaming != nil && q.Responder.(*httpClient).x.UnsentBytes() > 128<<10 {
					return true
				}
			}
			return false
		})
		r.on(func() {
			for _, q := range r.g.requests {
				if !q.live {
					continue
				}
				if q.live && q.Responder != nil && q.Responder.(*httpClient).x.UnsentBytes() > 512<<10 {
					t.Errorf("%d bytes wait for a client that reads nothing", q.Responder.(*httpClient).x.UnsentBytes())
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
		r.until("nothing is in hand", func() bool { return r.g.inFlight == 0 })
	}
}

func TestStreamCutByTheWorkerIsCutForTheClient(t *testing.T) {
	w := newWorker(t, "w1", func(c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 X\r\nMastchute-Start: 1000.5\r\nContent-Length: 300000\r\n\r\n")
		c.Write(make([]byte, 200_000))
		c.Close()
	})
	r := newRig(t, "limits: {answer: 64KiB}\n", nil, w)
	if a := r.ask("read-1", "", "in"); a.err == nil {
		t.Errorf("a cut answer looks whole: %d bytes", len(a.body))
	}
	r.until("nothing is in hand", func() bool { return r.g.inFlight == 0 })
	if len(w.seen()) != 1 {
		t.Errorf("%d forwards: once it streams, the answer is the client's", len(w.seen()))
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
					reply(200, "", "")(c, q)
				}
			}()
		}
	}()
	r := newRig(t, "", nil, &scripted{name: "w1", ln: ln})
	out := make(chan got, 1)
	body := strings.Repeat("x", 8<<20)
	go func() { out <- r.ask("read-1", "", body) }()
	var f *Attempt
	r.until("the forward waits for the worker to read", func() bool {
		for _, q := range r.g.requests {
			if q.live && q.attempted > 0 && q.attempts[0].Worker.link.SentAt(q.attempts[0]) > 0 {
				f = q.attempts[0]
			}
		}
		return f != nil && f.TransportState.(*httpCall).call.UnsentBytes() > 0
	})
	r.on(func() {
		if n := f.TransportState.(*httpCall).call.UnsentBytes(); n > 256<<10 || f.TransportState.(*httpCall).call.FullySent() {
			t.Errorf("%d bytes are held for the worker, whole %v", n, f.TransportState.(*httpCall).call.FullySent())
		}
	})
	close(goOn)
	if a := <-out; a.status != 200 || <-sum != len(body) {
		t.Errorf("%+v", a)
	}
}

// broke is a module with a fault.
type broke struct {
	control.Module
	act    control.Actions
	id     control.RequestID
	w      control.WorkerID
	settle func(b *broke)
}

func (b *broke) RequestArrived(q control.Request) { b.id = q.ID }
func (b *broke) UpdateWorkers(_ control.WorkerListKind, _ uint32, l []control.WorkerInfo) {
	if len(l) > 0 {
		b.w = l[0].ID
	}
}
func (b *broke) Reconcile() {
	if b.id != 0 {
		b.settle(b)
	}
}
func (b *broke) AttemptFinished(control.AttemptResult) {}
func (b *broke) RequestCancelled(control.RequestID)    {}

func brokeStart(f func(b *broke)) NewModule {
	return func(seed uint64, s control.Settings, a control.Actions) control.Module {
		return &broke{Module: control.New(seed, s, a), act: a, settle: f}
	}
}

func TestPanicEndsTheDispatcherHonestly(t *testing.T) {
	r := newRig(t, "", brokeStart(func(*broke) { panic("odd") }), newWorker(t, "w1", fine))
	if a := r.ask("once-1", "", "in"); a.status != 502 || a.answer != "failed" {
		t.Errorf("%+v", a)
	}
	if err := <-r.done; err != nil {
		t.Error(err)
	}
	if r.g.ExitStatus().PanicMessage != "odd" {
		t.Errorf("%+v", r.g.ExitStatus())
	}
	r.done <- nil // for the clean-up
}

func TestHostAnswersWhereTheDecisionsDoNot(t *testing.T) {
	r := newRig(t, "", brokeStart(func(*broke) {}), newWorker(t, "w1", fine))
	a := r.ask("read-1", "Mastchute-Timeout: 0.2\r\n", "in")
	if a.status != 504 || a.answer != "failed" || r.guard("late") != 1 {
		t.Errorf("%+v, guard %g", a, r.guard("late"))
	}
}

func TestHostBarsWhatTheRulesForbid(t *testing.T) {
	w := newWorker(t, "w1", fine)
	r := newRig(t, "", brokeStart(func(b *broke) {
		b.act.Shed(b.id, 0.5)
		b.act.Shed(b.id, 0.5)           // a second answer
		b.act.SendAttempt(b.id, b.w, 0) // and an attempt after it
		b.id = 0
	}), w)
	a := r.ask("read-1", "", "in")
	if a.status != 503 || a.answer != "shed" || a.header.Get("Retry-After") != "1" || a.header.Get("Mastchute-Retry-After") != "0.500" {
		t.Errorf("%+v", a)
	}
	r.until("nothing is in hand", func() bool { return r.g.inFlight == 0 })
	if len(w.seen()) != 0 || r.guard("forward_barred")+r.guard("unknown") != 1 {
		t.Errorf("%d forwards after the answer", len(w.seen()))
	}
}

func TestStopAnswersWhatIsInHand(t *testing.T) {
	slow := act(func(w net.Conn, q *http.Request) { time.Sleep(200 * time.Millisecond); fine(w, q) })
	r := newRig(t, "", nil, newWorker(t, "w1", slow))
	out := make(chan got, 1)
	go func() { out <- r.ask("once-1", "", "in") }()
	r.until("it is in hand", func() bool { return r.g.inFlight == 1 })
	idle := r.dial()
	r.on(func() {})
	r.on(func() { r.g.Stop(5) })
	if a := <-out; a.status != 200 || a.answer != "returned" {
		t.Errorf("%+v", a)
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("an idle connection is not closed")
	}
	if err := <-r.done; err != nil || r.g.ExitStatus() != (ExitStatus{}) {
		t.Errorf("%v %+v", err, r.g.ExitStatus())
	}
	if c, err := net.Dial("tcp", r.g.Addr().String()); err == nil {
		c.Close()
		t.Error("it still accepts")
	}
	r.done <- nil
}

func TestStopAtOnceFailsWhatIsInHand(t *testing.T) {
	r := newRig(t, "", nil, newWorker(t, "w1", silent))
	out := make(chan got, 1)
	go func() { out <- r.ask("once-1", "", "in") }()
	r.until("it is in hand", func() bool { return r.g.inFlight == 1 })
	r.on(func() { r.g.Stop(30) })
	r.on(func() { r.g.Stop(0) })
	if a := <-out; a.status != 502 || a.answer != "failed" {
		t.Errorf("%+v", a)
	}
	<-r.done
	if r.g.ExitStatus().FailedRequests != 1 {
		t.Errorf("%+v", r.g.ExitStatus())
	}
	r.done <- nil
}

func TestWorkerMovesToAnotherAddress(t *testing.T) {
	a, b := newWorker(t, "w1", fine), newWorker(t, "w1", fine)
	r := newRig(t, "", nil, a)
	r.expect("read-1", 200, "returned")
	r.on(func() {
		r.g.ReplaceWorkers(membership.SourceConfig, []membership.Entry{{Name: "w1", Addr: mustAddr(b), State: control.Ready, Weight: 1}})
	})
	r.expect("read-1", 200, "returned")
	if len(a.seen()) != 1 || len(b.seen()) != 1 {
		t.Errorf("%d at the old address, %d at the new", len(a.seen()), len(b.seen()))
	}
}

// In the steady state the whole path, client and worker of this test included, allocates nothing for a request.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	if raceOn {
		t.Skip("the race detector allocates")
	}
	worker, err := eventloop.New(0)
	if err != nil {
		t.Fatal(err)
	}
	srv, err := httpconn.NewServer(worker, free, warmEcho{}, httpconn.ServerOptions{})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 2)
	go func() { ended <- worker.Run() }()
	s := newWorker(t, "w0", fine)
	r := newRig(t, "log: {sample: 0}\n", nil, s)
	r.on(func() {
		r.g.ReplaceWorkers(membership.SourceConfig, []membership.Entry{{Name: "w1", Addr: srv.Addr(), State: control.Ready, Weight: 1}})
	})
	r.until("the echo worker is told of", func() bool { w := r.g.Members.ByName("w1"); return w != nil && r.g.workers[w.ID].told })
	client, err := eventloop.New(0)
	if err != nil {
		t.Fatal(err)
	}
	c := &closed{pool: httpconn.NewPool(client, r.g.Addr(), httpconn.PoolOptions{MaxConnections: 8}), warm: 4000, total: 24000}
	c.head = []byte("POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\n")
	c.stop = client.Stop
	client.Defer(func() {
		for i := range c.calls {
			c.calls[i].c = c
			c.calls[i].call.Handler = &c.calls[i]
			c.pool.Do(&c.calls[i].call, c.head, []byte("in"))
		}
	})
	if err := client.Run(); err != nil {
		t.Fatal(err)
	}
	worker.Stop()
	<-ended
	if c.bad > 0 {
		t.Fatalf("%d were not returned", c.bad)
	}
	per := float64(c.after.Mallocs-c.before.Mallocs) / float64(c.total-c.warm)
	if per > 0.02 {
		t.Errorf("%.3f allocations for each inference", per)
	}
}

type closed struct {
	pool          *httpconn.Pool
	calls         [8]closedCall
	head          []byte
	n, bad        int
	warm, total   int
	before, after runtime.MemStats
	stop          func()
}

type closedCall struct {
	c      *closed
	call   httpconn.Call
	status int
}

func (q *closedCall) ResponseHead(h *httpcodec.Head) { q.status = h.Status }
func (q *closedCall) ResponseBody([]byte)            {}
func (q *closedCall) ResponseDone(err error) {
	c := q.c
	if err != nil || q.status != 200 {
		c.bad++
	}
	switch c.n++; {
	case c.n == c.warm:
		runtime.ReadMemStats(&c.before)
	case c.n == c.total:
		runtime.ReadMemStats(&c.after)
		c.stop()
		return
	}
	c.pool.Do(&q.call, c.head, inBody)
}

var inBody = []byte("in")

type warmEcho struct{}

func (warmEcho) HeadReceived(*httpconn.Exchange) bool { return false }
func (warmEcho) RequestReceived(x *httpconn.Exchange) {
	x.FinishResponse(append(x.StartResponse(200), "Mastchute-Start: 1000.5\r\nMastchute-Found: warm\r\nendpoint-load-metrics: TEXT named_metrics.inflight=1, named_metrics.queue=0\r\n"...), inBody)
}
func (warmEcho) ClientGone(*httpconn.Exchange)     {}
func (warmEcho) StreamWritable(*httpconn.Exchange) {}
func (warmEcho) RequestRefused(*httpcodec.Error)   {}
