package platform

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	lib "github.com/apache/thrift/lib/go/thrift"

	"mastchute/control"
	"mastchute/internal/membership"
	"mastchute/internal/thrift/thrifttest"
)

func TestAnswersGoThroughUnchanged(t *testing.T) {
	w := newFakeWorker(t, "w1", func(c net.Conn, m workerMessage) {
		writeResponse(c, m, "served", "detail=resident,use=inflight:3;queue:1", m.body)
	})
	r := newHarness(t, "load", w)
	c := r.dial()
	bodies := map[int32]string{}
	for _, b := range []string{"", "a\r\nb\x00", strings.Repeat("x", 16<<10)} {
		bodies[c.send("write", b, "nonce=5c0f6e1a2b3d4c59a8b7c6d5e4f30211")] = b
	}
	for range bodies {
		a, ok := c.readReply()
		if want, known := bodies[a.Seq]; !ok || !known || a.Body != want || replyKind(a) != "returned" {
			t.Errorf("%d: %d bytes, %s", a.Seq, len(a.Body), replyKind(a))
		}
	}
	for _, m := range w.messages("invoke") {
		f := map[string]string{}
		for _, p := range strings.Split(m.fields, ",") {
			k, v, _ := strings.Cut(p, "=")
			f[k] = v
		}
		if len(m.id) != 16 || f["queue"] != "write" || f["path"] != "7f3a9c21e0b4d655" || f["uniq"] != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" || f["budget"] == "" || len(f) != 4 {
			t.Errorf("%+v", m)
		}
	}
	r.waitIdle()
	r.onLoop(func() {
		if v := r.dispatcher.Gateway.Status().Workers[0]; v.Report <= 0 || len(v.Warm) != 1 {
			t.Errorf("%+v", v)
		}
	})
}

// Answers come in any order, 32 requests are open at once, and one that is taken back is owed nothing.
func TestOneConnectionCarriesMany(t *testing.T) {
	held := make(chan workerMessage, 64)
	w := newFakeWorker(t, "w1", func(_ net.Conn, m workerMessage) { held <- m })
	r := newHarness(t, "load", w)
	c := r.dial()
	var all []byte
	for seq := int32(1); seq <= maxRequestsPerConn; seq++ {
		all = append(all, requestFrame(seq, "read", fmt.Sprint(seq))...)
	}
	c.Write(all)
	r.waitFor("all are in hand", func() bool { return r.dispatcher.Gateway.InFlight() == maxRequestsPerConn })
	first := <-held
	var seq int32
	fmt.Sscan(first.body, &seq)
	c.Write(frame(thrifttest.Cancel(seq)))
	r.waitFor("it is given up", func() bool { return r.dispatcher.Gateway.InFlight() < maxRequestsPerConn })
	for len(w.messages("abort")) == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := w.messages("abort"); got[0].id != first.id {
		t.Errorf("%+v called off, not %s", got, first.id)
	}
	done := make(chan bool)
	go func() {
		for m := range held {
			writeResponse(m.conn, m, "served", "detail=resident", m.body)
		}
		close(done)
	}()
	seen := map[string]bool{first.body: true}
	for range maxRequestsPerConn - 1 {
		a, ok := c.readReply()
		if !ok || replyKind(a) != "returned" || a.Body != fmt.Sprint(a.Seq) || seen[a.Body] {
			t.Fatalf("%+v %v", a, ok)
		}
		seen[a.Body] = true
	}
	r.waitIdle()
	close(held)
	<-done
}

// What each way of failing proves, by whether a non-retriable request goes to the other worker.
func TestWhatProvesThatNothingRan(t *testing.T) {
	for _, c := range []struct {
		name  string
		first workerAction
		want  string
		n     int
	}{
		{"full", respond("overload", "-", ""), "returned", 2},
		{"miss", respond("not_here", "-", ""), "returned", 2},
		{"nobody", respond("nobody", "-", ""), "returned", 2},
		{"error", respond("crashed", "-", ""), "failed", 1},
		{"reset", resetConn, "failed", 1},
		{"noise", writeRaw("\x01\x02\xff\r\n"), "failed", 1},
		{"endless line", writeRaw(strings.Repeat("a", 5000)), "failed", 1},
		{"3 GB", writeRaw("ID served - 3000000000\r\n" + strings.Repeat("x", 9000)), "failed", 1},
		{"length too short", writeRaw("ID served detail=resident 3\r\nwell\r\n"), "failed", 1},
		{"cut", func(w net.Conn, m workerMessage) { writeRaw("ID served detail=resident 9\r\nwe")(w, m); w.Close() }, "failed", 1},
		{"stops short", writeRaw("ID served detail=resident 9\r\nwe"), "failed", 1},
		{"stray in front", writeRaw("x1 served - 2\r\nno\r\nID served detail=resident 4\r\nwell\r\n"), "returned", 1},
		{"second copy", writeRaw(strings.Repeat("ID served detail=resident 4\r\nwell\r\n", 2)), "returned", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := true
			turn := make(chan bool, 1)
			turn <- true
			script := func(w net.Conn, m workerMessage) {
				<-turn
				do := respondServed
				if first {
					do, first = c.first, false
				}
				turn <- true
				do(w, m)
			}
			a, b := newFakeWorker(t, "w1", script), newFakeWorker(t, "w2", script)
			r := newHarness(t, "load", a, b)
			if got := r.expect("once", c.want); c.want == "returned" && got.Body != "well" {
				t.Errorf("%+v", got)
			}
			if n := len(a.messages("invoke")) + len(b.messages("invoke")); n != c.n {
				t.Errorf("%d forwards, want %d", n, c.n)
			}
			r.waitIdle()
			r.expect("once", "returned")
		})
	}
}

func TestNoConnectionProvesThatNothingRan(t *testing.T) {
	a, b := newFakeWorker(t, "w1", respondServed), newFakeWorker(t, "w2", respondServed)
	r := newHarness(t, "load", a, b)
	a.close()
	for range 8 {
		r.expect("once", "returned", "entity="+newID())
	}
}

// What is spoilt on a connection ends all that is open on it, and spares what is on others.
func TestSpoiltConnectionEndsAllOnIt(t *testing.T) {
	w := newFakeWorker(t, "w1", respondServed, ignore)
	r := newHarness(t, "load", w)
	r.expect("once", "returned") // warm: the next need not wait for each other
	c := r.dial()
	for range 3 {
		c.send("once", "in")
	}
	var conn net.Conn
	r.waitFor("they are out", func() bool { return len(w.messages("invoke")) == 4 })
	n := 0
	for _, m := range w.messages("invoke")[1:] {
		if conn == nil || m.conn == conn {
			conn, n = m.conn, n+1
		}
	}
	io.WriteString(conn, "what\r\n")
	for range n {
		if a, ok := c.readReply(); !ok || replyKind(a) != "failed" {
			t.Errorf("%+v", a)
		}
	}
	r.waitFor("the others are left", func() bool { return r.dispatcher.Gateway.InFlight() == 3-n })
}

// Rule 1: silence costs the client no more than its time, counted from when its message was read.
func TestSilenceIsAnsweredInTime(t *testing.T) {
	w := newFakeWorker(t, "w1", ignore)
	r := newHarness(t, "load", w)
	start := time.Now()
	r.expect("once", "failed", "patience=300")
	if took := time.Since(start); took > 320*time.Millisecond || took < 200*time.Millisecond {
		t.Errorf("%v", took)
	}
	r.waitIdle()
	for len(w.messages("abort")) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Rule 3: what waits for a connection when its worker drains never leaves, and goes elsewhere.
func TestNothingLeavesForADrainedWorker(t *testing.T) {
	a, b := newFakeWorker(t, "w1", respondServed), newFakeWorker(t, "w2", respondServed)
	r := newHarness(t, "load", a)
	r.onLoop(func() { // w1 drains in the very turn in which the attempt is queued for its connection
		turn, done := r.dispatcher.Loop.AfterEvents, false
		r.dispatcher.Loop.AfterEvents = func() {
			turn()
			if v := r.dispatcher.Gateway.Status().Workers[0]; !done && v.Queued > 0 {
				done = true
				if err := r.dispatcher.Gateway.UpdateWorkers(membership.SourceChangeLog, []membership.Entry{r.listEntry(a, control.Draining), r.listEntry(b, control.Ready)}); err != nil {
					t.Error(err)
				}
			}
		}
	})
	r.expect("once", "returned")
	if len(a.messages("invoke")) != 0 || len(b.messages("invoke")) != 1 {
		t.Errorf("%d forwards to the one that drains, %d to the other", len(a.messages("invoke")), len(b.messages("invoke")))
	}
}

func (r *harness) listEntry(s *fakeWorker, state control.WorkerState) membership.Entry {
	e, err := (&Member{ID: s.id, HostPort: s.listener.Addr().String(), Locality: "z", Cell: 1, Phase: "active", Size: 4}).entry(membership.WallClock{}, 0, 0)
	if err != nil {
		r.t.Error(err)
	}
	e.State = state
	return e
}

// A miss brings one load order, of a model that a client has asked for, and the attempt again.
func TestMissOrdersALoad(t *testing.T) {
	w := newFakeWorker(t, "w1", respond("not_here", "-", ""), respondServed)
	r := newHarness(t, "miss", w)
	r.expect("read", "returned")
	if got := w.messages("prewarm"); len(got) != 1 || got[0].fields != "path=7f3a9c21e0b4d655,replicas=1" || len(w.messages("invoke")) != 2 {
		t.Errorf("%+v", w.received)
	}
}

func TestAliveOnlyWhenItCanServe(t *testing.T) {
	r := newHarness(t, "load")
	alive := frame(thrifttest.Message(func(p *lib.TBinaryProtocol) {
		p.WriteMessageBegin(context.Background(), "alive", lib.CALL, 1)
		p.WriteFieldStop(context.Background())
	}))
	c := r.dial()
	ask := func() bool {
		c.Write(alive)
		a, ok := c.readReply()
		return ok && a.Name == "alive" && a.Good
	}
	if ask() {
		t.Error("alive without a worker")
	}
	w := newFakeWorker(t, "w1", respondServed)
	r.changeLog.publish(false, w.memberJSON("active", 0))
	r.waitFor("the worker is heard of", r.dispatcher.Gateway.Ready)
	if !ask() {
		t.Error("not alive with a worker")
	}
	r.onLoop(r.dispatcher.Stop)
	if ask() {
		t.Error("alive while it stops")
	}
}

// A start that the list tells is the worker's start, with no probe spent; a new one is an empty worker on new connections.
func TestStartsOfTheList(t *testing.T) {
	w := newFakeWorker(t, "w1", respondServed)
	r := newHarness(t, "load", w)
	r.expect("read", "returned")
	now := time.Now().UnixMilli()
	r.changeLog.publish(false, w.memberJSON("active", now))
	r.waitFor("the new start is heard", func() bool {
		v := r.dispatcher.Gateway.Status().Workers[0]
		return v.Age != nil && *v.Age < 60 && len(v.Warm) == 0
	})
	conns := w.connCount()
	r.expect("read", "returned")
	if w.connCount() == conns {
		t.Error("a connection of the process before is used")
	}
	if n := len(w.messages("gauges")) + len(w.messages("alive")); n > 0 {
		t.Errorf("%d probes", n)
	}
}

// A new worker at the address of one that has gone is another worker.
func TestNewWorkerAtAnOldAddress(t *testing.T) {
	w := newFakeWorker(t, "w1", respondServed)
	r := newHarness(t, "load", w)
	r.expect("read", "returned")
	r.changeLog.publish(false, w.memberJSON("left", 0), strings.Replace(w.memberJSON("active", 0), `"w1"`, `"w2"`, 1))
	r.waitFor("the new one is heard of", func() bool {
		v := r.dispatcher.Gateway.Status().Workers
		return len(v) == 2 && v[0].State == "gone" && v[0].Connections == 0 && v[1].State == "ready"
	})
	conns := w.connCount()
	r.expect("read", "returned")
	if w.connCount() == conns {
		t.Error("a connection of the one that has gone is used")
	}
}

// Each way the change log may fail: asked again soon from the last event, nothing applied twice.
func TestChangeLogFails(t *testing.T) {
	cut := func(n int) func(http.ResponseWriter, string) {
		return func(w http.ResponseWriter, text string) {
			c, _, _ := w.(http.Hijacker).Hijack()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:n*len(text)/4])
			c.Close()
		}
	}
	for name, odd := range map[string]func(http.ResponseWriter, string){
		"cut mid-event": cut(2), "closed": cut(0),
		"stops and stays": func(w http.ResponseWriter, text string) {
			c, _, _ := w.(http.Hijacker).Hijack()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2])
		},
		"error":   func(w http.ResponseWriter, _ string) { w.WriteHeader(500) },
		"no JSON": func(w http.ResponseWriter, text string) { io.WriteString(w, text[:len(text)-1]) },
		"to the end": func(w http.ResponseWriter, text string) {
			c, _, _ := w.(http.Hijacker).Hijack()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", text[:len(text)-9])
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeWorker(t, "w1", respondServed), newFakeWorker(t, "w2", respondServed)
			r := newHarness(t, "load", a)
			r.changeLog.mu.Lock()
			r.changeLog.nextResponse = odd
			r.changeLog.mu.Unlock()
			r.changeLog.publish(false, b.memberJSON("active", 0))
			r.waitFor("the event is heard", func() bool { return len(r.dispatcher.Gateway.Status().Workers) == 2 })
			r.onLoop(func() {
				if v := r.dispatcher.Gateway.Members.Version; v != 2 || r.dispatcher.watch.lastSeq != 2 {
					t.Errorf("list of version %d, event %d", v, r.dispatcher.watch.lastSeq)
				}
			})
		})
	}
}

func TestReloadFollowsTheNewChangeLog(t *testing.T) {
	a, b := newFakeWorker(t, "w1", respondServed), newFakeWorker(t, "w2", respondServed)
	r := newHarness(t, "load", a)
	next := newFakeChangeLog(t)
	r.changeLog.mu.Lock()
	next.events = append(next.events, r.changeLog.events...)
	r.changeLog.mu.Unlock()
	f := testConfig(t, next, "load")
	c := r.dial()
	r.onLoop(func() { r.dispatcher.Reload(f) })
	next.publish(false, b.memberJSON("active", 0))
	r.waitFor("the new one is followed", func() bool { return len(r.dispatcher.Gateway.Status().Workers) == 2 })
	next.mu.Lock()
	if next.polls[0] != 1 {
		t.Errorf("asked since %v", next.polls)
	}
	next.mu.Unlock()
	c.send("read", "in") // a connection from before goes on
	if a, ok := c.readReply(); !ok || replyKind(a) != "returned" {
		t.Errorf("%+v", a)
	}
}

// A planned stop: clients still come for a while, all are answered, and the loop ends by itself.
func TestStopAnswersAll(t *testing.T) {
	w := newFakeWorker(t, "w1", func(c net.Conn, m workerMessage) { time.Sleep(300 * time.Millisecond); respondServed(c, m) })
	r := newHarness(t, "load", w)
	before := r.dial()
	before.send("once", "in")
	r.onLoop(r.dispatcher.Stop)
	after := r.dial()
	after.send("once", "in")
	for _, c := range []*testClient{before, after} {
		if a, ok := c.readReply(); !ok || replyKind(a) != "returned" {
			t.Errorf("%+v %v", a, ok)
		}
	}
	if err := <-r.dispatcher.loopDone; err != nil || r.dispatcher.Gateway.ExitStatus().FailedRequests > 0 {
		t.Errorf("%v %+v", err, r.dispatcher.Gateway.ExitStatus())
	}
	r.dispatcher.loopDone <- nil
}

// What bad clients send ends in a fault, a shed or a close, counted by reason, and never in an answer that was returned.
func TestBadClients(t *testing.T) {
	w := newFakeWorker(t, "w1", func(c net.Conn, m workerMessage) { time.Sleep(20 * time.Millisecond); respondServed(c, m) })
	r := newHarness(t, "load", w)
	id := newID()
	many := []byte{}
	for seq := range int32(200) {
		many = append(many, requestFrame(seq+1, "read", "in")...)
	}
	for _, c := range []struct {
		name, why string
		text      []byte
	}{
		{"noise", "frame", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"negative length", "frame", binary.BigEndian.AppendUint32(nil, 0xfffffff0)},
		{"60 MB", "frame", append(binary.BigEndian.AppendUint32(nil, 60<<20), bytes.Repeat([]byte{1}, 1<<20)...)},
		{"no protocol", "unreadable", frame([]byte("hello, are you there?"))},
		{"cut message", "unreadable", frame(requestFrame(1, "read", "in")[4:40])},
		{"unknown group", "unknown_group", requestFrame(1, "nope", "in")},
		{"no mark", "no_mark", frame(thrifttest.Call(1, map[string]string{"route": "write", "trace": newID(), "patience": "500", "entity": "7f3a9c21e0b4d655"}, nil, false))},
		{"bad figure", "unusable", requestFrame(1, "read", "in", "patience=NaN")},
		{"no id", "unusable", requestFrame(1, "read", "in", "trace=")},
		{"number in use", "number_in_use", append(requestFrame(1, "read", "in"), requestFrame(1, "read", "in")...)},
		{"id in use", "id_in_use", append(requestFrame(1, "read", "in", "trace="+id), requestFrame(2, "read", "other", "trace="+id)...)},
		{"too many", "too_many_open", many},
		{"half a message", "message_stalled", requestFrame(1, "read", "in")[:30]},
		{"silence", "silent", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := r.dial()
			before := r.dropCount(c.why)
			start := time.Now()
			conn.Write(c.text)
			a, ok := conn.readReply()
			for ok && replyKind(a) != "returned" && replyKind(a) != "fault" && replyKind(a) != "shed" {
				a, ok = conn.readReply()
			}
			if ok && replyKind(a) == "returned" {
				t.Errorf("%+v", a)
			}
			if took := time.Since(start); took > 2500*time.Millisecond {
				t.Errorf("answered after %v", took)
			}
			if n := r.dropCount(c.why); n != before+1 {
				t.Errorf("%s counted %d times", c.why, n-before)
			}
			r.waitIdle()
		})
	}
	r.expect("read", "returned")
}

// Connections beyond the clients' share take the place of idle ones, silent ones first; those in use are spared.
func TestConnectionsAreSharedOut(t *testing.T) {
	w := newFakeWorker(t, "w1", func(c net.Conn, m workerMessage) {
		if m.body != "wait" {
			respondServed(c, m)
		}
	})
	r := newHarness(t, "load", w)
	r.expect("read", "returned")
	busy := r.dial()
	busy.send("read", "wait")
	r.waitFor("it is out", func() bool { return len(w.messages("invoke")) == 2 })
	r.onLoop(func() { r.dispatcher.clients.maxConns = 10 })
	for range 50 {
		r.dial()
	}
	r.waitFor("all were accepted or closed", func() bool { return r.dispatcher.Loop.Stats.Accepted.Load() >= 51 })
	for range 5 {
		r.expect("read", "returned")
	}
	r.onLoop(func() {
		if n := r.dispatcher.clients.connCount; n > 10 {
			t.Errorf("%d connections", n)
		}
	})
	m := w.messages("invoke")[1]
	writeResponse(m.conn, m, "served", "detail=resident", "late")
	if a, ok := busy.readReply(); !ok || a.Body != "late" {
		t.Errorf("%+v %v", a, ok)
	}
}

// Months of churn: new workers, models, clients and ids all the time end with the counts they began with.
func TestChurnIsForgotten(t *testing.T) {
	r := newHarness(t, "load")
	for i := range 30 {
		w := newFakeWorker(t, fmt.Sprintf("w%d", i), respondServed)
		r.changeLog.publish(false, w.memberJSON("active", 0))
		r.waitFor("it can serve", r.dispatcher.Gateway.Ready)
		for range 5 {
			r.expect("read", "returned", "entity="+newID())
		}
		r.changeLog.publish(false, w.memberJSON("left", 0))
		r.waitFor("it has gone", func() bool { return !r.dispatcher.Gateway.Ready() })
		w.close()
	}
	r.waitIdle()
	r.waitFor("connections are closed", func() bool {
		return len(r.dispatcher.clients.workers.conns) == 0 && r.dispatcher.clients.connCount == 0
	})
	r.onLoop(func() {
		r.dispatcher.Gateway.EvictIdle(r.dispatcher.Loop.Now() + 1)
		if v := r.dispatcher.Gateway.Status(); len(v.Workers) != 0 || r.dispatcher.Gateway.ModelCount() != 0 || len(r.dispatcher.clients.freeRequests) > maxPooledRequests {
			t.Errorf("%d workers, %d models left", len(v.Workers), r.dispatcher.Gateway.ModelCount())
		}
	})
}

func TestConfigurationIsChecked(t *testing.T) {
	log := newFakeChangeLog(t)
	good := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"1f","limits":{"cores":1,"memory_mb":32,"sockets":256},"changelog":%q,"known":{"seq":0,"results":[]},"settings":%s}`,
		log.server.Listener.Addr(), testSettings("load"))
	f, err := parseFile([]byte(good))
	if err != nil || f.seed != 0x1f || f.timeout() != 2 || f.set.Text("groups.2.effect") != "non-retriable" {
		t.Errorf("%+v %v", f, err)
	}
	for _, bad := range []string{"", "{", strings.Replace(good, "127.0.0.1:0", "nowhere", 1), strings.Replace(good, `"1f"`, `"x"`, 1),
		strings.Replace(good, `"sockets":256`, `"sockets":8`, 1), strings.Replace(good, "request_classes", "x", 1)} {
		if _, err := parseFile([]byte(bad)); err == nil {
			t.Errorf("%.60q is taken", bad)
		}
	}
	for setting, named := range map[[2]string]string{
		{`"fall_us":1000000`, `"fall_us":-5`}:                        "rules.fall",
		{`"cold_share":0.2`, `"cold_share":"some"`}:                  "rules.cold_share",
		{`"cancel":true`, `"cancel":"yes"`}:                          "limits.cancel",
		{`"peers_total":1`, `"peers_total":-300`}:                    "dispatchers",
		{`"open_cap":20000`, `"open_cap":-1`}:                        "limits.open_cap",
		{`"streams_per_conn":32`, `"streams_per_conn":[1]`}:          "limits.streams_per_conn",
		{`"name":"write"`, `"name":"read"`}:                          "model group 1",
		{`"name":"write",`, ``}:                                      "model group 1",
		{`"request_classes":` + testGroups, `"request_classes":3`}:   "model group 0",
		{`"request_classes":` + testGroups, `"request_classes":9e9`}: "groups",
	} {
		text := strings.Replace(good, setting[0], setting[1], 1)
		if _, err := parseFile([]byte(text)); text == good || err == nil || !strings.Contains(err.Error(), named) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", setting[1], err)
		}
	}
	for _, setting := range [][2]string{{`"effect":"pure"`, `"effect":"as_yet_unknown"`}, {`"discovery":"automatic"`, `"discovery":"gossip"`},
		{`"fall_us":1000000`, `"fall_us":0`}, {`"open_cap":20000`, `"open_cap":0,"brand_new":{"a":[1]}`}, {`"peers_total":1,`, ``}} {
		text := strings.Replace(good, setting[0], setting[1], 1)
		if f, err := parseFile([]byte(text)); text == good || err != nil || f.host().Limits.Requests < 1 {
			t.Errorf("%s: %v", setting[1], err)
		}
	}
	f, err = parseFile([]byte(strings.Replace(good, `"effect":"pure"`, `"effect":"pure","aim_stretch":4.5`, 1)))
	if err != nil || f.set["groups.0.slo_stretch"] != 4.5 {
		t.Errorf("%v %v", f, err)
	}
	t.Setenv("LB_CONFIG", t.TempDir()+"/none")
	var out bytes.Buffer
	if code := Run(&out); code == 0 || strings.Count(out.String(), "\n") != 1 {
		t.Errorf("code %d, %q", code, out.String())
	}
}
