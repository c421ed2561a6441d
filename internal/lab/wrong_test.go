package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mastchute/internal/emulator"
	"mastchute/internal/eventloop"
)

const wrongDay = `name: wrong
seed: %d
length: 1500ms
settings:
  groups:
    - {name: read, effect: retriable, slo: 500ms, timeout: 1s}
    - {name: write, effect: deduped, scope: all, window: 200ms, slo: 500ms, timeout: 1s}
    - {name: once, effect: non-retriable, slo: 500ms, timeout: 1s}
  rules: {drain_grace: 100ms, cold_share: 0.1, warm_after: 60s, overload_factor: 2, fall: 300ms}
  loads: {window: 1s, few: 1, share: 0.1}
fleet: {workers: 3, cores: 4, memory: 1GB, queue: 100}
models:
  - {name: fern, group: read, memory: 10MB, lanes: 4, work: 2ms, fetch: 1ms, boot: 1ms}
  - {name: label, group: write, memory: 10MB, lanes: 4, work: 2ms, fetch: 1ms, boot: 1ms}
  - {name: number, group: once, memory: 10MB, lanes: 4, work: 2ms, fetch: 1ms, boot: 1ms}
clients: {rate: 40, retries: 1}
`

// wrongHost is a host over sockets that does one thing wrong.
type wrongHost struct {
	wrong   string
	workers []string
	n       atomic.Int64
}

func (h *wrongHost) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); ; {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				io.Copy(io.Discard, q.Body)
				h.one(c, q)
			}
		}()
	}
}

func (h *wrongHost) send(worker, path, id string, attempt int, key string) (int, string) {
	q, _ := http.NewRequest("POST", "http://"+worker+path, strings.NewReader("{}"))
	q.Header.Set("Mastchute-Dispatcher", "d0")
	q.Header.Set("Mastchute-Inference", id)
	q.Header.Set("Mastchute-Forward", fmt.Sprint(attempt))
	q.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

func (h *wrongHost) one(c net.Conn, q *http.Request) {
	n := int(h.n.Add(1))
	id, key := fmt.Sprintf("d0-%d", n), q.Header.Get("Idempotency-Key")
	say := func(answer string, status int) {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nMastchute-Answer: %s\r\nMastchute-Inference: %s\r\nContent-Length: 0\r\n\r\n", status, answer, id)
	}
	w := h.workers[n%len(h.workers)]
	once, write := strings.Contains(q.URL.Path, "number"), strings.Contains(q.URL.Path, "label")
	if h.wrong == "never answers" && n%5 == 0 {
		return
	}
	if h.wrong == "pushes a cold worker" && n > 15 { // by then it has heard from it
		w = h.workers[0]
		for i := range 30 {
			go h.send(w, "/v2/models/fern-1/infer", fmt.Sprint(id, "-", i), 0, fmt.Sprint(key, "/", i))
		}
	}
	if h.wrong == "orders too much" {
		h.send(w, strings.Replace(strings.TrimSuffix(q.URL.Path, "infer"), "/v2/", "/v2/repository/", 1)+"load", "", 0, "")
	}
	status, _ := h.send(w, q.URL.Path, id, 0, key)
	switch {
	case h.wrong == "forwards again" && once:
		h.send(h.workers[(n+1)%len(h.workers)], q.URL.Path, id, 1, key)
	case h.wrong == "sheds what ran" && once && n%2 == 0:
		say("shed", 503)
		return
	case h.wrong == "repeats past the window" && write:
		time.Sleep(400 * time.Millisecond)
		h.send(w, q.URL.Path, id, 1, key)
	case h.wrong == "answers late" && n%5 == 0:
		time.Sleep(1400 * time.Millisecond)
	case h.wrong == "answers twice" && n%3 == 0:
		say("returned", 200)
	case h.wrong == "sends after the answer" && !once && !write:
		go func() { time.Sleep(200 * time.Millisecond); h.send(w, q.URL.Path, id, 1, key+"x") }()
	}
	if status == 200 {
		say("returned", 200)
	} else {
		say("failed", 502)
	}
}

// Wrong hosts over sockets, with the day's own clients and stand-ins: each is caught by its rule, and by that alone; a
// right one is not.
func TestWrongHostsAreCaught(t *testing.T) {
	for i, c := range []struct {
		wrong string
		rule  int
		says  string
	}{
		{"", 0, ""},
		{"forwards again", 2, "may have run"},
		{"sheds what ran", 2, "shed, though"},
		{"repeats past the window", 2, "past the window"},
		{"answers late", 1, "no answer within|after the client's time"},
		{"never answers", 1, "no answer within"},
		{"answers twice", 1, "second answer"},
		{"sends after the answer", 1, "after the final answer"},
		{"works after a drain", 3, "after it heard that it is draining"},
		{"pushes a cold worker", 4, "fell over"},
		{"orders too much", 5, "loads within"},
	} {
		t.Run(c.wrong, func(t *testing.T) {
			t.Parallel()
			day, err := ParseDay("wrong", []byte(fmt.Sprintf(wrongDay, i+1)), Sockets)
			if err != nil {
				t.Fatal(err)
			}
			var records bytes.Buffer
			l, err := eventloop.New(0)
			if err != nil {
				t.Fatal(err)
			}
			free := netip.MustParseAddrPort("127.0.0.1:0")
			cold := c.wrong == "pushes a cold worker"
			s, err := emulator.NewServer(l, day.Spec(), []netip.AddrPort{free, free, free}, free, &records, cold)
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- l.Run() }()
			h := &wrongHost{wrong: c.wrong}
			for i := range 3 {
				h.workers = append(h.workers, s.Addr(i).String())
			}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go h.serve(ln)
			e := &Evidence{Settings: &day.Settings, Zones: map[string]string{}, Cells: map[string]string{}}
			if c.wrong == "works after a drain" {
				time.AfterFunc(500*time.Millisecond, func() { // heard, and not heeded
					l.Post(func() { e.Words = append(e.Words, Word{"d0", "w1", "draining", unix(time.Now())}) })
				})
			}
			crowd := &crowd{day: day, gateways: []*gateway{{name: "d0", addr: ln.Addr().String()}}}
			crowd.load(context.Background(), time.Now())
			time.Sleep(300 * time.Millisecond) // for what is sent after the last answer
			l.Stop()
			if err := <-ended; err != nil {
				t.Fatal(err)
			}
			for _, x := range crowd.tries {
				e.Tries = append(e.Tries, *x)
			}
			for d := json.NewDecoder(&records); ; {
				var r emulator.Record
				if d.Decode(&r) != nil {
					break
				}
				e.Records = append(e.Records, r)
			}
			for _, f := range Judge(e) {
				all := strings.Join(f.Breaks, "\n")
				named := false
				for _, s := range strings.Split(c.says, "|") {
					named = named || strings.Contains(all, s)
				}
				if f.Rule != c.rule && f.Broken > 0 || f.Rule == c.rule && (f.Broken == 0 || !named) {
					t.Errorf("rule %d: %d breaks: %s", f.Rule, f.Broken, all)
				}
			}
		})
	}
}
