package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls/faults"
)

const (
	clientsEach   = 3    // clients of each dispatcher
	quietSpan     = 2.2  // s after the last trouble until all is looked at
	lateTick      = 0.01 // s between looks at the harness's own lateness
	lateBucket    = 0.1  // s for which the worst of them is kept
	fewMore       = 30   // descriptors that may be open beyond those of before
	moreMemory    = 12.0 // MB beyond what was in use before, times two
	baselineAt    = 0.6  // s of the plan at which memory and descriptors are noted
	servedBackOf  = 20   // requests of the check at the end
	servedBackMin = 17   // of them to be served
)

// Options say how a run is played.
type Options struct {
	Binary string // mastchute
	Dir    string // for configurations and logs; empty takes a temporary one
	Keep   bool   // keeps the folder where something was found
}

// Result is what a run showed.
type Result struct {
	Plan     Plan
	Finds    []Find
	Requests int
	Attempts int
	Endings  map[Ending]int
	Coverage map[string]int
	Late     float64 // the worst lateness of the harness itself, s
	Partial  bool
	Dir      string
}

// stage is a run at work.
type stage struct {
	plan      Plan
	binary    string
	dir       string
	origin    int64
	hist      *History
	log       *changeLog
	workers   []*worker
	processes []*process
	stop      chan struct{}

	mu    sync.Mutex
	finds []Find
	late  map[int]float64
}

func (s *stage) add(f Find) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finds = append(s.finds, f)
}

// find returns the trouble of a kind that goes on now at a target.
func (s *stage) find(k Kind, target int) *Trouble {
	now := s.hist.Now()
	for i := range s.plan.Troubles {
		t := &s.plan.Troubles[i]
		if t.Kind == k && (t.Target == target || k.everywhere()) && now >= t.From && now < t.To {
			return t
		}
	}
	return nil
}

func (s *stage) on(k Kind, target int) bool { return s.find(k, target) != nil }

// watchLateness notes how late the harness itself is.
func (s *stage) watchLateness(stop <-chan struct{}) {
	for {
		before := s.hist.Now()
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(lateTick * 1e9)):
		}
		now := s.hist.Now()
		s.mu.Lock()
		for b := int(before / lateBucket); b <= int(now/lateBucket); b++ {
			s.late[b] = max(s.late[b], now-before-lateTick)
		}
		s.mu.Unlock()
	}
}

// lateness is the worst of the harness in a time.
func (s *stage) lateness(from, to float64) (worst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for b := int(from / lateBucket); b <= int(to/lateBucket); b++ {
		worst = max(worst, s.late[b])
	}
	return worst
}

// Run plays a plan.
func Run(ctx context.Context, p Plan, o Options) (*Result, error) {
	dir := o.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "mastchute-soak-"); err != nil {
			return nil, err
		}
	}
	s := &stage{plan: p, binary: o.Binary, dir: dir, stop: make(chan struct{}), late: map[int]float64{}, hist: NewHistory()}
	s.origin = faults.MonotonicNow()
	defer s.end()
	if err := s.begin(); err != nil {
		return nil, err
	}
	r := &Result{Plan: p, Dir: dir, Endings: map[Ending]int{}}
	r.Partial = !s.play(ctx)
	s.finds = append(s.finds, s.judge()...)
	s.tally(r)
	if len(r.Finds) == 0 && o.Dir == "" || !o.Keep {
		os.RemoveAll(dir)
	}
	return r, nil
}

func (s *stage) begin() (err error) {
	if s.log, err = newChangeLog(s); err != nil {
		return err
	}
	var members []string
	for i := range s.plan.Site.Workers {
		w, err := newWorker(s, i)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
		members = append(members, w.member("active"))
	}
	s.log.add(true, members...)
	for i := range s.plan.Site.Dispatchers {
		p, err := newProcess(s, i)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
	}
	for _, p := range s.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// end ends all processes, by id, and the stand-ins.
func (s *stage) end() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	for _, p := range s.processes {
		p.mu.Lock()
		running := p.cmd != nil && !p.exited
		p.mu.Unlock()
		if running {
			p.kill()
		}
		unix.Close(p.held)
	}
	for _, w := range s.workers {
		w.close()
	}
	if s.log != nil {
		s.log.close()
	}
}

// play lets the troubles come and returns whether all was played.
func (s *stage) play(ctx context.Context) bool {
	late := make(chan struct{})
	defer close(late)
	go s.watchLateness(late)
	var clients, troubles sync.WaitGroup
	for _, p := range s.processes {
		for k := range clientsEach {
			c := &client{s: s, p: p, rnd: rand.New(rand.NewPCG(s.plan.Seed, uint64(p.index*100+k+1)))}
			clients.Add(1)
			go func() { defer clients.Done(); c.run(s.stop) }()
		}
	}
	if !s.sleepUntil(ctx, baselineAt) {
		close(s.stop)
		clients.Wait()
		return false
	}
	before := make([]load, len(s.processes))
	for i, p := range s.processes {
		before[i] = load{p.descriptors(), p.resident()}
	}
	for _, t := range s.plan.Troubles {
		troubles.Add(1)
		go func() {
			defer troubles.Done()
			if s.sleepUntil(ctx, t.From) {
				s.trouble(t)
			}
		}()
	}
	troubles.Wait()
	whole := s.sleepUntil(ctx, max(s.plan.Span, s.hist.Now())+quietSpan) // a stop may have taken longer than the plan
	if whole {
		s.back()
	}
	close(s.stop)
	clients.Wait()
	if whole {
		s.settled(before)
		s.stopAll()
	}
	return whole
}

func (s *stage) sleepUntil(ctx context.Context, at float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration((at - s.hist.Now()) * 1e9)):
		return true
	}
}

// trouble plays one trouble to its end. Those of stand-ins and kernels are looked up by time where they act.
func (s *stage) trouble(t Trouble) {
	switch t.Kind {
	case Terminate, Kill:
		p := s.processes[t.Target]
		if !p.claim() {
			return
		}
		defer p.free()
		if t.Kind == Kill {
			p.kill()
		} else {
			p.terminate()
		}
		if err := p.start(); err != nil {
			s.add(Find{Rule: "harness", What: err.Error(), At: s.hist.Now()})
		}
	case Reload:
		if p := s.processes[t.Target]; p.claim() {
			p.reload()
			p.free()
		}
	case Standstill:
		s.processes[t.Target].hold(t)
	case Descriptors:
		s.processes[t.Target].squeeze(t)
	case ClientsFlood:
		s.flood(t, s.processes[t.Target])
	case WorkerResets:
		s.workers[t.Target].resetSome(0.5)
	case WorkerLeaves:
		s.leave(s.workers[t.Target])
	}
}

// leave has a worker drain, go, and come back cold under a new id at its address.
func (s *stage) leave(w *worker) {
	w.mu.Lock()
	if w.draining {
		w.mu.Unlock()
		return
	}
	w.draining = true
	id := w.id
	w.mu.Unlock()
	s.hist.update(func() { s.hist.Told[id] = s.hist.Now() })
	s.log.add(false, w.member("leaving"))
	time.Sleep(time.Duration((s.plan.Site.Grace + 0.3) * 1e9))
	was, is := w.replace()
	s.hist.update(func() { s.hist.Started[is] = s.hist.Now() })
	s.log.add(false, member(was, w.address, "left", 0), w.member("active"))
}

// load is what a process uses.
type load struct {
	descriptors int
	resident    float64
}

// back checks that every dispatcher serves again after the last trouble.
func (s *stage) back() {
	for _, p := range s.processes {
		p.mu.Lock()
		ready := p.ready
		p.mu.Unlock()
		if !ready {
			s.add(Find{Rule: "P11", What: fmt.Sprintf("dispatcher %d does not serve %.1f s after the last trouble", p.index, quietSpan), At: s.hist.Now()})
		}
	}
	var lately [256]struct{ n, served int }
	now := s.hist.Now()
	cold := false // workers that still warm up serve less, and rightly so
	s.hist.update(func() {
		for _, at := range s.hist.Started {
			cold = cold || now-at < warmAfter+1
		}
		for _, r := range s.hist.Requests {
			if r.Sent > now-1 && r.Ended > 0 && r.Left == 0 {
				lately[r.Dispatcher%256].n++
				if r.Ending == Served {
					lately[r.Dispatcher%256].served++
				}
			}
		}
	})
	for i, l := range lately {
		if !cold && l.n >= servedBackOf && l.served*servedBackOf < l.n*servedBackMin/2 {
			s.add(Find{Rule: "P1", What: fmt.Sprintf("dispatcher %d serves %d of %d a second long after the last trouble", i, l.served, l.n), At: now})
		}
	}
}

// settled compares what processes use with what they used before.
func (s *stage) settled(before []load) {
	time.Sleep(300 * time.Millisecond)
	for i, p := range s.processes {
		if n := p.descriptors(); n > before[i].descriptors+fewMore {
			s.add(Find{Rule: "P12", What: fmt.Sprintf("dispatcher %d has %d descriptors, %d before the troubles", i, n, before[i].descriptors), At: s.hist.Now()})
		}
		if mb := p.resident(); mb > 2*before[i].resident+moreMemory {
			s.add(Find{Rule: "P12", What: fmt.Sprintf("dispatcher %d uses %.0f MB, %.0f before the troubles", i, mb, before[i].resident), At: s.hist.Now()})
		}
		s.logged(p)
	}
}

// logged looks through what a dispatcher said.
func (s *stage) logged(p *process) {
	for _, what := range []string{"rule violation barred", "panic", "fatal error", "decision code failed"} {
		if lines := p.said(what); len(lines) > 0 {
			s.add(Find{Rule: "log", What: fmt.Sprintf("dispatcher %d: %d x %s: %.300s", p.index, len(lines), what, lines[0])})
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.reloads); n > 0 && s.hist.Now()-p.reloads[n-1].at > reloadSpan && len(p.kills)+len(p.terms) == 0 {
		if last := p.reloads[n-1]; len(p.said(`"change_log":"`+last.address+`"`)) == 0 {
			s.add(Find{Rule: "P11", What: fmt.Sprintf("dispatcher %d never took the configuration of its last reload", p.index), At: last.at})
		}
	}
}

// stopAll ends the dispatchers as planned restarts do.
func (s *stage) stopAll() {
	var all sync.WaitGroup
	for _, p := range s.processes {
		p.mu.Lock()
		running := p.cmd != nil && !p.exited
		p.mu.Unlock()
		if running {
			all.Add(1)
			go func() { defer all.Done(); p.terminate() }()
		}
	}
	all.Wait()
}

func (s *stage) tally(r *Result) {
	s.mu.Lock()
	r.Finds = s.finds
	for _, l := range s.late {
		r.Late = max(r.Late, l)
	}
	s.mu.Unlock()
	sort.SliceStable(r.Finds, func(i, k int) bool { return r.Finds[i].At < r.Finds[k].At })
	s.hist.mu.Lock()
	defer s.hist.mu.Unlock()
	r.Requests = len(s.hist.Requests)
	for _, q := range s.hist.Requests {
		r.Endings[q.Ending]++
	}
	for _, list := range s.hist.Attempts {
		r.Attempts += len(list)
	}
	r.Coverage = s.coverage()
}
