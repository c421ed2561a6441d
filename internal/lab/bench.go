package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-yaml"

	"mastchute/internal/config"
	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
)

// BenchOptions say how to measure.
type BenchOptions struct {
	Self    []string
	Workers int           // echo workers
	Conns   int           // client connections
	Span    time.Duration // of each measurement
	Idle    int           // idle connections held open for the memory figure; 0 leaves it out
	Rounds  int           // measurements of each target, taken in turn; the median counts
	Dir     string
	Say     io.Writer
}

// BenchRow is one target's figures.
type BenchRow struct {
	Target     string  `json:"target"`
	PerSecond  float64 `json:"per_s"`         // answers a second, closed loop
	PerCPU     float64 `json:"per_cpu_s"`     // answers for each CPU second of the target
	P50, P99   float64 `json:"-"`             // s, open loop at half the gateway's rate
	P99ms      float64 `json:"p99_half_ms"`   // the same, ms
	AddedMs    float64 `json:"p99_added_ms"`  // beyond the echo workers asked directly, in this run
	IdleBytes  float64 `json:"idle_bytes"`    // resident memory for each idle connection
	CPUPercent float64 `json:"cpu_of_a_core"` // used in the closed loop
}

// Bench measures the gateway beside the baselines, in one run, each in a process of its own.
func Bench(o BenchOptions) ([]BenchRow, error) {
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "mastchute-bench-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		o.Dir = dir
	}
	opt := Options{Self: o.Self, Dir: o.Dir}
	var procs []*proc
	defer func() {
		for _, p := range procs {
			p.cmd.Process.Kill()
			<-p.done
		}
	}()
	up := func(args ...string) (string, int, error) {
		pr, pw := io.Pipe()
		p, err := opt.start(pw, pw, args...)
		if err != nil {
			return "", 0, err
		}
		procs = append(procs, p)
		line := make(chan string, 1)
		go func() {
			s := bufio.NewScanner(pr)
			for s.Scan() {
				var a struct{ Message, Listen string }
				if args[0] != "serve" {
					line <- s.Text()
					break
				} else if json.Unmarshal(s.Bytes(), &a) == nil && a.Message == "serving" {
					line <- a.Listen
					break
				}
			}
			io.Copy(io.Discard, pr)
		}()
		select {
		case l := <-line:
			return l, p.cmd.Process.Pid, nil
		case <-time.After(5 * time.Second):
			return "", 0, fmt.Errorf("%v did not come up", args)
		}
	}
	echo, _, err := up("lab", "echo", "--workers", strconv.Itoa(o.Workers))
	if err != nil {
		return nil, err
	}
	cfg := config.Default()
	cfg.Listen, cfg.Admin, cfg.Log.Format, cfg.Seed = "127.0.0.1:0", "off", "json", 1
	cfg.Groups = []config.Group{{Name: "read", Effect: "retriable", SLO: config.S(1), Timeout: config.S(5), Value: 1}}
	cfg.Models = []config.Model{{Name: "m-*", Group: "read", Memory: config.B(1e8), Lanes: 8, Load: config.S(0.5)}}
	for i, a := range strings.Fields(echo) {
		cfg.Workers = append(cfg.Workers, config.Worker{Name: fmt.Sprintf("w%d", i+1), Address: a})
	}
	text, err := yaml.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(o.Dir, "bench.yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	rows := []BenchRow{{Target: "mastchute"}, {Target: "relay (a)"}, {Target: "ReverseProxy (b)"}, {Target: "echo, no gateway"}}
	addrs, pids := make([]netip.AddrPort, len(rows)), make([]int, len(rows))
	for i, args := range [][]string{{"serve", file}, {"lab", "relay", "--workers", echo}, {"lab", "proxy", "--workers", echo}} {
		a, pid, err := up(args...)
		if err != nil {
			return nil, err
		}
		if addrs[i], err = netip.ParseAddrPort(a); err != nil {
			return nil, err
		}
		pids[i] = pid
	}
	addrs[3] = netip.MustParseAddrPort(strings.Fields(echo)[0])
	pids[3] = procs[0].cmd.Process.Pid
	if o.Idle > 0 { // before any load, so that no memory is there to be used again
		for i := range 3 {
			if rows[i].IdleBytes, err = idleBytes(addrs[i], pids[i], o.Idle); err != nil {
				return nil, err
			}
		}
	}
	closed := make([][][3]float64, len(rows))
	for range max(1, o.Rounds) {
		for i := range rows {
			if _, err := drive(addrs[i], o.Conns, 0, o.Span/4); err != nil { // warm up
				return nil, err
			}
			cpu := cpuSeconds(pids[i])
			began := time.Now()
			h, err := drive(addrs[i], o.Conns, 0, o.Span)
			if err != nil {
				return nil, err
			}
			took := time.Since(began).Seconds()
			used := cpuSeconds(pids[i]) - cpu
			n := float64(h.TotalCount())
			closed[i] = append(closed[i], [3]float64{n / took, n / used, 100 * used / took})
			fmt.Fprintf(o.Say, "%-18s %8.0f a second, %8.0f a CPU second\n", rows[i].Target, n/took, n/used)
		}
	}
	for i := range rows {
		rows[i].PerSecond, rows[i].PerCPU, rows[i].CPUPercent = median(closed[i], 0), median(closed[i], 1), median(closed[i], 2)
	}
	half := rows[0].PerSecond / 2
	lat := make([][][3]float64, len(rows))
	for range max(1, o.Rounds) {
		for i := range rows {
			h, err := drive(addrs[i], o.Conns, half, o.Span)
			if err != nil {
				return nil, err
			}
			lat[i] = append(lat[i], [3]float64{float64(h.ValueAtPercentile(50)) / 1e9, float64(h.ValueAtPercentile(99)) / 1e9})
		}
	}
	for i := range rows {
		rows[i].P50, rows[i].P99 = median(lat[i], 0), median(lat[i], 1)
		rows[i].P99ms = rows[i].P99 * 1e3
	}
	for i := range rows {
		rows[i].AddedMs = (rows[i].P99 - rows[3].P99) * 1e3
	}
	return rows, nil
}

func median(v [][3]float64, k int) float64 {
	var x []float64
	for _, r := range v {
		x = append(x, r[k])
	}
	for i := range x {
		for j := i; j > 0 && x[j] < x[j-1]; j-- {
			x[j], x[j-1] = x[j-1], x[j]
		}
	}
	return x[len(x)/2]
}

// cpuSeconds is the CPU time that a process of ours has used, user and system.
func cpuSeconds(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	u, _ := strconv.ParseFloat(f[11], 64)
	s, _ := strconv.ParseFloat(f[12], 64)
	return (u + s) / 100
}

// residentBytes is the resident memory of a process of ours.
func residentBytes(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	v, _ := strconv.ParseFloat(strings.Fields(string(b))[1], 64)
	return v * float64(os.Getpagesize())
}

// idleBytes opens connections that send nothing, from several loopback addresses, and tells what each costs.
func idleBytes(to netip.AddrPort, pid, n int) (float64, error) {
	before := residentBytes(pid)
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for i := range n {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i%8))}, Timeout: 2 * time.Second}
		c, err := d.Dial("tcp", to.String())
		if err != nil {
			return 0, fmt.Errorf("idle connection %d: %w", i, err)
		}
		open = append(open, c)
	}
	time.Sleep(300 * time.Millisecond) // for the last of them to be accepted
	return (residentBytes(pid) - before) / float64(n), nil
}

// drive asks a target for a span, from one loop. rate 0: closed loop, each connection asks anew when answered. Else
// arrivals are Poisson at that rate, and latency counts from the intended time. Values are ns.
func drive(to netip.AddrPort, conns int, rate float64, span time.Duration) (*hdrhistogram.Histogram, error) {
	l, err := eventloop.New(0)
	if err != nil {
		return nil, err
	}
	d := &driver{l: l, pool: httpconn.NewPool(l, to, httpconn.PoolOptions{MaxConnections: conns, MaxIdle: conns, ConnectTimeout: 2}), rate: rate,
		end: span.Seconds(), rnd: rand.New(rand.NewPCG(1, 2)), hist: hdrhistogram.New(1000, 60_000_000_000, 3)}
	for i := range 16 {
		head := fmt.Sprintf("POST /v2/models/m-%d/infer HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", i, to, len(driveBody))
		d.heads = append(d.heads, []byte(head))
	}
	l.Defer(func() {
		if rate > 0 {
			d.timer.Fire = d.arrivals
			d.arrivals()
		} else {
			for range conns {
				d.ask(l.Clock())
			}
		}
		stop := &eventloop.Timer{Fire: l.Stop}
		l.Start(stop, span.Seconds()+0.2)
	})
	if err := l.Run(); err != nil {
		return nil, err
	}
	if d.bad > 0 {
		return nil, fmt.Errorf("%s: %d of %d answers were not 200: %v", to, d.bad, d.hist.TotalCount(), d.why)
	}
	if d.hist.TotalCount() == 0 {
		return nil, errors.New("nothing was answered")
	}
	return d.hist, nil
}

var driveBody = []byte(`{"inputs":[{"name":"sheet","shape":[1],"datatype":"BYTES","data":["0123456789abcdef"]}]}`)

type driver struct {
	l     *eventloop.Loop
	pool  *httpconn.Pool
	rate  float64
	end   float64
	next  float64
	rnd   *rand.Rand
	hist  *hdrhistogram.Histogram
	heads [][]byte
	timer eventloop.Timer
	n     int
	bad   int
	why   error
	free  []*asked
}

type asked struct {
	d    *driver
	call httpconn.Call
	at   float64
	code int
}

func (d *driver) ask(at float64) {
	var a *asked
	if n := len(d.free); n > 0 {
		a, d.free = d.free[n-1], d.free[:n-1]
	} else {
		a = &asked{d: d}
		a.call.Handler = a
	}
	a.at = at
	d.n++
	d.pool.Do(&a.call, d.heads[d.n%len(d.heads)], driveBody)
}

// arrivals asks for all whose time has come.
func (d *driver) arrivals() {
	if d.next == 0 {
		d.next = d.l.Clock()
	}
	for now := d.l.Clock(); d.next <= now; d.next += d.rnd.ExpFloat64() / d.rate {
		if d.next < d.end {
			d.ask(d.next)
		}
	}
	if d.next < d.end {
		d.l.Start(&d.timer, d.next-d.l.Now())
	}
}

func (a *asked) ResponseHead(h *httpcodec.Head) { a.code = h.Status }
func (a *asked) ResponseBody([]byte)            {}

func (a *asked) ResponseDone(err error) {
	d, now := a.d, a.d.l.Clock()
	if err != nil || a.code != 200 {
		d.bad++
		d.why = err
	}
	if now < d.end {
		d.hist.RecordValue(int64((now - a.at) * 1e9))
		if d.rate == 0 {
			d.free = append(d.free, a)
			d.ask(now)
			return
		}
	}
	d.free = append(d.free, a)
}
