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

const patienceMS = 2000

// rig is a dispatcher on loopback with scripted workers, clients and change log.
type rig struct {
	t    *testing.T
	d    *Dispatcher
	log  *changeLog
	file *File
}

// seen is one message as a worker's socket carried it.
type seen struct {
	verb, id, fields, body string
	conn                   net.Conn
	at                     time.Time // its first line was read
}

// act is what a worker does with a message.
type act func(w net.Conn, m seen)

func say(w net.Conn, m seen, word, fields, body string) {
	fmt.Fprintf(w, "%s %s %s %d\r\n%s\r\n", m.id, word, fields, len(body), body)
}

func reply(word, fields, body string) act {
	return func(w net.Conn, m seen) { say(w, m, word, fields, body) }
}

var (
	fine   = reply("served", "detail=resident,use=inflight:1;queue:0", "well")
	silent = act(func(net.Conn, seen) {})
	reset  = act(func(w net.Conn, _ seen) { w.(*net.TCPConn).SetLinger(0); w.Close() })
)

func raw(text string) act {
	return func(w net.Conn, m seen) { io.WriteString(w, strings.ReplaceAll(text, "ID", m.id)) }
}

// scripted is a worker that follows a script for its attempts; the last act repeats.
type scripted struct {
	id    string
	ln    net.Listener
	mu    sync.Mutex
	acts  []act
	order act // for load orders
	got   []seen
	open  []net.Conn
}

func newWorker(t *testing.T, id string, acts ...act) *scripted {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{id: id, ln: ln, acts: acts, order: reply("served", "replicas=1", "")}
	t.Cleanup(s.close)
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

func (s *scripted) close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		c.Close()
	}
}

func (s *scripted) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		m := seen{verb: w[0], id: w[1], conn: c, at: time.Now()}
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
		s.got = append(s.got, m)
		var a act
		switch m.verb {
		case "invoke":
			if a = s.acts[0]; len(s.acts) > 1 {
				s.acts = s.acts[1:]
			}
		case "prewarm":
			a = s.order
		case "gauges", "alive":
			a = reply("green", "use=inflight:1;queue:0", "")
		}
		s.mu.Unlock()
		if a != nil {
			a(c, m)
		}
	}
}

// seen returns the messages with a verb so far.
func (s *scripted) seen(verb string) (out []seen) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.got {
		if m.verb == verb {
			out = append(out, m)
		}
	}
	return out
}

func (s *scripted) conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *scripted) member(state string, up int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"std","cell":1,"phase":%q,"size":4,"up_since_ms":%d}`, s.id, s.ln.Addr(), state, up)
}

// changeLog is a scripted change log. odd, where set, answers the next poll in its own way.
type changeLog struct {
	srv    *httptest.Server
	mu     sync.Mutex
	events []string
	more   chan struct{}
	polls  []int64
	odd    func(w http.ResponseWriter, events string)
	late   time.Duration // by which each answer comes late
}

func newChangeLog(t *testing.T) *changeLog {
	l := &changeLog{more: make(chan struct{})}
	l.srv = httptest.NewServer(l)
	t.Cleanup(func() { l.srv.CloseClientConnections(); l.srv.Close() })
	return l
}

func (l *changeLog) add(complete bool, members ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, fmt.Sprintf(`{"seq":%d,"fleet":{"revision":%d,"complete":%v,"members":[%s]}}`, len(l.events)+1, len(l.events)+1, complete, strings.Join(members, ",")))
	close(l.more)
	l.more = make(chan struct{})
}

// since returns an answer with the events after n; on the mutex.
func (l *changeLog) since(n int) string {
	return fmt.Sprintf(`{"seq":%d,"results":[%s]}`, len(l.events), strings.Join(l.events[min(n, len(l.events)):], ","))
}

func (l *changeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	l.mu.Lock()
	l.polls = append(l.polls, int64(n))
	more, news := l.more, len(l.events) > n
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
	text, odd, late := l.since(n), l.odd, l.late
	l.odd = nil
	l.mu.Unlock()
	time.Sleep(late)
	if odd != nil {
		odd(w, text)
		return
	}
	io.WriteString(w, text)
}

const rigGroups = `[{"name":"read","effect":"pure","aim_us":500000,"deadline_us":2000000,"group":"all","window_us":2000000},
 {"name":"write","effect":"token","aim_us":500000,"deadline_us":2000000,"group":"all","window_us":1000000},
 {"name":"once","effect":"side_effect","aim_us":500000,"deadline_us":2000000,"group":"all","window_us":2000000}]`

func rigSettings(onMiss string) string {
	return `{"request_classes":` + rigGroups + `,"discovery":"automatic","peers_total":1,"resolution_us":2000,"family_info":{"when_absent":"` + onMiss + `","may_order":true,
	"stays_loaded_us":8000000,"order_limit_us":2000000,"marks_cold":true},"load_report":{"fields":["inflight","queue"],"via":"answers"},
	"limits":{"cancel":true,"parallel_tries":true,"probing":true,"retry_after":true,"max_retry_after_us":500000,"max_attempts":6,"streams_per_conn":32,"conn_idle_us":15000000,"connect_timeout_us":250000,"open_cap":20000},
	"rules":{"drain_grace_us":1000000,"cold_share":0.2,"warm_after_us":1000000,"overload_factor":2,"fall_us":1000000}}`
}

func rigFile(t *testing.T, log *changeLog, onMiss string) *File {
	t.Helper()
	log.mu.Lock()
	known := log.since(0)
	log.mu.Unlock()
	f, err := parseFile([]byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":64,"sockets":256},
	"changelog":%q,"known":%s,"settings":%s}`, log.srv.Listener.Addr(), known, rigSettings(onMiss))))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// newRig starts a dispatcher whose configuration knows the workers.
func newRig(t *testing.T, onMiss string, workers ...*scripted) *rig {
	t.Helper()
	r := &rig{t: t, log: newChangeLog(t)}
	var list []string
	for _, w := range workers {
		list = append(list, w.member("active", 0))
	}
	r.log.add(true, list...)
	r.file = rigFile(t, r.log, onMiss)
	r.start()
	r.until("it can serve", func() bool { return r.d.Gateway.Ready() || len(workers) == 0 })
	return r
}

// start starts the dispatcher by the rig's file.
func (r *rig) start() {
	t := r.t
	t.Helper()
	var err error
	if r.d, err = New(r.file, zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel)); err != nil {
		t.Fatal(err)
	}
	go func() { r.d.ended <- r.d.Loop.Run() }()
	t.Cleanup(func() {
		r.d.Loop.Stop()
		if err := <-r.d.ended; err != nil {
			t.Error(err)
		}
	})
}

// on runs f on the loop.
func (r *rig) on(f func()) { r.t.Helper(); eventlooptest.On(r.t, r.d.Loop, f) }

// until waits for something that is to come about, as seen on the loop.
func (r *rig) until(what string, f func() bool) {
	r.t.Helper()
	eventlooptest.Until(r.t, r.d.Loop, what, f)
}

// client is one connection of a client.
type client struct {
	t testing.TB
	net.Conn
	seq int32
}

func (r *rig) dial() *client {
	r.t.Helper()
	c, err := net.Dial("tcp", r.d.front.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{t: r.t, Conn: c}
}

var (
	ids  = uint64(0x1000000000000000)
	idMu sync.Mutex
)

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	ids++
	return fmt.Sprintf("%016x", ids)
}

func frame(payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
}

// request is a whole request as clients send it; changes are name=value.
func request(seq int32, group, body string, changes ...string) []byte {
	f := thrifttest.Good()
	f["route"], f["trace"], f["patience"] = group, newID(), strconv.Itoa(patienceMS)
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
func (c *client) send(group, body string, changes ...string) int32 {
	c.seq++
	c.Write(request(c.seq, group, body, changes...))
	return c.seq
}

// answer reads one answer; ok is false where the connection ended instead.
func (c *client) answer() (a thrifttest.Answer, ok bool) {
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

// kind is an answer in a word.
func kind(a thrifttest.Answer) string {
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

// ask sends one request on a connection of its own and returns how it ended.
func (r *rig) ask(group string, changes ...string) (string, thrifttest.Answer) {
	r.t.Helper()
	c := r.dial()
	defer c.Close()
	seq := c.send(group, "in", changes...)
	a, ok := c.answer()
	if !ok {
		return "closed", a
	}
	if a.Seq != seq {
		r.t.Errorf("answer to %d, asked %d", a.Seq, seq)
	}
	return kind(a), a
}

func (r *rig) expect(group, want string, changes ...string) thrifttest.Answer {
	r.t.Helper()
	got, a := r.ask(group, changes...)
	if got != want {
		r.t.Errorf("%s: %s %+v, want %s", group, got, a, want)
	}
	return a
}

func (r *rig) refused(why string) (n int) {
	r.on(func() { n = r.d.front.refused[why] })
	return n
}

// idle waits until nothing is in flight or held.
func (r *rig) idle() {
	r.t.Helper()
	r.until("nothing is in hand", func() bool {
		p := r.d.front
		return r.d.Gateway.InFlight() == 0 && p.bodies == 0 && len(p.open) == 0
	})
}
