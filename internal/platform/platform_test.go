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
	w := newWorker(t, "w1", func(c net.Conn, m seen) { say(c, m, "served", "detail=resident,use=inflight:3;queue:1", m.body) })
	r := newRig(t, "load", w)
	c := r.dial()
	bodies := map[int32]string{}
	for _, b := range []string{"", "a\r\nb\x00", strings.Repeat("x", 16<<10)} {
		bodies[c.send("write", b, "nonce=5c0f6e1a2b3d4c59a8b7c6d5e4f30211")] = b
	}
	for range bodies {
		a, ok := c.answer()
		if want, known := bodies[a.Seq]; !ok || !known || a.Body != want || kind(a) != "returned" {
			t.Errorf("%d: %d bytes, %s", a.Seq, len(a.Body), kind(a))
		}
	}
	for _, m := range w.seen("invoke") {
		f := map[string]string{}
		for _, p := range strings.Split(m.fields, ",") {
			k, v, _ := strings.Cut(p, "=")
			f[k] = v
		}
		if len(m.id) != 16 || f["queue"] != "write" || f["path"] != "7f3a9c21e0b4d655" || f["uniq"] != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" || f["budget"] == "" || len(f) != 4 {
			t.Errorf("%+v", m)
		}
	}
	r.idle()
	r.on(func() {
		if v := r.d.Gateway.Status().Workers[0]; v.Report <= 0 || len(v.Warm) != 1 {
			t.Errorf("%+v", v)
		}
	})
}

// Answers come in any order, 32 requests are open at once, and one that is taken back is owed nothing.
func TestOneConnectionCarriesMany(t *testing.T) {
	held := make(chan seen, 64)
	w := newWorker(t, "w1", func(_ net.Conn, m seen) { held <- m })
	r := newRig(t, "load", w)
	c := r.dial()
	var all []byte
	for seq := int32(1); seq <= openMost; seq++ {
		all = append(all, request(seq, "read", fmt.Sprint(seq))...)
	}
	c.Write(all)
	r.until("all are in hand", func() bool { return r.d.Gateway.InFlight() == openMost })
	first := <-held
	var seq int32
	fmt.Sscan(first.body, &seq)
	c.Write(frame(thrifttest.Cancel(seq)))
	r.until("it is given up", func() bool { return r.d.Gateway.InFlight() < openMost })
	for len(w.seen("abort")) == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := w.seen("abort"); got[0].id != first.id {
		t.Errorf("%+v called off, not %s", got, first.id)
	}
	done := make(chan bool)
	go func() {
		for m := range held {
			say(m.conn, m, "served", "detail=resident", m.body)
		}
		close(done)
	}()
	seen := map[string]bool{first.body: true}
	for range openMost - 1 {
		a, ok := c.answer()
		if !ok || kind(a) != "returned" || a.Body != fmt.Sprint(a.Seq) || seen[a.Body] {
			t.Fatalf("%+v %v", a, ok)
		}
		seen[a.Body] = true
	}
	r.idle()
	close(held)
	<-done
}

// What each way of failing proves, by whether a non-retriable request goes to the other worker.
func TestWhatProvesThatNothingRan(t *testing.T) {
	for _, c := range []struct {
		name  string
		first act
		want  string
		n     int
	}{
		{"full", reply("overload", "-", ""), "returned", 2},
		{"miss", reply("not_here", "-", ""), "returned", 2},
		{"nobody", reply("nobody", "-", ""), "returned", 2},
		{"error", reply("crashed", "-", ""), "failed", 1},
		{"reset", reset, "failed", 1},
		{"noise", raw("\x01\x02\xff\r\n"), "failed", 1},
		{"endless line", raw(strings.Repeat("a", 5000)), "failed", 1},
		{"3 GB", raw("ID served - 3000000000\r\n" + strings.Repeat("x", 9000)), "failed", 1},
		{"length too short", raw("ID served detail=resident 3\r\nwell\r\n"), "failed", 1},
		{"cut", func(w net.Conn, m seen) { raw("ID served detail=resident 9\r\nwe")(w, m); w.Close() }, "failed", 1},
		{"stops short", raw("ID served detail=resident 9\r\nwe"), "failed", 1},
		{"stray in front", raw("x1 served - 2\r\nno\r\nID served detail=resident 4\r\nwell\r\n"), "returned", 1},
		{"second copy", raw(strings.Repeat("ID served detail=resident 4\r\nwell\r\n", 2)), "returned", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := true
			turn := make(chan bool, 1)
			turn <- true
			script := func(w net.Conn, m seen) {
				<-turn
				do := fine
				if first {
					do, first = c.first, false
				}
				turn <- true
				do(w, m)
			}
			a, b := newWorker(t, "w1", script), newWorker(t, "w2", script)
			r := newRig(t, "load", a, b)
			if got := r.expect("once", c.want); c.want == "returned" && got.Body != "well" {
				t.Errorf("%+v", got)
			}
			if n := len(a.seen("invoke")) + len(b.seen("invoke")); n != c.n {
				t.Errorf("%d forwards, want %d", n, c.n)
			}
			r.idle()
			r.expect("once", "returned")
		})
	}
}

func TestNoConnectionProvesThatNothingRan(t *testing.T) {
	a, b := newWorker(t, "w1", fine), newWorker(t, "w2", fine)
	r := newRig(t, "load", a, b)
	a.close()
	for range 8 {
		r.expect("once", "returned", "entity="+newID())
	}
}

// What is spoilt on a connection ends all that is open on it, and spares what is on others.
func TestSpoiltConnectionEndsAllOnIt(t *testing.T) {
	w := newWorker(t, "w1", fine, silent)
	r := newRig(t, "load", w)
	r.expect("once", "returned") // warm: the next need not wait for each other
	c := r.dial()
	for range 3 {
		c.send("once", "in")
	}
	var conn net.Conn
	r.until("they are out", func() bool { return len(w.seen("invoke")) == 4 })
	n := 0
	for _, m := range w.seen("invoke")[1:] {
		if conn == nil || m.conn == conn {
			conn, n = m.conn, n+1
		}
	}
	io.WriteString(conn, "what\r\n")
	for range n {
		if a, ok := c.answer(); !ok || kind(a) != "failed" {
			t.Errorf("%+v", a)
		}
	}
	r.until("the others are left", func() bool { return r.d.Gateway.InFlight() == 3-n })
}

// Rule 1: silence costs the client no more than its time, counted from when its message was read.
func TestSilenceIsAnsweredInTime(t *testing.T) {
	w := newWorker(t, "w1", silent)
	r := newRig(t, "load", w)
	start := time.Now()
	r.expect("once", "failed", "patience=300")
	if took := time.Since(start); took > 320*time.Millisecond || took < 200*time.Millisecond {
		t.Errorf("%v", took)
	}
	r.idle()
	for len(w.seen("abort")) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Rule 3: what waits for a connection when its worker drains never leaves, and goes elsewhere.
func TestNothingLeavesForADrainedWorker(t *testing.T) {
	a, b := newWorker(t, "w1", fine), newWorker(t, "w2", fine)
	r := newRig(t, "load", a)
	r.on(func() { // w1 drains in the very turn in which the attempt is queued for its connection
		turn, done := r.d.Loop.AfterEvents, false
		r.d.Loop.AfterEvents = func() {
			turn()
			if v := r.d.Gateway.Status().Workers[0]; !done && v.Queued > 0 {
				done = true
				if err := r.d.Gateway.UpdateWorkers(membership.SourceChangeLog, []membership.Entry{r.entry(a, control.Draining), r.entry(b, control.Ready)}); err != nil {
					t.Error(err)
				}
			}
		}
	})
	r.expect("once", "returned")
	if len(a.seen("invoke")) != 0 || len(b.seen("invoke")) != 1 {
		t.Errorf("%d forwards to the one that drains, %d to the other", len(a.seen("invoke")), len(b.seen("invoke")))
	}
}

func (r *rig) entry(s *scripted, state control.WorkerState) membership.Entry {
	e, err := (&Member{ID: s.id, Address: s.ln.Addr().String(), Zone: "z", Cell: 1, State: "active", Weight: 4}).entry(membership.WallClock{}, 0, 0)
	if err != nil {
		r.t.Error(err)
	}
	e.State = state
	return e
}

// A miss brings one load order, of a model that a client has asked for, and the attempt again.
func TestMissOrdersALoad(t *testing.T) {
	w := newWorker(t, "w1", reply("not_here", "-", ""), fine)
	r := newRig(t, "miss", w)
	r.expect("read", "returned")
	if got := w.seen("prewarm"); len(got) != 1 || got[0].fields != "path=7f3a9c21e0b4d655,replicas=1" || len(w.seen("invoke")) != 2 {
		t.Errorf("%+v", w.got)
	}
}

func TestAliveOnlyWhenItCanServe(t *testing.T) {
	r := newRig(t, "load")
	alive := frame(thrifttest.Message(func(p *lib.TBinaryProtocol) {
		p.WriteMessageBegin(context.Background(), "alive", lib.CALL, 1)
		p.WriteFieldStop(context.Background())
	}))
	c := r.dial()
	ask := func() bool {
		c.Write(alive)
		a, ok := c.answer()
		return ok && a.Name == "alive" && a.Good
	}
	if ask() {
		t.Error("alive without a worker")
	}
	w := newWorker(t, "w1", fine)
	r.log.add(false, w.member("active", 0))
	r.until("the worker is heard of", r.d.Gateway.Ready)
	if !ask() {
		t.Error("not alive with a worker")
	}
	r.on(r.d.Stop)
	if ask() {
		t.Error("alive while it stops")
	}
}

// A start that the list tells is the worker's start, with no probe spent; a new one is an empty worker on new connections.
func TestStartsOfTheList(t *testing.T) {
	w := newWorker(t, "w1", fine)
	r := newRig(t, "load", w)
	r.expect("read", "returned")
	now := time.Now().UnixMilli()
	r.log.add(false, w.member("active", now))
	r.until("the new start is heard", func() bool {
		v := r.d.Gateway.Status().Workers[0]
		return v.Age != nil && *v.Age < 60 && len(v.Warm) == 0
	})
	conns := w.conns()
	r.expect("read", "returned")
	if w.conns() == conns {
		t.Error("a connection of the process before is used")
	}
	if n := len(w.seen("gauges")) + len(w.seen("alive")); n > 0 {
		t.Errorf("%d probes", n)
	}
}

// A new worker at the address of one that has gone is another worker.
func TestNewWorkerAtAnOldAddress(t *testing.T) {
	w := newWorker(t, "w1", fine)
	r := newRig(t, "load", w)
	r.expect("read", "returned")
	r.log.add(false, w.member("left", 0), strings.Replace(w.member("active", 0), `"w1"`, `"w2"`, 1))
	r.until("the new one is heard of", func() bool {
		v := r.d.Gateway.Status().Workers
		return len(v) == 2 && v[0].State == "gone" && v[0].Connections == 0 && v[1].State == "ready"
	})
	conns := w.conns()
	r.expect("read", "returned")
	if w.conns() == conns {
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
			a, b := newWorker(t, "w1", fine), newWorker(t, "w2", fine)
			r := newRig(t, "load", a)
			r.log.mu.Lock()
			r.log.odd = odd
			r.log.mu.Unlock()
			r.log.add(false, b.member("active", 0))
			r.until("the event is heard", func() bool { return len(r.d.Gateway.Status().Workers) == 2 })
			r.on(func() {
				if v := r.d.Gateway.Members.Version; v != 2 || r.d.feed.last != 2 {
					t.Errorf("list of version %d, event %d", v, r.d.feed.last)
				}
			})
		})
	}
}

func TestReloadFollowsTheNewChangeLog(t *testing.T) {
	a, b := newWorker(t, "w1", fine), newWorker(t, "w2", fine)
	r := newRig(t, "load", a)
	next := newChangeLog(t)
	r.log.mu.Lock()
	next.events = append(next.events, r.log.events...)
	r.log.mu.Unlock()
	f := rigFile(t, next, "load")
	c := r.dial()
	r.on(func() { r.d.Reload(f) })
	next.add(false, b.member("active", 0))
	r.until("the new one is followed", func() bool { return len(r.d.Gateway.Status().Workers) == 2 })
	next.mu.Lock()
	if next.polls[0] != 1 {
		t.Errorf("asked since %v", next.polls)
	}
	next.mu.Unlock()
	c.send("read", "in") // a connection from before goes on
	if a, ok := c.answer(); !ok || kind(a) != "returned" {
		t.Errorf("%+v", a)
	}
}

// A planned stop: clients still come for a while, all are answered, and the loop ends by itself.
func TestStopAnswersAll(t *testing.T) {
	w := newWorker(t, "w1", func(c net.Conn, m seen) { time.Sleep(300 * time.Millisecond); fine(c, m) })
	r := newRig(t, "load", w)
	before := r.dial()
	before.send("once", "in")
	r.on(r.d.Stop)
	after := r.dial()
	after.send("once", "in")
	for _, c := range []*client{before, after} {
		if a, ok := c.answer(); !ok || kind(a) != "returned" {
			t.Errorf("%+v %v", a, ok)
		}
	}
	if err := <-r.d.ended; err != nil || r.d.Gateway.ExitStatus().FailedRequests > 0 {
		t.Errorf("%v %+v", err, r.d.Gateway.ExitStatus())
	}
	r.d.ended <- nil
}

// What bad clients send ends in a fault, a shed or a close, counted by reason, and never in an answer that was returned.
func TestBadClients(t *testing.T) {
	w := newWorker(t, "w1", func(c net.Conn, m seen) { time.Sleep(20 * time.Millisecond); fine(c, m) })
	r := newRig(t, "load", w)
	id := newID()
	many := []byte{}
	for seq := range int32(200) {
		many = append(many, request(seq+1, "read", "in")...)
	}
	for _, c := range []struct {
		name, why string
		text      []byte
	}{
		{"noise", "frame", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"negative length", "frame", binary.BigEndian.AppendUint32(nil, 0xfffffff0)},
		{"60 MB", "frame", append(binary.BigEndian.AppendUint32(nil, 60<<20), bytes.Repeat([]byte{1}, 1<<20)...)},
		{"no protocol", "unreadable", frame([]byte("hello, are you there?"))},
		{"cut message", "unreadable", frame(request(1, "read", "in")[4:40])},
		{"unknown group", "unknown_group", request(1, "nope", "in")},
		{"no mark", "no_mark", frame(thrifttest.Call(1, map[string]string{"route": "write", "trace": newID(), "patience": "500", "entity": "7f3a9c21e0b4d655"}, nil, false))},
		{"bad figure", "unusable", request(1, "read", "in", "patience=NaN")},
		{"no id", "unusable", request(1, "read", "in", "trace=")},
		{"number in use", "number_in_use", append(request(1, "read", "in"), request(1, "read", "in")...)},
		{"id in use", "id_in_use", append(request(1, "read", "in", "trace="+id), request(2, "read", "other", "trace="+id)...)},
		{"too many", "too_many_open", many},
		{"half a message", "message_stalled", request(1, "read", "in")[:30]},
		{"silence", "silent", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := r.dial()
			before := r.refused(c.why)
			start := time.Now()
			conn.Write(c.text)
			a, ok := conn.answer()
			for ok && kind(a) != "returned" && kind(a) != "fault" && kind(a) != "shed" {
				a, ok = conn.answer()
			}
			if ok && kind(a) == "returned" {
				t.Errorf("%+v", a)
			}
			if took := time.Since(start); took > 2500*time.Millisecond {
				t.Errorf("answered after %v", took)
			}
			if n := r.refused(c.why); n != before+1 {
				t.Errorf("%s counted %d times", c.why, n-before)
			}
			r.idle()
		})
	}
	r.expect("read", "returned")
}

// Connections beyond the clients' share take the place of idle ones, silent ones first; those in use are spared.
func TestConnectionsAreSharedOut(t *testing.T) {
	w := newWorker(t, "w1", func(c net.Conn, m seen) {
		if m.body != "wait" {
			fine(c, m)
		}
	})
	r := newRig(t, "load", w)
	r.expect("read", "returned")
	busy := r.dial()
	busy.send("read", "wait")
	r.until("it is out", func() bool { return len(w.seen("invoke")) == 2 })
	r.on(func() { r.d.front.most = 10 })
	for range 50 {
		r.dial()
	}
	r.until("all were accepted or closed", func() bool { return r.d.Loop.Stats.Accepted.Load() >= 51 })
	for range 5 {
		r.expect("read", "returned")
	}
	r.on(func() {
		if n := r.d.front.conns; n > 10 {
			t.Errorf("%d connections", n)
		}
	})
	m := w.seen("invoke")[1]
	say(m.conn, m, "served", "detail=resident", "late")
	if a, ok := busy.answer(); !ok || a.Body != "late" {
		t.Errorf("%+v %v", a, ok)
	}
}

// Months of churn: new workers, models, clients and ids all the time end with the counts they began with.
func TestChurnIsForgotten(t *testing.T) {
	r := newRig(t, "load")
	for i := range 30 {
		w := newWorker(t, fmt.Sprintf("w%d", i), fine)
		r.log.add(false, w.member("active", 0))
		r.until("it can serve", r.d.Gateway.Ready)
		for range 5 {
			r.expect("read", "returned", "entity="+newID())
		}
		r.log.add(false, w.member("left", 0))
		r.until("it has gone", func() bool { return !r.d.Gateway.Ready() })
		w.close()
	}
	r.idle()
	r.until("connections are closed", func() bool { return len(r.d.front.workers.conns) == 0 && r.d.front.conns == 0 })
	r.on(func() {
		r.d.Gateway.EvictIdle(r.d.Loop.Now() + 1)
		if v := r.d.Gateway.Status(); len(v.Workers) != 0 || r.d.Gateway.ModelCount() != 0 || len(r.d.front.free) > keptCalls {
			t.Errorf("%d workers, %d models left", len(v.Workers), r.d.Gateway.ModelCount())
		}
	})
}

func TestConfigurationIsChecked(t *testing.T) {
	log := newChangeLog(t)
	good := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"1f","limits":{"cores":1,"memory_mb":32,"sockets":256},"changelog":%q,"known":{"seq":0,"results":[]},"settings":%s}`,
		log.srv.Listener.Addr(), rigSettings("load"))
	f, err := parseFile([]byte(good))
	if err != nil || f.seed != 0x1f || f.timeout() != 2 || f.values.Text("groups.2.effect") != "non-retriable" ||
		len(f.set.Groups) != 3 || f.set.Groups[0].Effect != control.Retriable || f.set.Groups[2].Effect != control.NonRetriable {
		t.Errorf("%+v %v", f, err)
	}
	for _, bad := range []string{"", "{", strings.Replace(good, "127.0.0.1:0", "nowhere", 1), strings.Replace(good, `"1f"`, `"x"`, 1),
		strings.Replace(good, `"sockets":256`, `"sockets":8`, 1), strings.Replace(good, "request_classes", "x", 1)} {
		if _, err := parseFile([]byte(bad)); err == nil {
			t.Errorf("%.60q is taken", bad)
		}
	}
	for setting, named := range map[[2]string]string{
		{`"fall_us":1000000`, `"fall_us":-5`}:                       "rules.fall",
		{`"cold_share":0.2`, `"cold_share":"some"`}:                 "rules.cold_share",
		{`"cancel":true`, `"cancel":"yes"`}:                         "limits.cancel",
		{`"peers_total":1`, `"peers_total":-300`}:                   "dispatchers",
		{`"open_cap":20000`, `"open_cap":-1`}:                       "limits.open_cap",
		{`"streams_per_conn":32`, `"streams_per_conn":[1]`}:         "limits.streams_per_conn",
		{`"name":"write"`, `"name":"read"`}:                         "model group 1",
		{`"name":"write",`, ``}:                                     "model group 1",
		{`"request_classes":` + rigGroups, `"request_classes":3`}:   "model group 0",
		{`"request_classes":` + rigGroups, `"request_classes":9e9`}: "groups",
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
	if err != nil || f.set.Groups[0].SLOStretch != 4.5 {
		t.Errorf("%v %v", f, err)
	}
	t.Setenv("LB_CONFIG", t.TempDir()+"/none")
	var out bytes.Buffer
	if code := Run(&out); code == 0 || strings.Count(out.String(), "\n") != 1 {
		t.Errorf("code %d, %q", code, out.String())
	}
}
