package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	lib "github.com/apache/thrift/lib/go/thrift"
	"github.com/rs/zerolog"

	"mastchute/internal/lifecycle"
	"mastchute/internal/thrift/thrifttest"
)

// aliveFrame is a client's question whether the dispatcher can serve.
func aliveFrame(seq int32) []byte {
	return frame(thrifttest.Message(func(p *lib.TBinaryProtocol) {
		p.WriteMessageBegin(context.Background(), "alive", lib.CALL, seq)
		p.WriteFieldBegin(context.Background(), "", lib.BOOL, 1)
		p.WriteBool(context.Background(), true)
		p.WriteFieldStop(context.Background())
	}))
}

// waitEnd waits for the end of the dispatcher's loop.
func (r *harness) waitEnd() {
	r.t.Helper()
	select {
	case err := <-r.dispatcher.loopDone:
		if err != nil {
			r.t.Error(err)
		}
	case <-time.After(10 * time.Second):
		r.t.Fatal("the dispatcher does not end")
	}
	r.dispatcher.loopDone <- nil
}

// answerInFlight ends the attempt of the request in flight as served, as its worker's answer would.
func (r *harness) answerInFlight() {
	for _, k := range r.dispatcher.clients.inFlight {
		for c := range r.dispatcher.clients.workers.conns {
			c.Received(c.conn, []byte(string(k.id[:])+" served detail=resident 4\r\nwell\r\n"))
		}
	}
}

// An answer given in the very turn in which connections are closed still goes out: at a drain, and where an idle
// connection makes room for a new client.
func TestAnswerAndCloseInOneTurn(t *testing.T) {
	for name, closing := range map[string]func(*clientTransport){
		"drain": func(p *clientTransport) { p.Drain(); p.closeDrained() },
		"room":  func(p *clientTransport) { p.closeLongestIdle() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", ignore)
			r := newHarness(t, "load", w)
			c := r.dial()
			c.send("once", "in")
			r.waitFor("it is out", func() bool { return len(w.messages("invoke")) == 1 })
			r.onLoop(func() {
				r.answerInFlight()
				closing(r.dispatcher.clients)
			})
			if a, ok := c.readReply(); !ok || replyKind(a) != "returned" || a.Body != "well" {
				t.Errorf("%+v, open %v", a, ok)
			}
		})
	}
}

// A connection is not idle whose request lies unread when room is made.
func TestRoomSparesAnUnreadRequest(t *testing.T) {
	w := newFakeWorker(t, "w1", respondServed)
	r := newHarness(t, "load", w)
	old, idle := r.dial(), r.dial()
	for _, c := range []*testClient{old, idle} {
		c.Write(aliveFrame(1))
		if a, ok := c.readReply(); !ok || !a.Good {
			t.Fatalf("%+v %v", a, ok)
		}
	}
	r.onLoop(func() { // the loop stands still: the request is in the kernel, unread
		old.seq = 1
		old.send("once", "in")
		if !r.dispatcher.clients.closeLongestIdle() {
			t.Error("no room was made")
		}
	})
	if a, ok := old.readReply(); !ok || replyKind(a) != "returned" {
		t.Errorf("%+v, open %v", a, ok)
	}
	if a, ok := idle.readReply(); ok {
		t.Errorf("the idle one is open: %+v", a)
	}
}

// While draining, what was sent in time is answered: on a connection that waits in the listen backlog, unread on an open
// one, in pieces, and behind an answer on a connection that has just become idle.
func TestDrainAnswersWhatWasSent(t *testing.T) {
	w := newFakeWorker(t, "w1", ignore)
	r := newHarness(t, "load", w)
	open, pieces := r.dial(), r.dial()
	for _, c := range []*testClient{open, pieces} {
		c.Write(aliveFrame(1))
		if a, ok := c.readReply(); !ok || !a.Good {
			t.Fatalf("%+v %v", a, ok)
		}
		c.seq = 1
	}
	whole := requestFrame(2, "once", "in")
	pieces.Write(whole[:50])
	r.waitFor("a piece is in", func() bool {
		for c := r.dispatcher.clients.connRing.next; c != &r.dispatcher.clients.connRing; c = c.next {
			if c.partialMessage {
				return true
			}
		}
		return false
	})
	var waiting []*testClient
	r.onLoop(func() { // the loop stands still meanwhile: nothing is accepted or read
		for range 100 {
			c := r.dial()
			c.send("once", "in")
			waiting = append(waiting, c)
		}
		open.send("once", "in")
		r.dispatcher.Gateway.Stop(5)
		r.dispatcher.clients.closeDrained()
	})
	pieces.Write(whole[50:])
	for _, c := range append(waiting, open, pieces) {
		if a, ok := c.readReply(); !ok || replyKind(a) != "shed" {
			t.Errorf("%+v, open %v", a, ok)
		}
	}
	r.waitEnd()
}

// Before the platform's kill all in flight has its final answer: shed where it was never sent on, failed where it may
// have run.
func TestStopAnswersBeforeTheKill(t *testing.T) {
	w := newFakeWorker(t, "w1", ignore)
	r := newHarness(t, "load", w)
	r.onLoop(func() { r.dispatcher.maxTimeout = 60 })
	out := r.dial()
	out.send("once", "in", "patience=60000")
	r.waitFor("it is out", func() bool { return len(w.messages("invoke")) == 1 })
	held := r.dial()
	r.changeLog.publish(false, w.memberJSON("leaving", 0)) // no worker is left to take another
	r.waitFor("it is told", func() bool { return !r.dispatcher.Gateway.Ready() })
	held.send("once", "in", "patience=60000")
	r.waitFor("both are in hand", func() bool { return r.dispatcher.Gateway.InFlight() == 2 })
	r.onLoop(func() { r.dispatcher.Stop() })
	r.onLoop(func() { r.dispatcher.stopTimer.Fire(); r.dispatcher.Gateway.Stop(0) })
	for timeout, kill := range map[float64]float64{0.5: 1.2, 3: 3.7, 9: 3.7} { // the platform's, after SIGTERM
		if end := lifecycle.PlanStop(stopTimes, timeout).AnswerBy; end > kill-0.1 || end < kill-0.5 {
			t.Errorf("timeout %g: all is answered %g s after SIGTERM, killed after %g", timeout, end, kill)
		}
	}
	if a, ok := held.readReply(); !ok || replyKind(a) != "shed" {
		t.Errorf("never forwarded: %+v %v", a, ok)
	}
	if a, ok := out.readReply(); !ok || replyKind(a) != "failed" {
		t.Errorf("forwarded: %+v %v", a, ok)
	}
	r.waitEnd()
}

// What can't be read in the change log spares the rest, and does not come again for ever.
func TestChangeLogSparesWhatCanBeRead(t *testing.T) {
	a, b := newFakeWorker(t, "w1", respondServed), newFakeWorker(t, "w2", respondServed)
	for name, c := range map[string]struct {
		answer string // A and B are the workers, active
		want   []string
		last   int64
		count  string
		again  bool // the log is to be asked again from where it was
	}{
		"an entry":          {`{"seq":2,"results":[{"seq":2,"fleet":{"members":[{"id":"w9","host_port":"nowhere","phase":"active"},{"id":7},3,B]}}]}`, []string{"w1", "w2"}, 2, "change_log_entry", false},
		"a known entry":     {`{"seq":2,"results":[{"seq":2,"fleet":{"complete":true,"members":[{"id":"w1","host_port":"nowhere","phase":"active"},B]}}]}`, []string{"w1", "w2"}, 2, "change_log_entry", false},
		"an event":          {`{"seq":3,"results":[{"seq":2,"fleet":7},{"seq":3,"fleet":{"members":[B]}}]}`, []string{"w1", "w2"}, 3, "change_log_event", false},
		"out of order":      {`{"seq":3,"results":[{"seq":3,"fleet":{"members":[B]}},{"seq":2,"fleet":{"members":[]}}]}`, []string{"w1", "w2"}, 3, "", false},
		"an older number":   {`{"seq":1,"results":[{"seq":1,"fleet":{"complete":true,"members":[B]}}]}`, []string{"w1"}, 1, "", false},
		"one twice":         {`{"seq":2,"results":[{"seq":2,"fleet":{"complete":true,"members":[A,A,B]}}]}`, []string{"w1", "w2"}, 2, "", false},
		"whole, one less":   {`{"seq":2,"results":[{"seq":2,"fleet":{"complete":true,"members":[B]}}]}`, []string{"w2"}, 2, "", false},
		"a missing event":   {`{"seq":3,"results":[{"seq":3,"fleet":{"members":[B]}}]}`, []string{"w1"}, 1, "", true},
		"a number too high": {`{"seq":9,"results":[{"seq":2,"fleet":{"members":[B]}}]}`, []string{"w1", "w2"}, 2, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, "load", a)
			text := strings.NewReplacer("A", a.memberJSON("active", 0), "B", b.memberJSON("active", 0)).Replace(c.answer)
			take := func() (err error) {
				f := r.dispatcher.watch
				f.body, f.unusable = append(f.body[:0], text...), false
				f.call.Cancel()
				f.ResponseDone(nil)
				return err
			}
			r.onLoop(func() {
				take()
				var got []string
				for _, w := range r.dispatcher.Gateway.Members.All() {
					if w.Listed {
						got = append(got, w.Name)
					}
				}
				if f := r.dispatcher.watch; !slices.Equal(got, c.want) || f.lastSeq != c.last || (f.backoff > 0) != c.again {
					t.Errorf("workers %v, event %d, backoff %g; want %v, %d", got, f.lastSeq, f.backoff, c.want, c.last)
				}
				if n := r.dispatcher.clients.dropCounts[c.count]; c.count != "" && n == 0 {
					t.Errorf("not counted as %s: %v", c.count, r.dispatcher.clients.dropCounts)
				}
				if c.again { // the second time it is taken as lost
					if take(); r.dispatcher.watch.lastSeq <= c.last {
						t.Errorf("asked for event %d for ever", r.dispatcher.watch.lastSeq+1)
					}
				}
			})
		})
	}
}

// Polls that fail back off, doubling within bounds, and no two dispatchers' chance puts them in step.
func TestPollsBackOffWithJitter(t *testing.T) {
	gap := 0.0
	for i, want := range []float64{0.05, 0.1, 0.2, 0.4, 0.8, 1, 1} {
		if gap = nextBackoff(gap, true); math.Abs(gap-want) > 1e-9 {
			t.Errorf("gap %d is %g, want %g", i, gap, want)
		}
		early, late := pollDelay(gap, 0, 9), pollDelay(gap, 1, 9)
		if math.Abs(early-gap/2) > 1e-9 || math.Abs(late-gap) > 1e-9 {
			t.Errorf("a gap of %g is drawn from %g to %g", gap, early, late)
		}
	}
	if gap = nextBackoff(gap, false); gap != 0 || pollDelay(gap, 0.5, 0.005) != minPollInterval-0.005 || pollDelay(gap, 0.5, 1) != 0 {
		t.Errorf("after a good one: %g, %g, %g", gap, pollDelay(gap, 0.5, 0.005), pollDelay(gap, 0.5, 1))
	}
	a, b := newHarness(t, "load"), &harness{t: t, changeLog: newFakeChangeLog(t)}
	b.config = testConfig(t, b.changeLog, "load")
	b.config.seed++ // the platform gives each dispatcher another one
	b.start()
	var first, second float64
	a.onLoop(func() { first = a.dispatcher.Gateway.RandomFloat() })
	b.onLoop(func() { second = b.dispatcher.Gateway.RandomFloat() })
	if first == second {
		t.Error("two dispatchers draw the same")
	}
}

// An event that tells an older start of a worker does not make a cold one warm.
func TestLatestStartHolds(t *testing.T) {
	r := newHarness(t, "load")
	w := newFakeWorker(t, "w1", respondServed)
	now := time.Now().UnixMilli()
	r.changeLog.publish(false, w.memberJSON("active", now))
	r.changeLog.publish(false, w.memberJSON("leaving", 0))
	r.waitFor("both are heard", func() bool { return r.dispatcher.watch.lastSeq == 3 })
	r.onLoop(func() {
		if e := r.dispatcher.Gateway.Members.ByName("w1").Epoch; e != float64(now)/1e3 {
			t.Errorf("start %g, told %d ms", e, now)
		}
	})
}

// A reload says which of the changed fields are not taken over.
func TestReloadNamesWhatItLeaves(t *testing.T) {
	r := newHarness(t, "load", newFakeWorker(t, "w1", respondServed))
	n := *r.config
	n.Limits.MemoryMB, n.Name = 32, "n1"
	var out bytes.Buffer
	r.onLoop(func() { r.dispatcher.logger = zerolog.New(&out); r.dispatcher.Reload(&n) })
	if !strings.Contains(out.String(), `["name","limits"]`) {
		t.Errorf("%s", out.String())
	}
	if r.config.differs(r.config) != nil {
		t.Error("nothing changed")
	}
	out.Reset()
	r.onLoop(func() { r.dispatcher.Reload(r.config) })
	if strings.Contains(out.String(), "fields") {
		t.Errorf("what was started by is told as a change: %s", out.String())
	}
}

// A start waits for an address that the process before still holds, and heeds a signal meanwhile.
func TestStartWaitsForItsAddress(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer before.Close()
	f := testConfig(t, newFakeChangeLog(t), "load")
	f.listen = netip.MustParseAddrPort(before.Addr().String())
	sig := lifecycle.NewSignals()
	sig.Reload <- syscall.SIGHUP
	sig.Stop <- syscall.SIGTERM
	if d, err := newWithRetry(f, "", zerolog.Nop(), sig); d != nil || !errors.Is(err, errStopRequested) {
		t.Errorf("told to stop: %v %v", d, err)
	}
	fds := func() int { list, _ := os.ReadDir("/proc/self/fd"); return len(list) }
	was := fds()
	for range 3 {
		if _, err := New(f, zerolog.Nop()); err == nil {
			t.Fatal("two hold one address")
		}
	}
	if n := fds(); n > was {
		t.Errorf("%d descriptors after failed starts, %d before", n, was)
	}
	before.Close()
	d, err := newWithRetry(f, "", zerolog.Nop(), sig)
	if err != nil {
		t.Fatal(err)
	}
	go func() { d.loopDone <- d.Loop.Run() }()
	d.Loop.Stop()
	if err := <-d.loopDone; err != nil {
		t.Error(err)
	}
}

// A SIGHUP while a start waits for its address has the configuration read anew, here with another address.
func TestReloadWhileAStartWaits(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer before.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	free := configJSON(t)
	held := strings.Replace(free, "127.0.0.1:0", before.Addr().String(), 1)
	f, err := parseFile([]byte(held))
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(path, []byte(free), 0o600)
	sig := lifecycle.NewSignals()
	sig.Reload <- syscall.SIGHUP
	d, err := newWithRetry(f, path, zerolog.Nop(), sig)
	if err != nil || d == nil {
		t.Fatalf("%v %v", d, err)
	}
	go func() { d.loopDone <- d.Loop.Run() }()
	d.Loop.Stop()
	if err := <-d.loopDone; err != nil {
		t.Error(err)
	}
	os.WriteFile(path, []byte("{"), 0o600) // one that can't be read leaves the start waiting by the old one
	sig.Reload <- syscall.SIGHUP
	sig.Stop <- syscall.SIGTERM
	if d, err := newWithRetry(f, path, zerolog.Nop(), sig); d != nil || !errors.Is(err, errStopRequested) {
		t.Errorf("told to stop: %v %v", d, err)
	}
}

// The process itself: a start that can't be, signals before it serves, an unreadable file in service, and a stop.
func TestRunBySignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("LB_CONFIG", path)
	var bad bytes.Buffer
	for _, text := range []string{"", "{", `{"listen":"x"}`, strings.Replace(configJSON(t), `"sockets":256`, `"sockets":3`, 1)} {
		os.WriteFile(path, []byte(text), 0o600)
		bad.Reset()
		if code := Run(&bad); code == 0 || strings.Count(bad.String(), "\n") != 1 {
			t.Errorf("%q: exit %d, %q", text, code, bad.String())
		}
	}
	os.WriteFile(path, []byte(strings.Replace(configJSON(t), `{"name"`, `{"new_field":{"a":[1]},"name"`, 1)), 0o600)
	in, out := io.Pipe()
	code := make(chan int, 1)
	go func() { code <- Run(out); out.Close() }()
	self, _ := os.FindProcess(os.Getpid())
	text, told, buf := "", 0, make([]byte, 4096)
	for {
		n, err := in.Read(buf)
		if text += string(buf[:n]); err != nil {
			break
		}
		switch {
		case told == 0 && strings.Contains(text, `"serving"`):
			told++
			os.WriteFile(path, []byte("{"), 0o600)
			self.Signal(syscall.SIGHUP)
		case told == 1 && strings.Contains(text, "the previous one stays in force"):
			told++
			self.Signal(syscall.SIGTERM)
		case told == 2 && strings.Contains(text, "shutdown signal received"):
			told++
			self.Signal(syscall.SIGTERM) // a second one in the middle
			self.Signal(syscall.SIGHUP)
		}
	}
	if c := <-code; c != 0 || told != 3 || !strings.Contains(text, `"stopped"`) {
		t.Errorf("exit %d after %d signals:\n%s", c, told, text)
	}
}

// configJSON is a configuration as the platform writes it.
func configJSON(t *testing.T) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":64,"sockets":256},
	"changelog":%q,"known":{"seq":0,"results":[]},"settings":%s}`, newFakeChangeLog(t).server.Listener.Addr(), testSettings("load"))
}

// A client's tenant and its word that it asked before reach the host by the settings' names; an unknown tenant is none.
func TestTenantsOfTheSettings(t *testing.T) {
	w := newFakeWorker(t, "w1", ignore)
	r := newHarness(t, "load", w)
	r.onLoop(func() { r.dispatcher.clients.tenants["town-library"] = 2 })
	c := r.dial()
	c.send("read", "in", "customer=town-library", "redo=1")
	c.send("read", "in", "customer=nobody")
	r.waitFor("both are in hand", func() bool { return r.dispatcher.Gateway.InFlight() == 2 })
	r.onLoop(func() {
		for _, k := range r.dispatcher.clients.inFlight {
			if want := map[int32]int{1: 2, 2: -1}[k.seqID]; k.request.Tenant() != want {
				t.Errorf("call %d: tenant %d, want %d", k.seqID, k.request.Tenant(), want)
			}
		}
	})
}
