package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in worker behind a fault proxy: what arrives is stamped before any fault holds it back.
type worker struct {
	s       *stage
	index   int
	address string
	rnd     *rand.Rand

	mu       sync.Mutex
	id       string
	upSince  int64 // Unix ms
	draining bool
	warm     map[string]bool
	listener net.Listener
	conns    map[net.Conn]bool
}

func newWorker(s *stage, index int) (*worker, error) {
	w := &worker{s: s, index: index, rnd: rand.New(rand.NewPCG(s.plan.Seed, uint64(1000+index))), warm: map[string]bool{}, conns: map[net.Conn]bool{}}
	w.id = fmt.Sprintf("s-%02d-0", index)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.listener, w.address = l, l.Addr().String()
	go w.accept(l)
	return w, nil
}

// chance draws from 0 to 1.
func (w *worker) chance() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.Float64()
}

func (w *worker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if w.s.on(WorkerRefuses, w.index) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		w.mu.Lock()
		w.conns[c] = true
		id := w.id
		w.mu.Unlock()
		go w.serve(c, id)
	}
}

// resetSome resets open connections, each with a chance.
func (w *worker) resetSome(chance float64) {
	w.mu.Lock()
	var list []net.Conn
	for c := range w.conns {
		if w.rnd.Float64() < chance {
			list = append(list, c)
		}
	}
	w.mu.Unlock()
	for _, c := range list {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// replace ends the process and starts a new one, cold, under a new id at the same address.
func (w *worker) replace() (was, is string) {
	w.mu.Lock()
	was = w.id
	var n int
	fmt.Sscanf(w.id[len(w.id)-1:], "%d", &n)
	w.id = fmt.Sprintf("s-%02d-%d", w.index, n+1)
	w.upSince = time.Now().UnixMilli()
	w.draining, w.warm = false, map[string]bool{}
	is = w.id
	w.mu.Unlock()
	w.resetSome(1)
	return was, is
}

func (w *worker) close() {
	w.listener.Close()
	w.resetSome(1)
}

// stamped is a connection whose reader knows when the first and the last byte of what it took had come in.
type stamped struct {
	net.Conn
	s    *stage
	deaf func() bool
	last float64
	held float64 // what is read now may have come in since then; 0 where it was read as it came
}

func (c *stamped) Read(b []byte) (int, error) {
	for c.deaf() {
		if c.held == 0 {
			c.held = c.s.hist.Now()
		}
		time.Sleep(5 * time.Millisecond)
	}
	n, err := c.Conn.Read(b)
	if c.last = c.s.hist.Now(); c.held > 0 {
		c.last = c.held
		if n < len(b) { // all that had come in is read
			c.held = 0
		}
	}
	return n, err
}

// maxBody bounds what a stand-in reads.
const maxBody = 1 << 20

func (w *worker) serve(c net.Conn, id string) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	in := &stamped{Conn: c, s: w.s, deaf: func() bool { return w.s.on(WorkerDeaf, w.index) }}
	r := bufio.NewReaderSize(in, 4<<10)
	var out sync.Mutex
	for {
		idle := time.Duration(w.s.plan.Site.ConnIdle * 1e9)
		c.SetReadDeadline(time.Now().Add(idle))
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := in.last
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		switch words[0] {
		case "invoke":
			if !w.invoke(r, in, c, &out, id, words, first) {
				return
			}
		case "prewarm":
			w.s.hist.update(func() { w.s.hist.Orders = append(w.s.hist.Orders, Order{Worker: id, First: first}) })
			go w.load(c, &out, words)
		case "gauges", "alive":
			if !w.s.on(WorkerHangs, w.index) {
				w.say(c, &out, words[1], "green", "use=inflight:1;queue:0", "")
			}
		}
	}
}

func fields(text string) map[string]string {
	out := map[string]string{}
	for _, f := range strings.Split(text, ",") {
		k, v, _ := strings.Cut(f, "=")
		out[k] = v
	}
	return out
}

func (w *worker) invoke(r *bufio.Reader, in *stamped, c net.Conn, out *sync.Mutex, id string, words []string, first float64) bool {
	h := w.s.hist
	if len(words) != 4 {
		h.update(func() { h.Stray = append(h.Stray, "malformed attempt: "+strings.Join(words, " ")) })
		return false
	}
	f := fields(words[2])
	ms, _ := strconv.ParseFloat(f["budget"], 64)
	a := &Attempt{ID: words[1], Worker: id, Key: f["uniq"], First: first, Budget: ms / 1e3}
	h.attempt(a)
	n, err := strconv.Atoi(words[3])
	if err != nil || n < 0 || n > maxBody {
		h.update(func() { h.Stray = append(h.Stray, "bad length: "+strings.Join(words, " ")) })
		return false
	}
	body := make([]byte, n+2)
	if _, err := io.ReadFull(r, body); err != nil {
		return false
	}
	h.update(func() { a.Whole, a.Latest, a.Body = in.last, h.Now(), string(body[:n]) })
	go w.answer(c, out, a, f["path"])
	return true
}

func (w *worker) load(c net.Conn, out *sync.Mutex, words []string) {
	time.Sleep(40 * time.Millisecond)
	if w.s.on(WorkerHangs, w.index) || len(words) < 3 {
		return
	}
	w.mu.Lock()
	w.warm[fields(words[2])["path"]] = true
	w.mu.Unlock()
	w.say(c, out, words[1], "served", "replicas=1", "")
}

// answer runs an attempt, or does not, and says so; trouble comes in between.
func (w *worker) answer(c net.Conn, out *sync.Mutex, a *Attempt, model string) {
	if w.s.on(WorkerHangs, w.index) {
		return
	}
	w.mu.Lock()
	warm, draining := w.warm[model], w.draining
	w.warm[model] = true
	w.mu.Unlock()
	time.Sleep(time.Duration((1 + 8*w.chance()) * 1e6))
	word, detail := "served", "detail=resident,use=inflight:1;queue:0"
	body := "answer to " + a.ID
	switch x := w.chance(); {
	case draining:
		word, detail, body = "overload", "-", ""
	case !warm && x < 0.3:
		word, detail, body = "not_here", "-", ""
	case !warm:
		time.Sleep(30 * time.Millisecond)
		detail = "detail=booted,use=inflight:1;queue:0"
	case x < 0.02:
		word, detail, body = "overload", "-", ""
	case x < 0.03:
		word, detail, body = "crashed", "-", ""
	}
	if w.s.on(WorkerResets, w.index) && w.chance() < 0.3 {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return
	}
	h := w.s.hist
	if w.s.on(WorkerSpoils, w.index) && w.chance() < 0.5 {
		w.spoil(c, out, a, word, detail, body)
		return
	}
	h.update(func() { a.Answer, a.Answered = word, h.Now() })
	w.say(c, out, a.ID, word, detail, body)
}

// spoil answers in a way that can't be used, or that brings more than belongs to it.
func (w *worker) spoil(c net.Conn, out *sync.Mutex, a *Attempt, word, detail, body string) {
	h := w.s.hist
	switch w.rnd.IntN(6) {
	case 0:
		w.write(c, out, "\x00\xff noise\r\n\r\n")
	case 1:
		w.write(c, out, a.ID+" served "+detail+" 3000000000\r\n"+body)
	case 2: // cut off in the middle
		w.write(c, out, fmt.Sprintf("%s %s %s %d\r\n%s", a.ID, word, detail, len(body)+5, body))
	case 3: // a stray one in front
		h.update(func() { a.Answer, a.Answered = word, h.Now() })
		w.write(c, out, "0123456789abcdef served - 5\r\nstray\r\n")
		w.say(c, out, a.ID, word, detail, body)
	case 4: // twice
		h.update(func() { a.Answer, a.Answered = word, h.Now() })
		w.say(c, out, a.ID, word, detail, body)
		time.Sleep(3 * time.Millisecond)
		w.say(c, out, a.ID, word, detail, body)
	case 5: // late
		time.Sleep(300 * time.Millisecond)
		h.update(func() { a.Answer, a.Answered = word, h.Now() })
		w.say(c, out, a.ID, word, detail, body)
	}
}

func (w *worker) say(c net.Conn, out *sync.Mutex, id, word, detail, body string) {
	w.write(c, out, fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, word, detail, len(body), body))
}

// write is the proxy's way back: late and in single bytes where the link is slow.
func (w *worker) write(c net.Conn, out *sync.Mutex, text string) {
	out.Lock()
	defer out.Unlock()
	if !w.s.on(LinkSlow, w.index) {
		io.WriteString(c, text)
		return
	}
	time.Sleep(time.Duration(w.chance() * 20e6))
	for i := range len(text) {
		if _, err := c.Write([]byte{text[i]}); err != nil {
			return
		}
		if i%16 == 0 {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// member is the worker's entry in the change log.
func (w *worker) member(phase string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return member(w.id, w.address, phase, w.upSince)
}

func member(id, address, phase string, up int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"std","cell":1,"phase":%q,"size":4,"up_since_ms":%d}`, id, address, phase, up)
}
