package platform

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls"
	"mastchute/internal/syscalls/faults"
	"mastchute/internal/thrift/thrifttest"
)

// failing is a kernel whose failures a test switches on and off.
type failing struct {
	faults.Kernel
	mu    sync.Mutex
	call  faults.Call
	errno syscall.Errno
	until time.Time
	every int64        // only each so many-th call fails; 0 for all
	scrap atomic.Int64 // bytes that a read or write takes at most; 0 for no bound
	hits  atomic.Int64
	still atomic.Int64 // ns that the next wait stands still before it looks
	mid   atomic.Int64 // ns that the next read stands still
}

// newFailing makes the kernel of all loops of a test.
func newFailing(t *testing.T) *failing {
	k := &failing{Kernel: faults.Kernel{Kernel: syscalls.Linux{}}}
	k.Fail = func(c faults.Call, _ int) error {
		if c == faults.EpollWait {
			time.Sleep(time.Duration(k.still.Swap(0)))
		}
		if c == faults.Read {
			time.Sleep(time.Duration(k.mid.Swap(0)))
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if c == k.call && time.Now().Before(k.until) {
			if n := k.hits.Add(1); k.every == 0 || n%k.every == 0 {
				return k.errno
			}
		}
		return nil
	}
	k.Short = func(_ faults.Call, _, n int) int {
		if most := int(k.scrap.Load()); most > 0 {
			return most
		}
		return n
	}
	syscalls.Default = k
	t.Cleanup(func() { syscalls.Default = syscalls.Linux{} })
	return k
}

// fail lets a call fail for a while.
func (k *failing) fail(c faults.Call, errno syscall.Errno, span time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.call, k.errno, k.until = c, errno, time.Now().Add(span)
}

// failEach lets only each so many-th call fail.
func (k *failing) failEach(n int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.every = n
}

// Failures of accept that pass lose nobody, in service and in a stop.
func TestPassingFailuresOfAccept(t *testing.T) {
	t.Run("serving", acceptFailsForAWhile)
	t.Run("draining", acceptFailsWhileDraining)
}

// A process that stood still counts time from when things came in, and hears all of them before it acts.
func TestStandstill(t *testing.T) {
	t.Run("deadlines", standstillShortensDeadlines)
	t.Run("leaving", standstillHearsLeavingFirst)
}

// What waits in the backlog while accept fails, each other time, is served when that has passed.
func acceptFailsForAWhile(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ECONNABORTED, unix.EINTR, unix.EPROTO} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			k := newFailing(t)
			r := newRig(t, "load", newWorker(t, "w1", fine))
			r.expect("read", "returned")
			k.failEach(2)
			k.fail(faults.Accept, errno, 300*time.Millisecond)
			r.all(t, 12, "returned")
			if k.hits.Load() == 0 {
				t.Error("accept never failed")
			}
		})
	}
}

// all sends a request on each of so many new connections at once, and expects the same answer to each. It returns when each
// was sent, by id.
func (r *rig) all(t *testing.T, n int, want string) map[string]time.Time {
	t.Helper()
	var clients []*client
	sent := map[string]time.Time{}
	for range n {
		c, id := r.dial(), newID()
		sent[id] = time.Now()
		c.send("read", "in", "trace="+id)
		clients = append(clients, c)
	}
	got := map[string]int{}
	for _, c := range clients {
		if a, ok := c.answer(); ok {
			got[kind(a)]++
		} else {
			got["closed"]++
		}
	}
	if got[want] != n {
		t.Errorf("%v, want %d %s", got, n, want)
	}
	return sent
}

// The same while the process is told to stop: connections that wait in the backlog are answered before it ends.
func acceptFailsWhileDraining(t *testing.T) {
	k := newFailing(t)
	r := newRig(t, "load", newWorker(t, "w1", fine))
	r.expect("read", "returned")
	r.on(r.d.Stop)
	time.Sleep(650 * time.Millisecond)
	k.fail(faults.Accept, unix.ENFILE, 300*time.Millisecond)
	var clients []*client
	for range 12 {
		c := r.dial()
		c.send("read", "in")
		clients = append(clients, c)
	}
	closed := 0
	for _, c := range clients {
		if _, ok := c.answer(); !ok {
			closed++
		}
	}
	if closed > 0 || k.hits.Load() == 0 {
		t.Errorf("%d of 12 closed without an answer; accept failed %d times", closed, k.hits.Load())
	}
}

// A start outlasts what passes: one system call that fails for a moment, a configuration half written or not readable.
func TestStartOutlastsPassingFailures(t *testing.T) {
	for _, c := range []struct {
		call  faults.Call
		errno syscall.Errno
	}{{faults.Socket, unix.ENOBUFS}, {faults.Socket, unix.ENFILE}, {faults.Bind, unix.EADDRNOTAVAIL}, {faults.Listen, unix.ENOBUFS},
		{faults.EpollCreate, unix.EMFILE}, {faults.EventFD, unix.ENFILE}, {faults.EpollControl, unix.ENOMEM}, {faults.ReadFile, unix.EIO}} {
		t.Run(string(c.call)+" "+unix.ErrnoName(c.errno), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			t.Setenv("LB_CONFIG", path)
			os.WriteFile(path, []byte(runFile(t)), 0o600)
			k := newFailing(t)
			span := 150 * time.Millisecond
			if c.call == faults.ReadFile {
				span = 1500 * time.Millisecond // a disk may take its time
			}
			k.fail(c.call, c.errno, span)
			runUntilServing(t)
			if k.hits.Load() == 0 {
				t.Error("the call never failed")
			}
		})
	}
	t.Run("half written", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "config.json")
		t.Setenv("LB_CONFIG", path)
		text := runFile(t)
		os.WriteFile(path, []byte(text[:len(text)/2]), 0o600)
		time.AfterFunc(150*time.Millisecond, func() { os.WriteFile(path, []byte(text), 0o600) })
		runUntilServing(t)
	})
}

// runUntilServing runs the process until it says that it serves, and then stops it.
func runUntilServing(t *testing.T) {
	t.Helper()
	out := &watchedLog{lines: make(chan string, 1000)}
	code := make(chan int, 1)
	go func() { code <- Run(out) }()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case line := <-out.lines:
			if strings.Contains(line, `"serving"`) {
				syscall.Kill(os.Getpid(), syscall.SIGTERM)
				if c := <-code; c != 0 {
					t.Errorf("exit %d", c)
				}
				return
			}
		case c := <-code:
			t.Fatalf("exit %d before it served", c)
		case <-deadline:
			t.Fatal("it does not serve")
		}
	}
}

// watchedLog hands each line of a log on, and drops those nobody reads.
type watchedLog struct{ lines chan string }

func (w *watchedLog) Write(b []byte) (int, error) {
	select {
	case w.lines <- string(b):
	default:
	}
	return len(b), nil
}

// After a standstill of the process the deadlines passed on are what clients have left, counted from when their requests
// came in; on open connections, on new ones, and where the standstill comes in the middle of a turn.
func standstillShortensDeadlines(t *testing.T) {
	const still = 600 * time.Millisecond
	for _, c := range []struct {
		name string
		stop func(k *failing, d time.Duration)
		open bool
	}{
		{"before the look, open connection", func(k *failing, d time.Duration) { k.still.Store(int64(d)) }, true},
		{"before the look, new connection", func(k *failing, d time.Duration) { k.still.Store(int64(d)) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newFailing(t)
			w := newWorker(t, "w1", fine)
			r := newRig(t, "load", w)
			r.expect("read", "returned")
			clients := r.dialMany(10)
			if c.open {
				r.until("all are accepted", func() bool { return r.d.front.conns >= 10 })
			}
			c.stop(k, still)
			r.d.Loop.Post(func() {}) // ends the wait at hand; the next one stands still
			time.Sleep(30 * time.Millisecond)
			if !c.open {
				for i := range clients {
					clients[i] = r.dial()
				}
			}
			sent := time.Now()
			for _, c := range clients {
				c.send("read", "in")
			}
			for _, c := range clients {
				if a, ok := c.answer(); !ok || kind(a) != "returned" {
					t.Errorf("%+v %v", a, ok)
				}
			}
			if took := time.Since(sent); took < still/2 {
				t.Fatalf("answered after %v: it did not stand still", took)
			}
			checkBudgets(t, w.seen("invoke")[1:], time.Duration(patienceMS)*time.Millisecond-(still-50*time.Millisecond)+150*time.Millisecond)
		})
	}
}

// dialMany opens so many connections.
func (r *rig) dialMany(n int) (clients []*client) {
	r.t.Helper()
	for range n {
		clients = append(clients, r.dial())
	}
	return clients
}

// checkBudgets looks at the deadlines passed on.
func checkBudgets(t *testing.T, list []seen, most time.Duration) {
	t.Helper()
	long := 0
	for _, m := range list {
		if budget(t, m) > most {
			long++
		}
	}
	if long > 0 || len(list) == 0 {
		t.Errorf("%d of %d deadlines are longer than %v", long, len(list), most)
	}
}

// budget is the deadline in an attempt.
func budget(t *testing.T, m seen) time.Duration {
	t.Helper()
	_, rest, _ := strings.Cut(m.fields, "budget=")
	ms, _, _ := strings.Cut(rest, ",")
	d, err := time.ParseDuration(ms + "ms")
	if err != nil {
		t.Fatalf("%s: %v", m.fields, err)
	}
	return d
}

// After a standstill, or one in the middle of a turn, no attempt begins for a client that has closed or cancelled meanwhile,
// also where its leaving lies behind more bytes than one read takes.
func standstillHearsLeavingFirst(t *testing.T) {
	const still = 500 * time.Millisecond
	before := func(k *failing, r *rig) { k.still.Store(int64(still)); r.d.Loop.Post(func() {}) }
	middle := func(k *failing, r *rig) {
		k.mid.Store(int64(still)) // the read of this probe stands still, and the requests are read in the same turn
		r.dial().Write([]byte{0})
	}
	for _, c := range []struct {
		name   string
		still  func(k *failing, r *rig)
		behind int // bytes of other requests before the leaving
		cancel bool
	}{{"closes", before, 0, false}, {"cancels", before, 0, true}, {"closes behind much", before, 8, false}, {"cancels behind much", before, 8, true},
		{"closes in the middle of a turn", middle, 0, false}, {"cancels in the middle of a turn", middle, 0, true}} {
		t.Run(c.name, func(t *testing.T) {
			k := newFailing(t)
			w := newWorker(t, "w1", fine)
			r := newRig(t, "load", w)
			r.expect("read", "returned")
			clients := r.dialMany(10)
			r.until("all are accepted", func() bool { return r.d.front.conns >= 10 })
			c.still(k, r)
			time.Sleep(30 * time.Millisecond)
			for _, cl := range clients {
				for range c.behind {
					cl.send("read", strings.Repeat("x", 15<<10))
				}
				seq := cl.send("read", "gone")
				if c.cancel {
					for n := int32(1); n <= seq; n++ {
						cl.Write(cancelFrame(n))
					}
				} else {
					cl.Close()
				}
			}
			time.Sleep(still + 200*time.Millisecond)
			if n := len(w.seen("invoke")) - 1; n > 0 {
				t.Errorf("%d attempts begin after their clients have gone", n)
			}
			r.expect("read", "returned")
		})
	}
}

// SIGHUP in a burst, while the configuration is read slowly, does not drop the SIGTERM behind it.
func TestBurstOfSignalsKeepsTheStop(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("LB_CONFIG", path)
	os.WriteFile(path, []byte(runFile(t)), 0o600)
	k := newFailing(t)
	k.Kernel.Fail = func(c faults.Call, _ int) error {
		if c == faults.ReadFile {
			time.Sleep(100 * time.Millisecond) // a slow disk: the signals come in meanwhile
		}
		return nil
	}
	out := &watchedLog{lines: make(chan string, 1000)}
	code := make(chan int, 1)
	go func() { code <- Run(out) }()
	for line := range out.lines {
		if strings.Contains(line, `"serving"`) {
			break
		}
	}
	for range 30 {
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	select {
	case c := <-code:
		if c != 0 {
			t.Errorf("exit %d", c)
		}
	case <-time.After(4 * time.Second):
		t.Error("SIGTERM behind a burst of SIGHUP was dropped")
		syscall.Kill(os.Getpid(), syscall.SIGTERM)
		<-code
	}
}

func cancelFrame(target int32) []byte { return frame(thrifttest.Cancel(target)) }

// A configuration that is half written when SIGHUP comes is in force once it is whole, without another signal.
func TestReloadOfAHalfWrittenFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("LB_CONFIG", path)
	text := runFile(t)
	os.WriteFile(path, []byte(text), 0o600)
	out := &watchedLog{lines: make(chan string, 1000)}
	code := make(chan int, 1)
	go func() { code <- Run(out) }()
	out.until(t, `"serving"`)
	other := newChangeLog(t).srv.Listener.Addr().String()
	moved := regexp.MustCompile(`"changelog":"[^"]*"`).ReplaceAllString(text, `"changelog":"`+other+`"`)
	os.WriteFile(path, []byte(moved[:len(moved)/2]), 0o600)
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	out.until(t, "the old one stays in force")
	os.WriteFile(path, []byte(moved), 0o600)
	out.until(t, `"change_log":"`+other+`"`)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if c := <-code; c != 0 {
		t.Errorf("exit %d", c)
	}
}

// until waits for a line that holds a text.
func (w *watchedLog) until(t *testing.T, text string) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for {
		select {
		case line := <-w.lines:
			if strings.Contains(line, text) {
				return
			}
		case <-deadline:
			t.Fatalf("no line holds %s", text)
		}
	}
}

// A message that stands still half sent does not cost the answers owed on its connection; it is cut off when they are given.
func TestStalledMessageSparesOpenRequests(t *testing.T) {
	w := newWorker(t, "w1", func(c net.Conn, m seen) { time.Sleep(1400 * time.Millisecond); fine(c, m) })
	r := newRig(t, "load", w)
	c := r.dial()
	c.send("once", "in")
	c.Write(request(2, "read", "never whole")[:50])
	if a, ok := c.answer(); !ok || kind(a) != "returned" {
		t.Errorf("the open request: %+v %v", a, ok)
	}
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if a, ok := c.answer(); ok {
		t.Errorf("an answer to half a message: %+v", a)
	}
	if n := r.refused("message_stalled"); n != 1 {
		t.Errorf("%d stalled messages", n)
	}
}

// After a standstill longer than the grace, nothing is sent on the word of a list that may be out of date: the change log is
// asked first. One that does not answer holds nothing up for long.
func TestStandstillAsksTheChangeLogFirst(t *testing.T) {
	const still = 1700 * time.Millisecond
	for _, answers := range []bool{true, false} {
		k := newFailing(t)
		a, b := newWorker(t, "w1", fine), newWorker(t, "w2", fine)
		r := newRig(t, "load", a, b)
		for range 4 {
			r.expect("read", "returned")
		}
		c := r.dial()
		r.until("it is accepted", func() bool { return r.d.front.conns > 0 })
		r.on(func() { r.d.feed.grace = 0.2 })
		if len(a.seen("invoke")) < len(b.seen("invoke")) {
			a = b // the one that requests go to
		}
		before := len(a.seen("invoke"))
		k.still.Store(int64(still))
		r.d.Loop.Post(func() {})
		time.Sleep(1200 * time.Millisecond) // the poll at hand has its answer by now
		r.log.add(false, a.member("leaving", 0))
		time.Sleep(20 * time.Millisecond)
		if !answers {
			r.log.mu.Lock()
			r.log.odd = func(http.ResponseWriter, string) { time.Sleep(2 * time.Second) }
			r.log.mu.Unlock()
		}
		sent := time.Now()
		for range 10 {
			c.send("read", "in", "patience=3000")
		}
		for range 10 {
			if got, ok := c.answer(); !ok || kind(got) != "returned" {
				t.Errorf("%+v %v", got, ok)
			}
		}
		if took := time.Since(sent); took > still-1200*time.Millisecond+time.Duration(askMost*1e9)+200*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
		if n := len(a.seen("invoke")) - before; answers && n > 0 {
			t.Errorf("%d attempts at a worker that has drained for longer than the grace", n)
		}
	}
}

// Where connections are used up, one that was accepted a moment ago is not closed for the next: its request is on its way.
func TestRoomSparesAFreshConnection(t *testing.T) {
	r := newRig(t, "load", newWorker(t, "w1", fine))
	r.on(func() { r.d.front.most = 4 })
	var clients []*client
	for range 5 {
		clients = append(clients, r.dial())
	}
	r.until("four are accepted", func() bool { return r.d.front.conns == 4 })
	for i, c := range clients {
		c.send("read", "in")
		if a, ok := c.answer(); !ok || kind(a) != "returned" {
			t.Errorf("connection %d: %+v %v", i, a, ok)
		}
	}
}

// A change log that answers each question seconds late is heard all the same: its answers are waited for longer each time.
func TestSlowChangeLogIsHeard(t *testing.T) {
	w := newWorker(t, "w1", fine)
	r := newRig(t, "load", w)
	r.log.mu.Lock()
	r.log.late = 2 * time.Second
	before := len(r.log.polls) // the last of them may still be waiting, and is then answered late
	r.log.mu.Unlock()
	r.log.add(false, w.member("leaving", 0))
	start := time.Now()
	for heard := false; !heard; time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > 30*time.Second {
			t.Fatal("the event is not heard after 30 s")
		}
		r.on(func() { heard = r.d.feed.last == 2 })
	}
	// Polls end after 1.3, 1.6, 2.2, 3.4 and 5 s: the third allows for the 2 s, with 0.2 s to spare for this machine, and the
	// fifth with 3 s.
	r.log.mu.Lock()
	polls := 1 + slices.Index(append(r.log.polls[max(before, 1):], 2), 2) // the next poll asks from event 2 on
	r.log.mu.Unlock()
	t.Logf("the event is heard by poll %d, after %v", polls, time.Since(start))
	if polls > 5 {
		t.Errorf("the event is heard by poll %d of 5 at most", polls)
	}
}

func TestPollSlackFollowsTheChangeLog(t *testing.T) {
	slack := pollSlack
	for i := range 10 {
		slack = nextSlack(slack, true, 0)
		if want := min(pollSlackMost, pollSlack*float64(int(2)<<i)); slack != want {
			t.Errorf("%g s after %d silences, want %g", slack, i+1, want)
		}
	}
	if slack != pollSlackMost {
		t.Errorf("%g s after silence", slack)
	}
	if slack = nextSlack(slack, false, 1.2); slack != 2.4 {
		t.Errorf("%g s after an answer 1.2 s late", slack)
	}
	if slack = nextSlack(slack, false, 0); slack != pollSlack {
		t.Errorf("%g s after an answer in time", slack)
	}
}

// A client that closes its side only, with requests open, is told that they failed, and not cut off; nothing begins for it.
func TestHalfClosedClientIsAnswered(t *testing.T) {
	w := newWorker(t, "w1", fine, silent)
	r := newRig(t, "load", w)
	r.expect("once", "returned")
	c := r.dial()
	for range 3 {
		c.send("once", "in")
	}
	r.until("they are out", func() bool { return len(w.seen("invoke")) == 4 })
	c.Conn.(*net.TCPConn).CloseWrite()
	seqs := map[int32]bool{}
	for range 3 {
		a, ok := c.answer()
		if !ok || kind(a) != "failed" {
			t.Errorf("%+v %v", a, ok)
		}
		seqs[a.Seq] = true
	}
	if _, ok := c.answer(); ok || len(seqs) != 3 {
		t.Errorf("%d requests answered, one more answer: %v", len(seqs), ok)
	}
	r.idle()
	r.until("the attempts are called off", func() bool { return len(w.seen("abort")) == 3 })
}

// The same where its answer comes in the turn in which it is heard that the client has closed its side.
func TestHalfCloseBesideAnAnswer(t *testing.T) {
	w := newWorker(t, "w1", func(c net.Conn, m seen) { go func() { time.Sleep(3 * time.Millisecond); fine(c, m) }() })
	r := newRig(t, "load", w)
	r.expect("once", "returned")
	for i := range 300 {
		c := r.dial()
		c.send("once", "in")
		time.Sleep(time.Duration(i%30) * 200 * time.Microsecond)
		c.Conn.(*net.TCPConn).CloseWrite()
		if a, ok := c.answer(); !ok {
			t.Fatalf("the %d. is closed without an answer: %+v", i, a)
		}
	}
}

// A message that comes in slowly because this machine's reads fail is not its client's fault.
func TestOwnReadFailuresStallNoMessage(t *testing.T) {
	k := newFailing(t)
	r := newRig(t, "load", newWorker(t, "w1", fine))
	r.expect("read", "returned")
	c := r.dial()
	r.until("it is accepted", func() bool { return r.d.front.conns > 0 })
	k.failEach(2)
	k.scrap.Store(2)
	k.fail(faults.Read, unix.ENOBUFS, 1900*time.Millisecond)
	c.send("read", "in")
	if a, ok := c.answer(); !ok || kind(a) != "returned" {
		t.Errorf("%+v %v", a, ok)
	}
	if n := r.refused("message_stalled"); n > 0 {
		t.Errorf("%d messages count as stalled", n)
	}
}
