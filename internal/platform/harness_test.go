package platform

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mastchute/internal/eventloop/eventlooptest"
	"mastchute/internal/thrift/thrifttest"
)

const requestTimeoutMS = 2000

// harness is a dispatcher on loopback with scripted workers, clients and change log.
type harness struct {
	t          *testing.T
	dispatcher *Dispatcher
	changeLog  *fakeChangeLog
	config     *File
}

// workerMessage is one message as a worker's socket carried it.
type workerMessage struct {
	verb, id, fields, body string
	conn                   net.Conn
	at                     time.Time // its first line was read
}

// workerAction is what a worker does with a message.
type workerAction func(w net.Conn, m workerMessage)

func writeResponse(w net.Conn, m workerMessage, word, fields, body string) {
	fmt.Fprintf(w, "%s %s %s %d\r\n%s\r\n", m.id, word, fields, len(body), body)
}

func respond(word, fields, body string) workerAction {
	return func(w net.Conn, m workerMessage) { writeResponse(w, m, word, fields, body) }
}

var (
	respondServed = respond("served", "detail=resident,use=inflight:1;queue:0", "well")
	ignore        = workerAction(func(net.Conn, workerMessage) {})
	resetConn     = workerAction(func(w net.Conn, _ workerMessage) { w.(*net.TCPConn).SetLinger(0); w.Close() })
)

func writeRaw(text string) workerAction {
	return func(w net.Conn, m workerMessage) { io.WriteString(w, strings.ReplaceAll(text, "ID", m.id)) }
}

// fakeWorker is a worker that follows a script for its attempts; the last act repeats.
type fakeWorker struct {
	id         string
	listener   net.Listener
	mu         sync.Mutex
	actions    []workerAction
	loadAction workerAction // for load orders
	received   []workerMessage
	accepted   []net.Conn
}

func newFakeWorker(t *testing.T, id string, acts ...workerAction) *fakeWorker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeWorker{id: id, listener: ln, actions: acts, loadAction: respond("served", "replicas=1", "")}
	t.Cleanup(s.close)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.accepted = append(s.accepted, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *fakeWorker) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.accepted {
		c.Close()
	}
}

func (s *fakeWorker) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		m := workerMessage{verb: w[0], id: w[1], conn: c, at: time.Now()}
		if len(w) > 2 {
			m.fields = w[2]
		}
		if m.verb == "invoke" {
			n, _ := strconv.Atoi(w[3])
			body := make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			m.body = string(body[:n])
		}
		s.mu.Lock()
		s.received = append(s.received, m)
		var a workerAction
		switch m.verb {
		case "invoke":
			if a = s.actions[0]; len(s.actions) > 1 {
				s.actions = s.actions[1:]
			}
		case "prewarm":
			a = s.loadAction
		case "gauges", "alive":
			a = respond("green", "use=inflight:1;queue:0", "")
		}
		s.mu.Unlock()
		if a != nil {
			a(c, m)
		}
	}
}

// messages returns the messages with a verb so far.
func (s *fakeWorker) messages(verb string) (out []workerMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.received {
		if m.verb == verb {
			out = append(out, m)
		}
	}
	return out
}

func (s *fakeWorker) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accepted)
}

func (s *fakeWorker) memberJSON(state string, up int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"std","cell":1,"phase":%q,"size":4,"up_since_ms":%d}`, s.id, s.listener.Addr(), state, up)
}

// fakeChangeLog is a scripted change log. odd, where set, answers the next poll in its own way.
type fakeChangeLog struct {
	server       *httptest.Server
	mu           sync.Mutex
	events       []string
	changed      chan struct{}
	polls        []int64
	nextResponse func(w http.ResponseWriter, events string)
	delay        time.Duration // by which each answer comes late
}

func newFakeChangeLog(t *testing.T) *fakeChangeLog {
	l := &fakeChangeLog{changed: make(chan struct{})}
	l.server = httptest.NewServer(l)
	t.Cleanup(func() { l.server.CloseClientConnections(); l.server.Close() })
	return l
}

func (l *fakeChangeLog) publish(complete bool, members ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, fmt.Sprintf(`{"seq":%d,"fleet":{"revision":%d,"complete":%v,"members":[%s]}}`, len(l.events)+1, len(l.events)+1, complete, strings.Join(members, ",")))
	close(l.changed)
	l.changed = make(chan struct{})
}

// eventsSince returns an answer with the events after n; on the mutex.
func (l *fakeChangeLog) eventsSince(n int) string {
	return fmt.Sprintf(`{"seq":%d,"results":[%s]}`, len(l.events), strings.Join(l.events[min(n, len(l.events)):], ","))
}

func (l *fakeChangeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	l.mu.Lock()
	l.polls = append(l.polls, int64(n))
	more, news := l.changed, len(l.events) > n
	l.mu.Unlock()
	if !news {
		select {
		case <-more:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	l.mu.Lock()
	text, odd, late := l.eventsSince(n), l.nextResponse, l.delay
	l.nextResponse = nil
	l.mu.Unlock()
	time.Sleep(late)
	if odd != nil {
		odd(w, text)
		return
	}
	io.WriteString(w, text)
}

const testGroups = `[{"name":"read","effect":"pure","aim_us":500000,"deadline_us":2000000,"group":"all","window_us":2000000},
 {"name":"write","effect":"token","aim_us":500000,"deadline_us":2000000,"group":"all","window_us":1000000},
 {"name":"once","effect":"side_effect","aim_us":500000,"deadline_us":2000000,"group":"all","window_us":2000000}]`

func testSettings(onMiss string) string {
	return `{"request_classes":` + testGroups + `,"discovery":"automatic","peers_total":1,"resolution_us":2000,"family_info":{"when_absent":"` + onMiss + `","may_order":true,
	"stays_loaded_us":8000000,"order_limit_us":2000000,"marks_cold":true},"load_report":{"fields":["inflight","queue"],"via":"answers"},
	"limits":{"cancel":true,"parallel_tries":true,"probing":true,"retry_after":true,"max_retry_after_us":500000,"max_attempts":6,"streams_per_conn":32,"conn_idle_us":15000000,"connect_timeout_us":250000,"open_cap":20000},
	"rules":{"drain_grace_us":1000000,"cold_share":0.2,"warm_after_us":1000000,"overload_factor":2,"fall_us":1000000}}`
}

func testConfig(t *testing.T, log *fakeChangeLog, onMiss string) *File {
	t.Helper()
	log.mu.Lock()
	known := log.eventsSince(0)
	log.mu.Unlock()
	f, err := parseFile([]byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":64,"sockets":256},
	"changelog":%q,"known":%s,"settings":%s}`, log.server.Listener.Addr(), known, testSettings(onMiss))))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// newHarness starts a dispatcher whose configuration knows the workers.
func newHarness(t *testing.T, onMiss string, workers ...*fakeWorker) *harness {
	t.Helper()
	r := &harness{t: t, changeLog: newFakeChangeLog(t)}
	var list []string
	for _, w := range workers {
		list = append(list, w.memberJSON("active", 0))
	}
	r.changeLog.publish(true, list...)
	r.config = testConfig(t, r.changeLog, onMiss)
	r.start()
	r.waitFor("it can serve", func() bool { return r.dispatcher.Gateway.Ready() || len(workers) == 0 })
	return r
}

// start starts the dispatcher by the rig's file.
func (r *harness) start() {
	t := r.t
	t.Helper()
	var err error
	if r.dispatcher, err = New(r.config, zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel)); err != nil {
		t.Fatal(err)
	}
	go func() { r.dispatcher.loopDone <- r.dispatcher.Loop.Run() }()
	t.Cleanup(func() {
		r.dispatcher.Loop.Stop()
		if err := <-r.dispatcher.loopDone; err != nil {
			t.Error(err)
		}
	})
}

// onLoop runs f on the loop.
func (r *harness) onLoop(f func()) { r.t.Helper(); eventlooptest.On(r.t, r.dispatcher.Loop, f) }

// waitFor waits for something that is to come about, as seen on the loop.
func (r *harness) waitFor(what string, f func() bool) {
	r.t.Helper()
	eventlooptest.Until(r.t, r.dispatcher.Loop, what, f)
}

// testClient is one connection of a client.
type testClient struct {
	t testing.TB
	net.Conn
	seq int32
}

func (r *harness) dial() *testClient {
	r.t.Helper()
	c, err := net.Dial("tcp", r.dispatcher.clients.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return &testClient{t: r.t, Conn: c}
}

var (
	lastID      = uint64(0x1000000000000000)
	lastIDMutex sync.Mutex
)

func newID() string {
	lastIDMutex.Lock()
	defer lastIDMutex.Unlock()
	lastID++
	return fmt.Sprintf("%016x", lastID)
}

func frame(payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
}

// requestFrame is a whole request as clients send it; changes are name=value.
func requestFrame(seq int32, group, body string, changes ...string) []byte {
	f := thrifttest.Good()
	f["route"], f["trace"], f["patience"] = group, newID(), strconv.Itoa(requestTimeoutMS)
	if group != "write" {
		delete(f, "nonce")
	}
	for _, c := range changes {
		k, v, _ := strings.Cut(c, "=")
		f[k] = v
	}
	return frame(thrifttest.Call(seq, f, []byte(body), false))
}

// send sends a request and returns its number.
func (c *testClient) send(group, body string, changes ...string) int32 {
	c.seq++
	c.Write(requestFrame(c.seq, group, body, changes...))
	return c.seq
}

// readReply reads one answer; ok is false where the connection ended instead.
func (c *testClient) readReply() (a thrifttest.Answer, ok bool) {
	c.t.Helper()
	head := make([]byte, 4)
	if _, err := io.ReadFull(c, head); err != nil {
		return a, false
	}
	b := append(head, make([]byte, binary.BigEndian.Uint32(head))...)
	if _, err := io.ReadFull(c, b[4:]); err != nil {
		c.t.Fatalf("an answer cut short: %v", err)
	}
	return thrifttest.Decode(c.t, b), true
}

// replyKind is an answer in a word.
func replyKind(a thrifttest.Answer) string {
	switch {
	case a.Kind == 3:
		return "fault"
	case a.Field == 0 && a.Good:
		return "returned"
	case a.Field == 1:
		return "shed"
	case a.Field == 2:
		return "failed"
	}
	return "not good"
}

// roundTrip sends one request on a connection of its own and returns how it ended.
func (r *harness) roundTrip(group string, changes ...string) (string, thrifttest.Answer) {
	r.t.Helper()
	c := r.dial()
	defer c.Close()
	seq := c.send(group, "in", changes...)
	a, ok := c.readReply()
	if !ok {
		return "closed", a
	}
	if a.Seq != seq {
		r.t.Errorf("answer to %d, asked %d", a.Seq, seq)
	}
	return replyKind(a), a
}

func (r *harness) expect(group, want string, changes ...string) thrifttest.Answer {
	r.t.Helper()
	got, a := r.roundTrip(group, changes...)
	if got != want {
		r.t.Errorf("%s: %s %+v, want %s", group, got, a, want)
	}
	return a
}

func (r *harness) dropCount(why string) (n int) {
	r.onLoop(func() { n = r.dispatcher.clients.dropCounts[why] })
	return n
}

// waitIdle waits until nothing is in flight or held.
func (r *harness) waitIdle() {
	r.t.Helper()
	r.waitFor("nothing is in hand", func() bool {
		p := r.dispatcher.clients
		return r.dispatcher.Gateway.InFlight() == 0 && p.bodyBytes == 0 && len(p.inFlight) == 0
	})
}
