package platform

import (
	"bytes"
	"context"
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

// alive is a client's question whether the dispatcher can serve.
func alive(seq int32) []byte {
	return frame(thrifttest.Message(func(p *lib.TBinaryProtocol) {
		p.WriteMessageBegin(context.Background(), "alive", lib.CALL, seq)
		p.WriteFieldBegin(context.Background(), "", lib.BOOL, 1)
		p.WriteBool(context.Background(), true)
		p.WriteFieldStop(context.Background())
	}))
}

// ended waits for the end of the dispatcher's loop.
func (r *rig) ended() {
	r.t.Helper()
	select {
	case err := <-r.d.ended:
		if err != nil {
			r.t.Error(err)
		}
	case <-time.After(10 * time.Second):
		r.t.Fatal("the dispatcher does not end")
	}
	r.d.ended <- nil
}

// answerInHand ends the attempt of the request in flight as served, as its worker's answer would.
func (r *rig) answerInHand() {
	for _, k := range r.d.front.open {
		for c := range r.d.front.workers.conns {
			c.Received(c.conn, []byte(string(k.id[:])+" served detail=resident 4\r\nwell\r\n"))
		}
	}
}

// An answer given in the very turn in which connections are closed still goes out: at a drain, and where an idle
// connection makes room for a new client.
func TestAnswerAndCloseInOneTurn(t *testing.T) {
	for name, closing := range map[string]func(*front){
		"drain": func(p *front) { p.Drain(); p.closeIdle() },
		"room":  func(p *front) { p.makeRoom() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorker(t, "w1", silent)
			r := newRig(t, "load", w)
			c := r.dial()
			c.send("once", "in")
			r.until("it is out", func() bool { return len(w.seen("invoke")) == 1 })
			r.on(func() {
				r.answerInHand()
				closing(r.d.front)
			})
			if a, ok := c.answer(); !ok || kind(a) != "returned" || a.Body != "well" {
				t.Errorf("%+v, open %v", a, ok)
			}
		})
	}
}

// A connection is not idle whose request lies unread when room is made.
func TestRoomSparesAnUnreadRequest(t *testing.T) {
	w := newWorker(t, "w1", fine)
	r := newRig(t, "load", w)
	old, idle := r.dial(), r.dial()
	for _, c := range []*client{old, idle} {
		c.Write(alive(1))
		if a, ok := c.answer(); !ok || !a.Good {
			t.Fatalf("%+v %v", a, ok)
		}
	}
	r.on(func() { // the loop stands still: the request is in the kernel, unread
		old.seq = 1
		old.send("once", "in")
		if !r.d.front.makeRoom() {
			t.Error("no room was made")
		}
	})
	if a, ok := old.answer(); !ok || kind(a) != "returned" {
		t.Errorf("%+v, open %v", a, ok)
	}
	if a, ok := idle.answer(); ok {
		t.Errorf("the idle one is open: %+v", a)
	}
}

// While draining, what was sent in time is answered: on a connection that waits in the listen backlog, unread on an open
// one, in pieces, and behind an answer on a connection that has just become idle.
func TestDrainAnswersWhatWasSent(t *testing.T) {
	w := newWorker(t, "w1", silent)
	r := newRig(t, "load", w)
	open, pieces := r.dial(), r.dial()
	for _, c := range []*client{open, pieces} {
		c.Write(alive(1))
		if a, ok := c.answer(); !ok || !a.Good {
			t.Fatalf("%+v %v", a, ok)
		}
		c.seq = 1
	}
	whole := request(2, "once", "in")
	pieces.Write(whole[:50])
	r.until("a piece is in", func() bool {
		for c := r.d.front.oldest.next; c != &r.d.front.oldest; c = c.next {
			if c.part {
				return true
			}
		}
		return false
	})
	var waiting []*client
	r.on(func() { // the loop stands still meanwhile: nothing is accepted or read
		for range 100 {
			c := r.dial()
			c.send("once", "in")
			waiting = append(waiting, c)
		}
		open.send("once", "in")
		r.d.Gateway.Stop(5)
		r.d.front.closeIdle()
	})
	pieces.Write(whole[50:])
	for _, c := range append(waiting, open, pieces) {
		if a, ok := c.answer(); !ok || kind(a) != "shed" {
			t.Errorf("%+v, open %v", a, ok)
		}
	}
	r.ended()
}

// Before the platform's kill all in flight has its final answer: shed where it was never sent on, failed where it may
// have run.
func TestStopAnswersBeforeTheKill(t *testing.T) {
	w := newWorker(t, "w1", silent)
	r := newRig(t, "load", w)
	r.on(func() { r.d.timeout = 60 })
	out := r.dial()
	out.send("once", "in", "patience=60000")
	r.until("it is out", func() bool { return len(w.seen("invoke")) == 1 })
	held := r.dial()
	r.log.add(false, w.member("leaving", 0)) // no worker is left to take another
	r.until("it is told", func() bool { return !r.d.Gateway.Ready() })
	held.send("once", "in", "patience=60000")
	r.until("both are in hand", func() bool { return r.d.Gateway.InFlight() == 2 })
	r.on(func() { r.d.Stop() })
	r.on(func() { r.d.stop.Fire(); r.d.Gateway.Stop(0) })
	for timeout, kill := range map[float64]float64{0.5: 1.2, 3: 3.7, 9: 3.7} { // the platform's, after SIGTERM
		if end := lifecycle.PlanStop(stopTimes, timeout).AnswerBy; end > kill-0.1 || end < kill-0.5 {
			t.Errorf("timeout %g: all is answered %g s after SIGTERM, killed after %g", timeout, end, kill)
		}
	}
	if a, ok := held.answer(); !ok || kind(a) != "shed" {
		t.Errorf("never forwarded: %+v %v", a, ok)
	}
	if a, ok := out.answer(); !ok || kind(a) != "failed" {
		t.Errorf("forwarded: %+v %v", a, ok)
	}
	r.ended()
}

// What can't be read in the change log spares the rest, and does not come again for ever.
func TestChangeLogSparesWhatCanBeRead(t *testing.T) {
	a, b := newWorker(t, "w1", fine), newWorker(t, "w2", fine)
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
			r := newRig(t, "load", a)
			text := strings.NewReplacer("A", a.member("active", 0), "B", b.member("active", 0)).Replace(c.answer)
			take := func() (err error) {
				f := r.d.feed
				f.body, f.over = append(f.body[:0], text...), false
				f.call.Cancel()
				f.ResponseDone(nil)
				return err
			}
			r.on(func() {
				take()
				var got []string
				for _, w := range r.d.Gateway.Members.All() {
					if w.Listed {
						got = append(got, w.Name)
					}
				}
				if f := r.d.feed; !slices.Equal(got, c.want) || f.last != c.last || (f.gap > 0) != c.again {
					t.Errorf("workers %v, event %d, backoff %g; want %v, %d", got, f.last, f.gap, c.want, c.last)
				}
				if n := r.d.front.refused[c.count]; c.count != "" && n == 0 {
					t.Errorf("not counted as %s: %v", c.count, r.d.front.refused)
				}
				if c.again { // the second time it is taken as lost
					if take(); r.d.feed.last <= c.last {
						t.Errorf("asked for event %d for ever", r.d.feed.last+1)
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
	if gap = nextBackoff(gap, false); gap != 0 || pollDelay(gap, 0.5, 0.005) != pollLeast-0.005 || pollDelay(gap, 0.5, 1) != 0 {
		t.Errorf("after a good one: %g, %g, %g", gap, pollDelay(gap, 0.5, 0.005), pollDelay(gap, 0.5, 1))
	}
	a, b := newRig(t, "load"), &rig{t: t, log: newChangeLog(t)}
	b.file = rigFile(t, b.log, "load")
	b.file.seed++ // the platform gives each dispatcher another one
	b.start()
	var first, second float64
	a.on(func() { first = a.d.Gateway.RandomFloat() })
	b.on(func() { second = b.d.Gateway.RandomFloat() })
	if first == second {
		t.Error("two dispatchers draw the same")
	}
}

// An event that tells an older start of a worker does not make a cold one warm.
func TestLatestStartHolds(t *testing.T) {
	r := newRig(t, "load")
	w := newWorker(t, "w1", fine)
	now := time.Now().UnixMilli()
	r.log.add(false, w.member("active", now))
	r.log.add(false, w.member("leaving", 0))
	r.until("both are heard", func() bool { return r.d.feed.last == 3 })
	r.on(func() {
		if e := r.d.Gateway.Members.ByName("w1").Epoch; e != float64(now)/1e3 {
			t.Errorf("start %g, told %d ms", e, now)
		}
	})
}

// A reload says which of the changed fields are not taken over.
func TestReloadNamesWhatItLeaves(t *testing.T) {
	r := newRig(t, "load", newWorker(t, "w1", fine))
	n := *r.file
	n.Limits.MemoryMB, n.Name = 32, "n1"
	var out bytes.Buffer
	r.on(func() { r.d.log = zerolog.New(&out); r.d.Reload(&n) })
	if !strings.Contains(out.String(), `["name","limits"]`) {
		t.Errorf("%s", out.String())
	}
	if r.file.differs(r.file) != nil {
		t.Error("nothing changed")
	}
	out.Reset()
	r.on(func() { r.d.Reload(r.file) })
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
	f := rigFile(t, newChangeLog(t), "load")
	f.listen = netip.MustParseAddrPort(before.Addr().String())
	sig := lifecycle.NewSignals()
	sig.Reload <- syscall.SIGHUP
	sig.Stop <- syscall.SIGTERM
	if d, err := newWhenFree(f, "", zerolog.Nop(), sig); d != nil || err != nil {
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
	d, err := newWhenFree(f, "", zerolog.Nop(), sig)
	if err != nil {
		t.Fatal(err)
	}
	go func() { d.ended <- d.Loop.Run() }()
	d.Loop.Stop()
	if err := <-d.ended; err != nil {
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
	free := runFile(t)
	held := strings.Replace(free, "127.0.0.1:0", before.Addr().String(), 1)
	f, err := parseFile([]byte(held))
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(path, []byte(free), 0o600)
	sig := lifecycle.NewSignals()
	sig.Reload <- syscall.SIGHUP
	d, err := newWhenFree(f, path, zerolog.Nop(), sig)
	if err != nil || d == nil {
		t.Fatalf("%v %v", d, err)
	}
	go func() { d.ended <- d.Loop.Run() }()
	d.Loop.Stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
	os.WriteFile(path, []byte("{"), 0o600) // one that can't be read leaves the start waiting by the old one
	sig.Reload <- syscall.SIGHUP
	sig.Stop <- syscall.SIGTERM
	if d, err := newWhenFree(f, path, zerolog.Nop(), sig); d != nil || err != nil {
		t.Errorf("told to stop: %v %v", d, err)
	}
}

// The process itself: a start that can't be, signals before it serves, an unreadable file in service, and a stop.
func TestRunBySignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("LB_CONFIG", path)
	var bad bytes.Buffer
	for _, text := range []string{"", "{", `{"listen":"x"}`, strings.Replace(runFile(t), `"sockets":256`, `"sockets":3`, 1)} {
		os.WriteFile(path, []byte(text), 0o600)
		bad.Reset()
		if code := Run(&bad); code == 0 || strings.Count(bad.String(), "\n") != 1 {
			t.Errorf("%q: exit %d, %q", text, code, bad.String())
		}
	}
	os.WriteFile(path, []byte(strings.Replace(runFile(t), `{"name"`, `{"new_field":{"a":[1]},"name"`, 1)), 0o600)
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
		case told == 1 && strings.Contains(text, "the old one stays in force"):
			told++
			self.Signal(syscall.SIGTERM)
		case told == 2 && strings.Contains(text, "told to stop"):
			told++
			self.Signal(syscall.SIGTERM) // a second one in the middle
			self.Signal(syscall.SIGHUP)
		}
	}
	if c := <-code; c != 0 || told != 3 || !strings.Contains(text, `"stopped"`) {
		t.Errorf("exit %d after %d signals:\n%s", c, told, text)
	}
}

// runFile is a configuration as the platform writes it.
func runFile(t *testing.T) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":64,"sockets":256},
	"changelog":%q,"known":{"seq":0,"results":[]},"settings":%s}`, newChangeLog(t).srv.Listener.Addr(), rigSettings("load"))
}

// A client's tenant and its word that it asked before reach the host by the settings' names; an unknown tenant is none.
func TestTenantsOfTheSettings(t *testing.T) {
	w := newWorker(t, "w1", silent)
	r := newRig(t, "load", w)
	r.on(func() { r.d.front.tenants["town-library"] = 2 })
	c := r.dial()
	c.send("read", "in", "customer=town-library", "redo=1")
	c.send("read", "in", "customer=nobody")
	r.until("both are in hand", func() bool { return r.d.Gateway.InFlight() == 2 })
	r.on(func() {
		for _, k := range r.d.front.open {
			if want := map[int32]int{1: 2, 2: -1}[k.seq]; k.q.Tenant() != want {
				t.Errorf("call %d: tenant %d, want %d", k.seq, k.q.Tenant(), want)
			}
		}
	})
}
