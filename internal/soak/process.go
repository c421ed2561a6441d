package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls/faults"
)

const (
	termNew     = 0.3  // s after SIGTERM in which new connections come
	termOld     = 0.5  // s after SIGTERM in which requests come
	killAfter   = 0.7  // s beyond the longest deadline until SIGKILL
	longest     = 3.0  // s that a longer deadline counts as
	readySpan   = 10.0 // s within which a start is to be ready
	reloadSpan  = 4.0  // s within which a reload is to be in force
	memoryLimit = 48   // MB told

	coldShare      = 0.2 // of its capacity that a worker has at its start
	warmAfter      = 4.0 // s until it has all of it
	overloadFactor = 2.0 // of what it can do that pushes it over
	fallSpan       = 1.0 // s in which that counts
)

// span is a time.
type span struct{ from, to float64 }

// process is one dispatcher process and those that follow it under its name.
type process struct {
	s       *stage
	index   int
	address string
	path    string // of the configuration
	log     string
	held    int // descriptor that keeps the port
	logAt   int // address of the change log in the configuration

	mu      sync.Mutex
	cmd     *exec.Cmd
	waited  chan struct{}
	ready   bool
	termAt  float64 // of the running one; 0 for not
	exited  bool
	stops   []span
	kills   []float64
	terms   []float64
	reloads []reload
	busy    bool // a restart is on its way
}

// reload is a change of the configuration in service.
type reload struct {
	at      float64
	address string
}

func newProcess(s *stage, index int) (*process, error) {
	held, address, err := holdPort()
	if err != nil {
		return nil, err
	}
	p := &process{s: s, index: index, address: address, held: held}
	p.path = filepath.Join(s.dir, fmt.Sprintf("d%d.json", index))
	p.log = filepath.Join(s.dir, fmt.Sprintf("d%d.log", index))
	return p, nil
}

// holdPort takes a free port that only who asks for it by number gets: a bound socket that does not listen keeps it, so
// that neither another play nor a connection of this one takes it while no dispatcher listens there.
func holdPort() (fd int, address string, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, "", err
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at unix.Sockaddr
	if err == nil {
		at, err = unix.Getsockname(fd)
	}
	if err != nil {
		unix.Close(fd)
		return -1, "", err
	}
	return fd, net.JoinHostPort("127.0.0.1", strconv.Itoa(at.(*unix.SockaddrInet4).Port)), nil
}

// configuration is the file's text.
func (p *process) configuration() []byte {
	s := p.s.plan.Site
	us := func(v float64) int { return int(v * 1e6) }
	class := func(name Class, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "aim_us": us(s.Deadline / 3), "deadline_us": us(s.Deadline), "group": "all", "window_us": us(s.Window)}
	}
	settings := map[string]any{
		"request_classes": []any{class(ReadClass, "pure"), class(WriteClass, "token"), class(OnceClass, "side_effect")},
		"discovery":       "automatic", "peers_total": s.Dispatchers, "resolution_us": 2000,
		"family_info": map[string]any{"when_absent": "load", "may_order": true, "stays_loaded_us": 8000000, "order_limit_us": 2000000, "marks_cold": true},
		"load_report": map[string]any{"fields": []string{"inflight", "queue"}, "via": "answers"},
		"limits": map[string]any{"cancel": s.Cancel, "parallel_tries": s.Hedge, "probing": true, "retry_after": s.RetryAfter, "max_retry_after_us": 500000,
			"max_attempts": 4, "streams_per_conn": s.Streams, "conn_idle_us": us(s.ConnIdle), "connect_timeout_us": us(s.ConnectTimeout), "open_cap": 20000},
		"rules": map[string]any{"drain_grace_us": us(s.Grace), "cold_share": coldShare, "warm_after_us": us(warmAfter), "overload_factor": overloadFactor, "fall_us": us(fallSpan)},
	}
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", p.index), "listen": p.address, "seed": fmt.Sprintf("%016x", p.s.plan.Seed*1000+uint64(p.index)),
		"limits": map[string]any{"cores": 1, "memory_mb": memoryLimit, "sockets": s.Sockets}, "changelog": p.s.log.addrs[p.logAt],
		"known": json.RawMessage(p.s.log.known(0)), "settings": settings})
	if err != nil {
		panic(err) // plain maps of plain values
	}
	return text
}

// start starts a process, and notes when it can serve.
func (p *process) start() error {
	if err := os.WriteFile(p.path, p.configuration(), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.s.binary, "platform")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "LB_CONFIG="+p.path, "LB_NAME=n"+strconv.Itoa(p.index), "LB_LISTEN="+p.address)
	if spans := p.s.plan.spans(p.index); len(spans) > 0 {
		plan, err := json.Marshal(faults.Plan{Origin: p.s.origin, Seed: p.s.plan.Seed + uint64(p.index), Spans: spans})
		if err != nil {
			return err
		}
		cmd.Env = append(cmd.Env, "MASTCHUTE_FAULTS="+string(plan))
	}
	began := p.s.hist.Now()
	if err := cmd.Start(); err != nil {
		return err
	}
	waited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.waited, p.ready, p.termAt, p.exited = cmd, waited, false, 0, false
	p.mu.Unlock()
	go func() {
		cmd.Wait()
		p.mu.Lock()
		p.exited, p.ready = true, false
		told := p.termAt > 0 || len(p.kills) > 0 && p.kills[len(p.kills)-1] >= began
		p.mu.Unlock()
		close(waited)
		if !told {
			p.s.add(Find{Rule: "P11", What: fmt.Sprintf("dispatcher %d ended by itself: %s", p.index, cmd.ProcessState), At: p.s.hist.Now()})
		}
	}()
	go p.awaitReady(began, waited)
	return nil
}

func (p *process) awaitReady(began float64, waited chan struct{}) {
	for {
		if alive(p.address) {
			p.mu.Lock()
			p.ready = p.termAt == 0
			p.mu.Unlock()
			return
		}
		if p.s.hist.Now()-began > readySpan {
			p.s.add(Find{Rule: "P11", What: fmt.Sprintf("dispatcher %d not ready after %.0f s", p.index, readySpan), At: began})
			return
		}
		select {
		case <-waited:
			return
		case <-p.s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// takes tells whether clients make new connections, and send on open ones, now.
func (p *process) takes(now float64) (connect, send bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.termAt > 0 {
		return !p.exited && now < p.termAt+termNew, !p.exited && now < p.termAt+termOld
	}
	return p.ready, p.ready
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.exited {
		p.cmd.Process.Signal(sig)
	}
}

// killSpan is how long after SIGTERM the platform kills.
func (s *stage) killSpan() float64 { return min(s.plan.Site.Deadline, longest) + killAfter }

// claim marks a restart; only one at a time.
func (p *process) claim() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy || !p.ready {
		return false
	}
	p.busy = true
	return true
}

func (p *process) free() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

// terminate tells the process to stop, kills it at the platform's time, and returns whether it ended in time.
func (p *process) terminate() {
	p.mu.Lock()
	cmd, waited := p.cmd, p.waited
	now := p.s.hist.Now()
	p.termAt = now
	p.terms = append(p.terms, now)
	p.mu.Unlock()
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-waited:
		if code := cmd.ProcessState.ExitCode(); code != 0 {
			p.s.add(Find{Rule: "P11", What: fmt.Sprintf("dispatcher %d ended with %s after SIGTERM", p.index, cmd.ProcessState), At: now})
		}
	case <-time.After(time.Duration((p.s.killSpan() + p.stoppedSince(now)) * 1e9)):
		p.s.add(Find{Rule: "P11", What: fmt.Sprintf("dispatcher %d had to be killed %.2f s after SIGTERM", p.index, p.s.killSpan()), At: now})
		p.kill()
	}
}

// stoppedSince is how long the plan holds the process still from a time on.
func (p *process) stoppedSince(now float64) (sum float64) {
	for _, t := range p.s.plan.Troubles {
		if t.Kind == Standstill && t.Target == p.index && t.To > now && t.From < now+p.s.killSpan() {
			sum += t.To - max(t.From, now)
		}
	}
	return sum
}

func (p *process) kill() {
	p.mu.Lock()
	cmd, waited := p.cmd, p.waited
	p.kills = append(p.kills, p.s.hist.Now())
	p.ready = false
	p.mu.Unlock()
	cmd.Process.Kill()
	<-waited
}

// hold stops the process for the time of a trouble.
func (p *process) hold(t Trouble) {
	from := p.s.hist.Now()
	p.signal(syscall.SIGSTOP)
	time.Sleep(time.Duration((t.To - t.From) * 1e9))
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	p.stops = append(p.stops, span{from, p.s.hist.Now()})
	p.mu.Unlock()
}

// reload replaces the configuration, which is half written for a moment, under a burst of SIGHUP.
func (p *process) reload() {
	p.mu.Lock()
	p.logAt = 1 - p.logAt
	p.mu.Unlock()
	text := p.configuration()
	os.WriteFile(p.path, text[:len(text)/2], 0o600)
	for range 12 {
		p.signal(syscall.SIGHUP)
	}
	time.Sleep(30 * time.Millisecond)
	os.WriteFile(p.path, text, 0o600)
	p.mu.Lock()
	p.reloads = append(p.reloads, reload{p.s.hist.Now(), p.s.log.addrs[p.logAt]})
	p.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	p.signal(syscall.SIGHUP)
}

// descriptors counts the open descriptors.
func (p *process) descriptors() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(list)
}

// resident is the memory in use, in MB.
func (p *process) resident() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// squeeze lets the limit on descriptors fall to what is in use, for a while.
func (p *process) squeeze(t Trouble) {
	n := uint64(p.descriptors())
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	var old unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: 1 << 16}, &old) != nil {
		return
	}
	time.Sleep(time.Duration((t.To - t.From) * 1e9))
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &old, nil); err != nil && !errors.Is(err, unix.ESRCH) { // the process may have ended
		p.s.add(Find{Rule: "harness", What: fmt.Sprintf("dispatcher %d keeps a low limit on descriptors: %v", p.index, err), At: p.s.hist.Now()})
	}
}

// said returns the lines of the log that hold a text.
func (p *process) said(what string) (lines []string) {
	text, _ := os.ReadFile(p.log)
	for _, line := range bytes.Split(text, []byte("\n")) {
		if bytes.Contains(line, []byte(what)) {
			lines = append(lines, string(line))
		}
	}
	return lines
}
