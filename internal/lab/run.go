package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

// Options say how a day is played.
type Options struct {
	Self []string  // command line of the program, for the processes of the day
	Env  []string  // added to their environment
	Dir  string    // for settings, logs and records; empty: a new one, removed at the end
	Say  io.Writer // progress; may be nil
}

// Announce is the line a stand-in process prints once it listens.
type Announce struct {
	Workers []WorkerAt `json:"workers"`
	Control string     `json:"control"`
}

// WorkerAt is where a stand-in worker listens.
type WorkerAt struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// run is a day being played.
type run struct {
	day   *Day
	opt   Options
	ctx   context.Context
	fleet *proc
	ann   Announce
	disp  []*dispatcher
	begin time.Time
	mu    sync.Mutex
	words []Word
	downs []Down
	says  map[string]string // states said of workers now
	wait  sync.WaitGroup
	errs  []error
}

// Play plays a day and returns what was seen. It ends early when ctx does; what was seen by then is returned too.
func Play(ctx context.Context, day *Day, opt Options) (*Evidence, *Report, error) {
	if opt.Dir == "" {
		dir, err := os.MkdirTemp("", "mastchute-day-")
		if err != nil {
			return nil, nil, err
		}
		defer os.RemoveAll(dir)
		opt.Dir = dir
	}
	if opt.Say == nil {
		opt.Say = io.Discard
	}
	r := &run{day: day, opt: opt, ctx: ctx, says: map[string]string{}}
	defer r.end()
	if err := r.up(); err != nil {
		return nil, nil, err
	}
	fmt.Fprintf(opt.Say, "%s: %d dispatchers, %d workers, %g inferences a second for %gs\n", day.Name, day.Dispatchers,
		day.Fleet.Workers, day.Clients.Rate, day.Seconds.Seconds)
	c := &crowd{day: day}
	for _, d := range r.disp {
		c.gateways = append(c.gateways, d.gateway)
	}
	r.begin = time.Now()
	r.schedule()
	c.load(ctx, r.begin)
	r.wait.Wait()
	guards := r.guards()
	e := &Evidence{Settings: &day.Settings, Zones: map[string]string{}, Cells: map[string]string{}, Words: r.words, Downs: r.downs}
	rep := &Report{Guards: guards, Clock: "sockets", Seed: day.Seed, Partial: ctx.Err() != nil}
	for _, d := range r.disp {
		rep.Exits = append(rep.Exits, d.proc.stop(20*time.Second))
	}
	r.fleet.stop(5 * time.Second)
	for _, t := range c.tries {
		e.Tries = append(e.Tries, *t)
	}
	for _, w := range day.Spec().Workers {
		e.Zones[w.Name], e.Cells[w.Name] = w.Zone, w.Cell
	}
	sort.SliceStable(e.Words, func(i, j int) bool { return e.Words[i].Heard < e.Words[j].Heard })
	var err error
	if e.Records, err = readRecords(filepath.Join(opt.Dir, "records.jsonl")); err != nil {
		return nil, nil, err
	}
	rep.fill(day, e)
	return e, rep, errors.Join(r.errs...)
}

func readRecords(file string) ([]emulator.Record, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []emulator.Record
	d := json.NewDecoder(bufio.NewReaderSize(f, 1<<20))
	for {
		var r emulator.Record
		if err := d.Decode(&r); err == io.EOF {
			return out, nil
		} else if err != nil {
			return out, fmt.Errorf("record %d: %w", len(out)+1, err)
		}
		out = append(out, r)
	}
}

func (r *run) path(name string) string { return filepath.Join(r.opt.Dir, name) }

// up starts the stand-ins and the dispatchers, and waits until they serve.
func (r *run) up() error {
	spec, err := json.Marshal(r.day.Spec())
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.path("fleet.json"), spec, 0o600); err != nil {
		return err
	}
	pr, pw := io.Pipe()
	args := []string{"standin", "--spec", r.path("fleet.json"), "--records", r.path("records.jsonl"), "--json"}
	if r.day.Fleet.Cold {
		args = append(args, "--cold")
	}
	if r.fleet, err = r.opt.start(pw, os.Stderr, args...); err != nil {
		return err
	}
	first := make(chan error, 1)
	go func() {
		line, err := bufio.NewReader(pr).ReadBytes('\n')
		if err == nil {
			err = json.Unmarshal(line, &r.ann)
		}
		first <- err
		io.Copy(io.Discard, pr)
	}()
	select {
	case err = <-first:
	case <-r.fleet.done:
		err = fmt.Errorf("the stand-ins ended with exit code %d", r.fleet.code)
	case <-time.After(10 * time.Second):
		err = errors.New("the stand-ins did not come up")
	}
	if err != nil {
		return err
	}
	for i := range r.day.Dispatchers {
		d := &dispatcher{gateway: &gateway{name: fmt.Sprintf("d%d", i)}, cfg: r.day.Settings}
		d.cfg.Name, d.cfg.Listen, d.cfg.Admin, d.cfg.Seed = d.name, "127.0.0.1:0", "127.0.0.1:0", r.day.Seed*1000+uint64(i)+1
		d.cfg.Log.Format = "json"
		for j, w := range r.ann.Workers {
			ws := r.day.Spec().Workers[j]
			d.cfg.Workers = append(d.cfg.Workers, config.Worker{Name: w.Name, Address: w.Address, Zone: ws.Zone, Cell: ws.Cell, Weight: 1})
		}
		d.file = r.path(d.name + ".yaml")
		r.disp = append(r.disp, d) // so that it is ended even if it does not come up
		if err := r.startDispatcher(d); err != nil {
			return err
		}
	}
	return nil
}

// schedule plays troubles, kills and drains at their times.
func (r *run) schedule() {
	at := func(seconds float64, f func()) {
		r.wait.Add(1)
		time.AfterFunc(time.Until(r.begin.Add(time.Duration(seconds*float64(time.Second)))), func() {
			defer r.wait.Done()
			if r.ctx.Err() == nil {
				f()
			}
		})
	}
	for _, t := range r.day.Troubles {
		at(t.At.Seconds, func() {
			body, _ := json.Marshal(emulator.Fault{Kind: t.Kind, Worker: t.Worker, Share: t.Share, Factor: t.Factor, Span: t.For.Seconds, What: t.What})
			r.say("trouble %s at %s", t.Kind, t.Worker)
			if err := post("http://"+r.ann.Control+"/fault", body); err != nil {
				r.fail(fmt.Errorf("trouble %s: %w", t.Kind, err))
			}
		})
	}
	for _, k := range r.day.Kills {
		at(k.At.Seconds, func() { r.kill(r.disp[k.Dispatcher], k.Down.Seconds) })
	}
	for _, w := range r.day.words() {
		at(w.at, func() { r.tell(w.worker, w.state) })
	}
}

func (r *run) say(f string, a ...any) {
	fmt.Fprintf(r.opt.Say, "%7.2f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(f, a...))
}

func (r *run) fail(err error) {
	r.mu.Lock()
	r.errs = append(r.errs, err)
	r.mu.Unlock()
}

// tell tells all dispatchers that run of a worker's state.
func (r *run) tell(worker, state string) {
	r.say("%s is %s", worker, state)
	r.mu.Lock()
	r.says[worker] = state
	r.mu.Unlock()
	for _, d := range r.disp {
		r.tellOne(d, worker, state)
	}
}

func (r *run) tellOne(d *dispatcher, worker, state string) {
	body, _ := json.Marshal(map[string]string{"name": worker, "state": state})
	if err := post("http://"+d.admin+"/workers", body); err != nil {
		return // it is down, and is told when it is back
	}
	r.mu.Lock()
	r.words = append(r.words, Word{d.name, worker, state, unix(time.Now())})
	r.mu.Unlock()
}

func post(url string, body []byte) error {
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// kill ends a dispatcher outright and starts it again.
func (r *run) kill(d *dispatcher, down float64) {
	r.say("dispatcher %s is killed", d.name)
	from := unix(time.Now())
	d.proc.cmd.Process.Kill()
	<-d.proc.done
	time.Sleep(time.Duration(down * float64(time.Second)))
	err := r.startDispatcher(d)
	r.mu.Lock()
	r.downs = append(r.downs, Down{d.name, from, unix(time.Now())})
	says := map[string]string{}
	for w, s := range r.says {
		says[w] = s
	}
	r.mu.Unlock()
	if err != nil {
		r.fail(err)
		return
	}
	r.say("dispatcher %s is back", d.name)
	for w, s := range says {
		if s != "ready" {
			r.tellOne(d, w, s)
		}
	}
}

// guards sums what the hosts' guards counted: each is a fault of the decisions or of the host.
func (r *run) guards() map[string]float64 {
	out := map[string]float64{}
	for _, d := range r.disp {
		resp, err := http.Get("http://" + d.admin + "/metrics")
		if err != nil {
			continue
		}
		s := bufio.NewScanner(resp.Body)
		for s.Scan() {
			if rest, ok := strings.CutPrefix(s.Text(), `mastchute_guards_total{guard="`); ok {
				name, v, _ := strings.Cut(rest, `"} `)
				var n float64
				fmt.Sscan(v, &n)
				out[name] += n
			}
		}
		resp.Body.Close()
	}
	return out
}

// end leaves no process behind.
func (r *run) end() {
	for _, d := range r.disp {
		if d.proc != nil {
			d.proc.cmd.Process.Kill()
			<-d.proc.done
		}
		if d.log != nil {
			d.log.Close()
		}
	}
	if r.fleet != nil {
		r.fleet.cmd.Process.Kill()
		<-r.fleet.done
	}
}
