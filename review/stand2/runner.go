package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// attempt is an invoke that has reached a runner whole.
type attempt struct {
	id, class, key, model string
	runner                string
	cell                  int
	at                    float64 // when it had arrived whole
	end                   string  // the answer's word, empty for none
	ranAt                 float64 // when its effect was applied, 0 for never
}

// neverRan reports whether its answer proves that it never ran.
func (a *attempt) neverRan() bool {
	return a.end == "not_here" || a.end == "overload" || a.end == "nobody"
}

// fleet is what all runners share.
type fleet struct {
	rec      *record
	mu       sync.Mutex
	attempts []*attempt
	memory   map[string]*attempt // the latest run of a key in a cell, as "cell/key"
	window   float64             // for which a cell drops repeats, in seconds
	load     func() float64      // the length of a load
	work     func() float64      // the length of a run on a warm runner
	coldFrom float64             // the part of its speed that a runner has at its start
	coldFor  float64             // the time until it is warm
	cores    int                 // of a runner, 0 for as many as it has requests
}

// runner is the stand-in of one runner process.
type runner struct {
	fleet     *fleet
	id, addr  string
	cell      int
	speed     float64 // of its cores, once warm
	startedAt float64
	listener  net.Listener
	mu        sync.Mutex
	conns     map[net.Conn]bool
	models    map[string]float64 // when each is loaded
	open      int
	draining  bool
	dead      bool
	cores     chan bool   // holds the cores in use
	resets    atomic.Bool // connections are reset under some deduped requests that have run
}

const runnerRoom = 40 // requests that a runner holds; it answers overload to more

// startRunner starts a runner at an address, "" for a free one. Models that it holds already are in models.
func (f *fleet) startRunner(id, addr string, cell int, startedAt float64, models ...string) *runner {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp4", addr)
	must(err)
	r := &runner{fleet: f, id: id, addr: ln.Addr().String(), cell: cell, speed: 1, startedAt: startedAt, listener: ln,
		conns: map[net.Conn]bool{}, models: map[string]float64{}}
	if f.cores > 0 {
		r.cores = make(chan bool, f.cores)
	}
	for _, model := range models {
		r.models[model] = startedAt
	}
	f.rec.printf("runner %s starts at %s, cell %d", id, r.addr, cell)
	go r.accept()
	return r
}

// member returns the runner's entry in the change log.
func (r *runner) member(phase string, upSince int64) member {
	return member{ID: r.id, HostPort: r.addr, Locality: "east", Flavor: "std", Cell: r.cell, Phase: phase, Size: 4, UpSince: upSince}
}

func (r *runner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.dead {
			r.mu.Unlock()
			reset(conn)
			return
		}
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serve(conn)
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// die ends the runner as the end of its process does: its connections are reset.
func (r *runner) die() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = true
	r.listener.Close()
	for conn := range r.conns {
		reset(conn)
	}
	r.fleet.rec.printf("runner %s ends", r.id)
}

// serve reads the commands of one connection.
func (r *runner) serve(conn net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
		conn.Close()
	}()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "invoke":
			length, err := strconv.Atoi(words[3])
			if err != nil || length > 1<<20 {
				return
			}
			body := make([]byte, length+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			r.invoke(conn, words[1], parseFields(words[2]), body[:length])
		case len(words) == 2 && words[0] == "abort":
			r.fleet.rec.printf("%s abort %s", r.id, words[1])
		case len(words) == 2 && words[0] == "evict":
		case len(words) == 2 && (words[0] == "alive" || words[0] == "gauges"):
			r.answer(conn, words[1], "green", "", nil)
		case len(words) == 3 && words[0] == "prewarm":
			r.prewarm(conn, words[1], parseFields(words[2]))
		default:
			return
		}
	}
}

// parseFields parses a list name=value,name=value.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for entry := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(entry, "=")
		fields[name] = value
	}
	return fields
}

// answer writes an answer with the load report, unless the runner has ended.
func (r *runner) answer(conn net.Conn, tag, word, fields string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		return
	}
	fmt.Fprintf(conn, "%s %s use=inflight:%d;queue:0%s %d\r\n%s\r\n", tag, word, r.open, fields, len(body), body)
}

// invoke handles a request that has arrived whole.
func (r *runner) invoke(conn net.Conn, id string, fields map[string]string, body []byte) {
	a := &attempt{id: id, class: fields["queue"], key: fields["uniq"], model: fields["path"], runner: r.id, cell: r.cell, at: r.fleet.rec.now()}
	r.fleet.mu.Lock()
	r.fleet.attempts = append(r.fleet.attempts, a)
	r.fleet.mu.Unlock()
	budget, _ := strconv.ParseFloat(fields["budget"], 64)
	r.mu.Lock()
	full := r.draining || r.open >= runnerRoom
	if !full {
		r.open++
	}
	r.mu.Unlock()
	r.fleet.rec.printf("%s invoke %s class %s key %s model %s budget %s", r.id, id, a.class, a.key, a.model, fields["budget"])
	if full {
		r.end(conn, a, "overload", "", nil)
		return
	}
	go func() {
		word, detail := r.run(a, a.at+budget/1000)
		r.mu.Lock()
		r.open--
		r.mu.Unlock()
		if r.resets.Load() && a.ranAt > 0 && a.key != "" && rand.Float64() < gapReset {
			r.fleet.rec.printf("%s resets the connection under %s", r.id, a.id)
			reset(conn)
			return
		}
		r.end(conn, a, word, detail, body)
	}()
}

// end answers an attempt.
func (r *runner) end(conn net.Conn, a *attempt, word, detail string, body []byte) {
	if word != "served" {
		body = nil
	}
	r.fleet.mu.Lock()
	a.end = word
	r.fleet.mu.Unlock()
	r.fleet.rec.printf("%s %s %s %s", r.id, a.id, word, detail)
	if detail != "" {
		detail = ",detail=" + detail
	}
	r.answer(conn, a.id, word, detail, body)
}

// run loads the model if needed, runs the request and applies its effect, unless it is a repeat that the cell drops.
func (r *runner) run(a *attempt, until float64) (word, detail string) {
	detail = r.await(a.model)
	f := r.fleet
	if f.rec.now() > until {
		return "nobody", ""
	}
	if a.key != "" && f.isRepeat(a, r.cell) {
		return "served", detail
	}
	if r.cores != nil {
		r.cores <- true
		defer func() { <-r.cores }()
		if f.rec.now() > until {
			return "nobody", ""
		}
	}
	age := f.rec.now() - r.startedAt
	speed := r.speed * min(1, f.coldFrom+(1-f.coldFrom)*age/f.coldFor)
	sleep(f.work() / speed)
	r.mu.Lock()
	dead := r.dead
	r.mu.Unlock()
	if dead {
		return "", ""
	}
	f.mu.Lock()
	a.ranAt = f.rec.now()
	f.mu.Unlock()
	f.rec.printf("%s applies %s key %s", r.id, a.id, a.key)
	return "served", detail
}

// isRepeat reports whether the cell drops a run, and remembers it otherwise.
func (f *fleet) isRepeat(a *attempt, cell int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	place := fmt.Sprintf("%d/%s", cell, a.key)
	earlier := f.memory[place]
	if earlier != nil && f.rec.now() <= earlier.at+f.window {
		f.rec.printf("%s drops the repeat %s key %s", a.runner, a.id, a.key)
		return true
	}
	f.memory[place] = a
	return false
}

// await waits until a model is loaded, and returns the detail of the answer.
func (r *runner) await(model string) string {
	now := r.fleet.rec.now()
	r.mu.Lock()
	ready, known := r.models[model]
	detail := "resident"
	switch {
	case !known:
		ready = now + r.fleet.load()
		r.models[model] = ready
		detail = "booted"
	case ready > now:
		detail = "rode"
	}
	r.mu.Unlock()
	r.fleet.rec.sleepUntil(ready)
	return detail
}

// prewarm handles an order to load, or a question.
func (r *runner) prewarm(conn net.Conn, tag string, fields map[string]string) {
	r.fleet.rec.printf("%s prewarm %s %s copies %s", r.id, tag, fields["path"], fields["replicas"])
	r.mu.Lock()
	draining := r.draining
	ready, known := r.models[fields["path"]]
	r.mu.Unlock()
	if draining {
		r.answer(conn, tag, "overload", ",replicas=0", nil)
		return
	}
	if fields["replicas"] != "0" {
		go func() {
			r.await(fields["path"])
			r.answer(conn, tag, "served", ",replicas=1", nil)
		}()
		return
	}
	copies := 0
	if known && ready <= r.fleet.rec.now() {
		copies = 1
	}
	r.answer(conn, tag, "served", fmt.Sprintf(",replicas=%d", copies), nil)
}

// between returns a function that draws a length from a range.
func between(low, high float64) func() float64 {
	return func() float64 { return low + (high-low)*rand.Float64() }
}
