package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"sync"

	"golang.org/x/sys/unix"

	"mastchute/internal/soak/changelog"
	"mastchute/internal/syscalls/faults"
)

const (
	clientsPerDispatcher = 3
	baselineAt           = 0.6 // s from the start of the plan until the baseline of resource usage is taken
	recoveryTime         = 2.2 // s from the last fault to the final checks
)

// Options configures a run.
type Options struct {
	Binary string   // the mastchute program
	Env    []string // added to the environment of its processes
	Dir    string   // for configurations and logs; empty for a temporary directory
	Keep   bool     // keep the temporary directory if there are violations
	Trace  bool     // write the system calls of each dispatcher and the recorded traffic to Dir; needs a build with -tags faults
}

// Result is the result of a run.
type Result struct {
	Plan         Plan
	Violations   []Violation
	Requests     int
	Attempts     int
	Outcomes     map[Outcome]int
	Coverage     map[string]int // requests by the kinds of fault they were exposed to, and by each pair of kinds
	HarnessDelay float64        // worst scheduling delay of the test harness, s
	WorkerChecks int            // load requests for zero replicas, with which dispatchers check whether a worker drains
	Outage       OutageStats
	Partial      bool // stopped before the end
	Dir          string
}

// runner is a run in progress. mu guards the fields below it; the others do not change after the start.
type runner struct {
	plan        Plan
	binary      string
	env         []string
	dir         string
	trace       bool
	clockOrigin int64 // start of the plan on the monotonic clock that the dispatchers read, ns
	history     *history
	changeLog   *changeLog
	workers     []*worker
	dispatchers []*dispatcher
	stopped     chan struct{} // closed when clients and health checks must stop

	mu            sync.Mutex
	violations    []Violation
	harnessDelays map[int]float64 // worst scheduling delay of the harness by delayBucketIndex, s
}

// Run executes a plan and checks the guarantees.
func Run(ctx context.Context, p Plan, o Options) (*Result, error) {
	dir := o.Dir
	if dir == "" {
		var err error
		dir, err = os.MkdirTemp("", "mastchute-soak-")
		if err != nil {
			return nil, err
		}
	}
	r := &runner{plan: p, binary: o.Binary, env: o.Env, dir: dir, trace: o.Trace, stopped: make(chan struct{}), harnessDelays: map[int]float64{}, history: newHistory(),
		clockOrigin: faults.MonotonicNow()}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	complete := r.execute(ctx)
	r.checkInvariants()
	if o.Trace {
		if err := r.history.writeTo(filepath.Join(dir, historyFile)); err != nil {
			return nil, err
		}
	}
	result := r.result()
	result.Partial = !complete
	if len(result.Violations) == 0 && o.Dir == "" || !o.Keep {
		os.RemoveAll(dir)
	}
	return result, nil
}

// start starts the change log, the workers and the dispatchers.
func (r *runner) start() error {
	var err error
	r.changeLog, err = newChangeLog(r)
	if err != nil {
		return err
	}
	var members []string
	for i := range r.plan.Site.Workers {
		w, err := newWorker(r, i)
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
		members = append(members, w.member(changelog.PhaseActive))
	}
	r.changeLog.Append(true, members...)
	for i := range r.plan.Site.Dispatchers {
		d, err := newDispatcher(r, i)
		if err != nil {
			return err
		}
		r.dispatchers = append(r.dispatchers, d)
	}
	for _, d := range r.dispatchers {
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// close kills the dispatchers, each by its process id, and stops the emulated workers and change log.
func (r *runner) close() {
	select {
	case <-r.stopped:
	default:
		close(r.stopped)
	}
	for _, d := range r.dispatchers {
		if d.isRunning() {
			d.kill()
		}
		unix.Close(d.reservedPortFD)
	}
	for _, w := range r.workers {
		w.close()
	}
	if r.changeLog != nil {
		r.changeLog.close()
	}
}

// execute runs the clients and injects the faults. It returns false if ctx ended before the plan.
func (r *runner) execute(ctx context.Context) (complete bool) {
	stopMeasuring := make(chan struct{})
	defer close(stopMeasuring)
	go r.measureHarnessDelays(stopMeasuring)
	clients := r.startClients()
	if !r.sleepUntil(ctx, baselineAt) {
		close(r.stopped)
		clients.Wait()
		return false
	}
	baseline := make([]usage, len(r.dispatchers))
	for i, d := range r.dispatchers {
		baseline[i] = d.usage()
	}
	r.injectFaults(ctx)
	// Stopping a process may have taken longer than the plan.
	complete = r.sleepUntil(ctx, max(r.plan.Duration, r.history.now())+recoveryTime)
	if complete {
		r.checkRecovered()
	}
	close(r.stopped)
	clients.Wait()
	if complete {
		r.checkResources(baseline)
		r.terminateAll()
	}
	return complete
}

// startClients starts all clients; they end after r.stopped is closed.
func (r *runner) startClients() *sync.WaitGroup {
	clients := &sync.WaitGroup{}
	for _, d := range r.dispatchers {
		for i := range r.plan.Site.clients() {
			c := &client{run: r, dispatcher: d, rnd: rand.New(rand.NewPCG(r.plan.Seed, uint64(d.index*100+i+1)))}
			clients.Add(1)
			go func() {
				defer clients.Done()
				c.sendRequests(r.stopped)
			}()
		}
	}
	return clients
}

// terminateAll stops all dispatchers with SIGTERM, as planned restarts do.
func (r *runner) terminateAll() {
	var all sync.WaitGroup
	for _, d := range r.dispatchers {
		if !d.isRunning() {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			d.terminate()
		}()
	}
	all.Wait()
}

// report records a violation.
func (r *runner) report(guarantee string, at float64, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Guarantee: guarantee, Description: fmt.Sprintf(format, args...), At: at})
}

// result summarizes the run after its end.
func (r *runner) result() *Result {
	result := &Result{Plan: r.plan, Dir: r.dir, Outcomes: map[Outcome]int{}}
	r.mu.Lock()
	result.Violations = r.violations
	for _, delay := range r.harnessDelays {
		result.HarnessDelay = max(result.HarnessDelay, delay)
	}
	r.mu.Unlock()
	sort.SliceStable(result.Violations, func(i, k int) bool { return result.Violations[i].At < result.Violations[k].At })
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	result.Requests = len(r.history.Requests)
	for _, req := range r.history.Requests {
		result.Outcomes[req.Outcome]++
	}
	for _, list := range r.history.Attempts {
		result.Attempts += len(list)
	}
	result.WorkerChecks = r.history.WorkerChecks
	result.Outage = r.outageStats()
	result.Coverage = r.coverage()
	return result
}
