package app_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mastchute/internal/app"
	"mastchute/internal/cli"
	"mastchute/internal/emulator"
	"mastchute/internal/eventloop"
)

func TestMain(m *testing.M) {
	if os.Getenv("MASTCHUTE_TEST_CHILD") == "1" {
		os.Exit(cli.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// program is mastchute in a process of its own.
type program struct {
	t             *testing.T
	cmd           *exec.Cmd
	listen, admin string
	mu            sync.Mutex
	lines         []string
	more          chan struct{}
}

func start(t *testing.T, args ...string) *program {
	t.Helper()
	p := &program{t: t, cmd: exec.Command(os.Args[0], args...), more: make(chan struct{}, 1)}
	p.cmd.Env = append(os.Environ(), "MASTCHUTE_TEST_CHILD=1")
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill(); p.cmd.Wait() })
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			p.mu.Lock()
			p.lines = append(p.lines, s.Text())
			p.mu.Unlock()
			select {
			case p.more <- struct{}{}:
			default:
			}
		}
	}()
	return p
}

// says waits for a line that holds a text, after those waited for before.
func (p *program) says(text string) string {
	p.t.Helper()
	return p.line(text, false)
}

// line waits for a line that holds a text, and takes it off; those before it stay where keep is set.
func (p *program) line(text string, keep bool) string {
	p.t.Helper()
	end := time.After(10 * time.Second)
	for {
		p.mu.Lock()
		for i, l := range p.lines {
			if strings.Contains(l, text) {
				if rest := p.lines[i+1:]; keep {
					p.lines = append(p.lines[:i:i], rest...)
				} else {
					p.lines = rest
				}
				p.mu.Unlock()
				return l
			}
		}
		p.mu.Unlock()
		select {
		case <-p.more:
		case <-end:
			p.t.Fatalf("it never said %q", text)
		}
	}
}

func (p *program) code() int {
	p.t.Helper()
	done := make(chan error, 1)
	go func() { done <- p.cmd.Wait() }()
	select {
	case err := <-done:
		var e *exec.ExitError
		if errors.As(err, &e) {
			return e.ExitCode()
		}
		return 0
	case <-time.After(20 * time.Second):
		p.t.Fatal("it does not end")
		return -1
	}
}

const settings = `listen: 127.0.0.1:0
admin: 127.0.0.1:0
log: {format: json, level: info}
stop_grace: 5s
groups: [{name: read, effect: retriable, slo: 1s, timeout: 5s}, {name: once, effect: non-retriable, slo: 1s, timeout: 5s}]
models: [{name: "species-*", group: read}, {name: "accession-*", group: once}]
`

func serve(t *testing.T, more string) (*program, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "d.yaml")
	write(t, file, settings+more)
	p := start(t, "serve", file)
	var a struct{ Listen, Admin string }
	// the workers may be listed before it says that it serves: two goroutines log
	if err := json.Unmarshal([]byte(p.line(`"message":"serving"`, true)), &a); err != nil {
		t.Fatal(err)
	}
	p.listen, p.admin = a.Listen, a.Admin
	return p, file
}

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

// fleet runs stand-ins in this process.
func fleet(t *testing.T, n int) *emulator.Server {
	t.Helper()
	l, err := eventloop.New(0)
	if err != nil {
		t.Fatal(err)
	}
	free := netip.MustParseAddrPort("127.0.0.1:0")
	var at []netip.AddrPort
	for range n {
		at = append(at, free)
	}
	s, err := emulator.NewServer(l, app.DemoSpec(n, app.DemoModels), at, free, nil, false)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	t.Cleanup(func() { l.Stop(); <-done })
	return s
}

func (p *program) infer(model string) (int, string) {
	p.t.Helper()
	resp, err := http.Post("http://"+p.listen+"/v2/models/"+model+"/infer", "application/json", strings.NewReader("{}"))
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

func (p *program) states() string {
	p.t.Helper()
	resp, err := http.Get("http://" + p.admin + "/status")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	var s struct {
		Workers []struct{ Name, State string }
	}
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		p.t.Fatal(err)
	}
	var out []string
	for _, w := range s.Workers {
		out = append(out, w.Name+" "+w.State)
	}
	return strings.Join(out, ", ")
}

func worker(name string, s *emulator.Server, i int) string {
	return fmt.Sprintf("  - {name: %s, address: %q}\n", name, s.Addr(i))
}

func TestWatchedListOfWorkers(t *testing.T) {
	s := fleet(t, 2)
	list := filepath.Join(t.TempDir(), "workers.yaml")
	write(t, list, "workers:\n"+worker("w1", s, 0))
	p, _ := serve(t, "roster: {file: "+list+", every: 50ms}\n")
	p.says(`"worker":"w1"`)
	write(t, list, "workers:\n"+worker("w1", s, 0)+worker("w2", s, 1))
	p.says(`"worker":"w2"`)
	if code, body := p.infer("species-fern"); code != 200 {
		t.Errorf("%d %s", code, body)
	}
	write(t, list, "workers:\n  - {name: w1, adress: x}\n") // a bad list leaves the old one in force
	if l := p.says("list of workers not read"); !strings.Contains(l, "workers.yaml:2:16") {
		t.Errorf("%s", l)
	}
	if got := p.states(); got != "w1 ready, w2 ready" {
		t.Errorf("%s", got)
	}
	write(t, list, "workers:\n"+worker("w2", s, 1))
	p.says(`"state":"gone"`)
	if got := p.states(); got != "w1 gone, w2 ready" {
		t.Errorf("%s", got)
	}
	resp, err := http.Post("http://"+p.admin+"/workers", "application/json", strings.NewReader(`{"name":"w2","state":"draining"}`))
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(err, resp)
	}
	if got := p.states(); got != "w1 gone, w2 draining" {
		t.Errorf("%s", got)
	}
	resp, err = http.Post("http://"+p.admin+"/workers", "application/json", strings.NewReader(`{"name":"w2","state":"gone"}`))
	if err != nil {
		t.Fatal(err)
	}
	if b, _ := io.ReadAll(resp.Body); !strings.Contains(string(b), `"state":"gone"`) {
		t.Errorf("%s", b)
	}
	if resp, _ = http.Get("http://" + p.admin + "/v2/health/ready"); resp.StatusCode != 503 {
		t.Errorf("ready without a ready worker: %d", resp.StatusCode)
	}
	if resp, _ = http.Post("http://"+p.admin+"/workers", "application/json", strings.NewReader(`{"name":"w9","state":"ready"}`)); resp.StatusCode != 409 {
		t.Errorf("an unknown worker without an address: %d", resp.StatusCode)
	}
}

func TestReloadOnHangup(t *testing.T) {
	s := fleet(t, 1)
	p, file := serve(t, "workers:\n"+worker("w1", s, 0))
	p.says(`"worker":"w1"`)
	if code, _ := p.infer("label-print"); code != 404 {
		t.Errorf("a model not in the catalogue: %d", code)
	}
	write(t, file, settings+"rules: {drain_grace: 5}\n")
	p.cmd.Process.Signal(syscall.SIGHUP)
	if l := p.says("settings not reloaded"); !strings.Contains(l, "d.yaml:7:22") {
		t.Errorf("%s", l)
	}
	write(t, file, strings.Replace(settings, "species-*", "*", 1)+"rules: {drain_grace: 5s}\nworkers:\n"+worker("w1", s, 0))
	p.cmd.Process.Signal(syscall.SIGHUP)
	if l := p.says("settings reloaded"); !strings.Contains(l, `"need_restart":["rules"]`) {
		t.Errorf("%s", l)
	}
	if code, _ := p.infer("label-print"); code != 200 {
		t.Errorf("a model new in the catalogue: %d", code)
	}
}

func TestExitCodes(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	gone := fmt.Sprintf("workers:\n  - {name: w1, address: %q}\n", silent.Addr())

	p, _ := serve(t, gone)
	p.cmd.Process.Signal(syscall.SIGTERM)
	if c := p.code(); c != app.ExitOK {
		t.Errorf("a clean stop ends with %d", c)
	}

	p, _ = serve(t, gone)
	conn, err := net.Dial("tcp", p.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for i := 0; i < 500 && !strings.Contains(get(t, p.admin, "/status"), `"told":true`); i++ { // its hello has to time out first
		time.Sleep(10 * time.Millisecond)
	}
	other, err := net.Dial("tcp", p.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	fmt.Fprint(conn, "POST /v2/models/species-fern/infer HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
	fmt.Fprint(other, "POST /v2/models/accession-1/infer HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
	for i := 0; i < 500 && !strings.Contains(get(t, p.admin, "/status"), `"in_hand":2`); i++ {
		time.Sleep(5 * time.Millisecond)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.says("stopping")
	p.cmd.Process.Signal(syscall.SIGTERM)
	for c, want := range map[net.Conn]string{conn: "shed", other: "failed"} { // retriable, and what may have run
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.Header.Get("Mastchute-Answer") != want {
			t.Errorf("in hand at a second stop: %v %v, want %s", resp, err, want)
		}
	}
	if c := p.code(); c != app.ExitStopped {
		t.Errorf("a stop with something in hand ends with %d", c)
	}

	file := filepath.Join(t.TempDir(), "bad.yaml")
	write(t, file, "listen: here\n")
	for _, args := range [][]string{{"check", file}, {"serve", file}, {"no-such-command"}, {"serve", "no-such-file"}, {"lab", "day", file}} {
		p := start(t, args...)
		if c := p.code(); c != app.ExitError {
			t.Errorf("%v ends with %d", args, c)
		}
	}
	for _, args := range [][]string{{"version"}, {"--help"}, {"demo", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--seconds", "0.2"}} {
		if c := start(t, args...).code(); c != app.ExitOK {
			t.Errorf("%v ends with %d", args, c)
		}
	}
}

func get(t *testing.T, addr, path string) string {
	t.Helper()
	resp, err := http.Get("http://" + addr + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

func TestDemoPrintsALineThatWorks(t *testing.T) {
	p := start(t, "demo", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--seconds", "30")
	line := strings.TrimSpace(p.says("curl -i -d '{}' http://"))
	url := line[strings.Index(line, "http://"):]
	resp, err := http.Post(url, "application/json", strings.NewReader("{}"))
	if err != nil || resp.StatusCode != 200 || resp.Header.Get("Mastchute-Answer") != "returned" {
		t.Errorf("%s: %v %v", line, resp, err)
	}
	p.cmd.Process.Signal(os.Interrupt)
	if c := p.code(); c != 0 {
		t.Errorf("exit %d", c)
	}
}

func TestMetricsAndLogs(t *testing.T) {
	s := fleet(t, 1)
	p, _ := serve(t, "workers:\n"+worker("w1", s, 0))
	p.says(`"worker":"w1"`)
	p.infer("species-fern")
	text := get(t, p.admin, "/metrics")
	for _, line := range []string{`mastchute_taken_total{group="read"} 1`, `mastchute_answers_total{answer="returned",group="read"} 1`,
		`mastchute_forwards_total{worker="w1"} 1`, `mastchute_returned_seconds_count{group="read"} 1`} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %s", line)
		}
	}
}

// A reader of the log that goes away ends nothing: requests are served, and a stop is clean.
func TestClosedLogEndsNothing(t *testing.T) {
	s := fleet(t, 1)
	file := filepath.Join(t.TempDir(), "d.yaml")
	write(t, file, settings+"workers:\n"+worker("w1", s, 0))
	cmd := exec.Command(os.Args[0], "serve", file)
	cmd.Env = append(os.Environ(), "MASTCHUTE_TEST_CHILD=1")
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &program{t: t, cmd: cmd}
	t.Cleanup(func() { cmd.Process.Kill() })
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if strings.Contains(lines.Text(), `"message":"serving"`) {
			var a struct{ Listen string }
			if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
				t.Fatal(err)
			}
			p.listen = a.Listen
			break
		}
	}
	out.Close()
	for range 3 {
		cmd.Process.Signal(syscall.SIGHUP) // each is logged
		time.Sleep(30 * time.Millisecond)
	}
	if code, _ := p.infer("species-fern"); code != 200 {
		t.Errorf("answered %d", code)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if c := p.code(); c != 0 {
		t.Errorf("exit %d", c)
	}
}
