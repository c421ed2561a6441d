package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	loadTime = 640 * time.Millisecond
	shortRun = 4 * time.Millisecond // the run time of a request unless a case sets another
)

// attempt is an attempt as it reached a runner.
type attempt struct {
	runner    *runner
	id, key   string
	arrivedAt float64 // when the first byte had come out of the socket
}

// group is what the runners of one group know together: the marks of deduped requests.
type group struct {
	cell   int
	window time.Duration

	mu   sync.Mutex
	seen map[string]time.Time // when the first attempt with a mark arrived
}

// newGroup returns the group of the runners of a cell.
func newGroup(cell int, window time.Duration) *group {
	return &group{cell: cell, window: window, seen: map[string]time.Time{}}
}

// isRepeat reports whether an attempt with the mark arrived within the window before, and notes the mark if not.
func (g *group) isRepeat(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first, found := g.seen[key]
	if found && time.Since(first) < g.window {
		return true
	}
	g.seen[key] = time.Now()
	return false
}

// runner is a stand-in for a runner of the platform.
type runner struct {
	name     string
	rec      *record
	group    *group
	runTime  time.Duration
	toldAt   float64 // when the change log told of a runner that replaced another one, 0 for others
	listener *net.TCPListener

	// loseAnswer reports whether the answer to an attempt gets lost on its way, and resetUnder whether the connection is
	// reset instead of an answer. They may be nil.
	loseAnswer, resetUnder func(a attempt) bool

	mu       sync.Mutex
	loaded   map[string]time.Time // when the model is loaded
	attempts []attempt
	runs     []attempt
	conns    map[net.Conn]bool // open

	linkMu sync.Mutex
	link   *sync.Cond // signalled when cut changes
	cut    bool       // the link to the runner is cut
	plugs  []net.Conn // connections that fill the accept queue meanwhile
}

// newRunner starts a runner at an address; port 0 selects a free one.
func newRunner(rec *record, name, address string, g *group) (*runner, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{name: name, rec: rec, group: g, runTime: shortRun, listener: listener.(*net.TCPListener), loaded: map[string]time.Time{}, conns: map[net.Conn]bool{}}
	r.link = sync.NewCond(&r.linkMu)
	go r.accept()
	return r, nil
}

func (r *runner) member() member {
	return member{ID: r.name, HostPort: r.listener.Addr().String(), Locality: "room", Flavor: "std", Cell: r.group.cell, Phase: "active", Size: 1}
}

func (r *runner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serve(conn)
		r.awaitLink()
	}
}

// awaitLink waits until the link is not cut.
func (r *runner) awaitLink() {
	r.linkMu.Lock()
	defer r.linkMu.Unlock()
	for r.cut {
		r.link.Wait()
	}
}

// setBacklog sets the length of the accept queue.
func (r *runner) setBacklog(n int) error {
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) })
	if err != nil {
		return err
	}
	return listenErr
}

// cutLink cuts the link: open connections stay open and silent, and new ones never come up.
func (r *runner) cutLink() error {
	r.linkMu.Lock()
	r.cut = true
	r.linkMu.Unlock()
	err := r.setBacklog(0)
	if err != nil {
		return err
	}
	failures := 0 // in a row; one may come before accept has taken the first plug
	for range 12 {
		plug, err := net.DialTimeout("tcp", r.listener.Addr().String(), 20*time.Millisecond)
		if err == nil {
			r.plugs = append(r.plugs, plug)
			failures = 0
			continue
		}
		failures++
		if failures == 3 {
			r.rec.add("runner %s is cut off: open connections are silent, new ones don't come up", r.name)
			return nil
		}
	}
	return fmt.Errorf("new connections to runner %s still come up", r.name)
}

// dropQueued resets the connections in the accept queue. accept must be waiting for the link.
func (r *runner) dropQueued() {
	r.listener.SetDeadline(time.Now().Add(time.Millisecond))
	defer r.listener.SetDeadline(time.Time{})
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		reset(conn)
	}
}

// healLink ends cutLink: what was sent meanwhile arrives.
func (r *runner) healLink() error {
	r.rec.add("runner %s is reachable again", r.name)
	for _, plug := range r.plugs {
		plug.Close()
	}
	r.plugs = nil
	r.dropQueued()
	err := r.setBacklog(128)
	r.linkMu.Lock()
	r.cut = false
	r.linkMu.Unlock()
	r.link.Broadcast()
	return err
}

// openConns returns the number of open connections.
func (r *runner) openConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// runnerConn is a connection of a dispatcher to a runner.
type runnerConn struct {
	runner  *runner
	conn    net.Conn
	writeMu sync.Mutex
}

func (r *runner) serve(conn net.Conn) {
	c := &runnerConn{runner: r, conn: conn}
	in := bufio.NewReader(conn)
	for c.serveMessage(in) {
	}
	conn.Close()
	r.mu.Lock()
	delete(r.conns, conn)
	r.mu.Unlock()
}

// end ends the runner as the end of its process does: its connections are reset.
func (r *runner) end() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// serveMessage reads one message and acts on it. It returns false at the end of the connection.
func (c *runnerConn) serveMessage(in *bufio.Reader) bool {
	_, err := in.Peek(1)
	arrivedAt := c.runner.rec.now()
	if err != nil {
		return false
	}
	line, err := in.ReadString('\n')
	if err != nil {
		return false
	}
	words := strings.Fields(line)
	if len(words) < 2 {
		return false
	}
	switch words[0] {
	case "invoke":
		return c.receiveAttempt(in, words, arrivedAt)
	case "abort":
		c.runner.rec.add("runner %s receives abort  %s", c.runner.name, words[1])
	case "prewarm":
		c.runner.awaitLink()
		go c.prewarm(words)
	case "gauges", "alive":
		c.runner.awaitLink()
		c.write(words[1], "green", "-", "")
	}
	return true
}

func fieldsOf(word string) map[string]string {
	fields := map[string]string{}
	for _, field := range strings.Split(word, ",") {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return fields
}

// receiveAttempt reads the rest of an attempt and runs it once the link allows.
func (c *runnerConn) receiveAttempt(in *bufio.Reader, words []string, arrivedAt float64) bool {
	if len(words) != 4 {
		return false
	}
	size, err := strconv.Atoi(words[3])
	if err != nil {
		return false
	}
	body := make([]byte, size+len("\r\n"))
	_, err = io.ReadFull(in, body)
	if err != nil {
		return false
	}
	r := c.runner
	fields := fieldsOf(words[2])
	a := attempt{runner: r, id: words[1], key: fields["uniq"], arrivedAt: arrivedAt}
	r.rec.add("runner %s receives attempt %s %s model %s key %s budget %s ms", r.name, a.id, fields["queue"], fields["path"], a.key, fields["budget"])
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()
	go c.run(a, fields["path"])
	return true
}

// load waits until a model is loaded, and returns the note for the answer.
func (r *runner) load(model string) string {
	r.mu.Lock()
	ready, found := r.loaded[model]
	note := "resident"
	switch {
	case !found:
		ready = time.Now().Add(loadTime)
		r.loaded[model] = ready
		note = "booted"
	case time.Now().Before(ready):
		note = "rode"
	}
	r.mu.Unlock()
	time.Sleep(time.Until(ready))
	return note
}

// run runs an attempt and answers it. A repeat within the group's window is dropped: it is answered, but has no effect.
func (c *runnerConn) run(a attempt, model string) {
	r := c.runner
	r.awaitLink()
	repeat := a.key != "" && r.group.isRepeat(a.key)
	note := r.load(model)
	time.Sleep(r.runTime)
	if repeat {
		r.rec.add("runner %s drops    repeat  %s key %s", r.name, a.id, a.key)
	} else {
		r.rec.add("runner %s runs     attempt %s key %s", r.name, a.id, a.key)
		r.mu.Lock()
		r.runs = append(r.runs, a)
		r.mu.Unlock()
	}
	r.mu.Lock()
	resetUnder := r.resetUnder
	r.mu.Unlock()
	if resetUnder != nil && resetUnder(a) {
		r.rec.add("runner %s resets the connection of attempt %s", r.name, a.id)
		reset(c.conn)
		return
	}
	if r.loseAnswer != nil && r.loseAnswer(a) {
		r.rec.add("runner %s answers  attempt %s; the answer gets lost", r.name, a.id)
		return
	}
	r.awaitLink()
	c.write(a.id, "served", "detail="+note, "answer to "+a.id)
}

// prewarm loads a model and answers the order; an order for no copies only asks.
func (c *runnerConn) prewarm(words []string) {
	fields := fieldsOf(words[len(words)-1])
	if fields["replicas"] != "0" {
		c.runner.load(fields["path"])
	}
	c.runner.mu.Lock()
	ready, found := c.runner.loaded[fields["path"]]
	c.runner.mu.Unlock()
	copies := 0
	if found && time.Now().After(ready) {
		copies = 1
	}
	c.write(words[1], "served", fmt.Sprintf("replicas=%d", copies), "")
}

func (c *runnerConn) write(id, word, fields, body string) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	fmt.Fprintf(c.conn, "%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
}

// hasRun reports whether the runner has run an attempt of the request.
func (r *runner) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.runs {
		if a.id == id {
			return true
		}
	}
	return false
}

// received returns the attempts that the runner has received for the request.
func (r *runner) received(id string) []attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []attempt
	for _, a := range r.attempts {
		if a.id == id {
			found = append(found, a)
		}
	}
	return found
}

// setReset sets resetUnder.
func (r *runner) setReset(resetUnder func(a attempt) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetUnder = resetUnder
}
