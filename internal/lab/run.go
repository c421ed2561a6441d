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

	"mastchute/internal/emulator"
)

// RunOptions specify how RunScenario runs a scenario.
type RunOptions struct {
	Command  []string  // command line of mastchute, for the processes of the run
	Env      []string  // added to their environment
	Dir      string    // directory for settings, logs and records; empty for a temporary one
	Progress io.Writer // receives progress lines; may be nil
}

const (
	dispatcherStopTimeout = 20 * time.Second
	emulatorStopTimeout   = 5 * time.Second
	recordsFile           = "records.jsonl"
	fleetFile             = "fleet.json"
)

// run is a run of a scenario over sockets.
type run struct {
	scenario         *Scenario
	options          RunOptions
	ctx              context.Context // of the whole run
	emulator         *process
	addresses        EmulatorAddresses
	dispatchers      []*dispatcherProcess
	begin            time.Time
	pendingIncidents sync.WaitGroup

	mu           sync.Mutex
	stateChanges []StateChange
	outages      []Outage
	workerStates map[string]string // by worker, the latest state that dispatchers were notified of
	errs         []error
}

// RunScenario runs a scenario in real processes over loopback sockets and returns the evidence and its report. When ctx is
// done, it ends early and returns the evidence recorded so far.
func RunScenario(ctx context.Context, s *Scenario, o RunOptions) (*Evidence, *Report, error) {
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "mastchute-day-")
		if err != nil {
			return nil, nil, err
		}
		defer os.RemoveAll(dir)
		o.Dir = dir
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	r := &run{scenario: s, options: o, ctx: ctx, workerStates: map[string]string{}}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, nil, err
	}
	fmt.Fprintf(o.Progress, "%s: %d dispatchers, %d workers, %g calls per second for %gs\n", s.Name, s.Dispatchers,
		s.Fleet.Workers, s.Clients.Rate, s.Length.Seconds)
	generator := &loadGenerator{scenario: s}
	for _, d := range r.dispatchers {
		generator.dispatchers = append(generator.dispatchers, &d.client)
	}
	r.begin = time.Now()
	r.scheduleIncidents()
	generator.run(ctx, r.begin)
	r.pendingIncidents.Wait()
	return r.collect(generator)
}

// collect terminates the dispatchers, then the worker emulator, and returns the evidence and its report.
func (r *run) collect(generator *loadGenerator) (*Evidence, *Report, error) {
	report := &Report{Guards: r.guardCounts(), Clock: "sockets", Seed: r.scenario.Seed, Partial: r.ctx.Err() != nil}
	for _, d := range r.dispatchers {
		report.Exits = append(report.Exits, d.process.terminate(dispatcherStopTimeout))
	}
	r.emulator.terminate(emulatorStopTimeout)
	e := newEvidence(r.scenario)
	e.StateChanges = r.stateChanges
	e.Outages = r.outages
	e.ClientAttempts = generator.clientAttempts()
	sort.SliceStable(e.StateChanges, func(i, j int) bool { return e.StateChanges[i].NotifiedAt < e.StateChanges[j].NotifiedAt })
	var err error
	e.Records, err = readRecords(r.path(recordsFile))
	if err != nil {
		return nil, nil, err
	}
	report.fill(r.scenario, e)
	return e, report, errors.Join(r.errs...)
}

// readRecords reads the records of the workers.
func readRecords(file string) ([]emulator.Record, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var records []emulator.Record
	decoder := json.NewDecoder(bufio.NewReaderSize(f, 1<<20))
	for {
		var record emulator.Record
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return records, fmt.Errorf("read record %d of %s: %w", len(records)+1, file, err)
		}
		records = append(records, record)
	}
}

func (r *run) path(name string) string { return filepath.Join(r.options.Dir, name) }

// scheduleIncidents schedules the faults, kills and notifications of the scenario.
func (r *run) scheduleIncidents() {
	schedule := func(atSeconds float64, event func()) {
		r.pendingIncidents.Add(1)
		time.AfterFunc(time.Until(r.begin.Add(seconds(atSeconds))), func() {
			defer r.pendingIncidents.Done()
			if r.ctx.Err() == nil {
				event()
			}
		})
	}
	for _, f := range r.scenario.Faults {
		schedule(f.At.Seconds, func() { r.injectFault(f) })
	}
	for _, k := range r.scenario.Kills {
		schedule(k.At.Seconds, func() { r.kill(r.dispatchers[k.Dispatcher], k.Down.Seconds) })
	}
	for _, n := range r.scenario.notifications() {
		schedule(n.at, func() { r.notifyAll(n.worker, n.state) })
	}
}

func (r *run) progress(format string, args ...any) {
	fmt.Fprintf(r.options.Progress, "%7.2f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

// emulatorFault converts a fault to the emulator's form.
func (f Fault) emulatorFault() emulator.Fault {
	return emulator.Fault{Kind: f.Kind, Worker: f.Worker, Share: f.Share, Factor: f.Factor, Span: f.For.Seconds, What: f.What}
}

func (r *run) injectFault(f Fault) {
	r.progress("fault %s starts (worker pattern %q)", f.Kind, f.Worker)
	if err := postJSON("http://"+r.addresses.FaultAddr+"/fault", f.emulatorFault()); err != nil {
		r.addError(fmt.Errorf("inject fault %s: %w", f.Kind, err))
	}
}

// notifyAll notifies all running dispatchers of a worker's state.
func (r *run) notifyAll(worker, state string) {
	r.progress("worker %s is %s", worker, state)
	r.mu.Lock()
	r.workerStates[worker] = state
	r.mu.Unlock()
	for _, d := range r.dispatchers {
		r.notify(d, worker, state)
	}
}

// notify notifies one dispatcher of a worker's state. A dispatcher that is down is notified after its restart.
func (r *run) notify(d *dispatcherProcess, worker, state string) {
	if err := postJSON("http://"+d.admin+"/workers", map[string]string{"name": worker, "state": state}); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateChanges = append(r.stateChanges, StateChange{Dispatcher: d.client.name, Worker: worker, State: state, NotifiedAt: unixNow()})
}

// postJSON posts a value as JSON. A response with a status other than 200 is an error.
func postJSON(url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	response, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// kill ends a dispatcher with SIGKILL and restarts it after down seconds.
func (r *run) kill(d *dispatcherProcess, down float64) {
	r.progress("dispatcher %s killed", d.client.name)
	from := unixNow()
	d.process.kill()
	time.Sleep(seconds(down))
	err := r.startDispatcher(d)
	r.mu.Lock()
	r.outages = append(r.outages, Outage{Dispatcher: d.client.name, From: from, To: unixNow()})
	states := map[string]string{}
	for worker, state := range r.workerStates {
		states[worker] = state
	}
	r.mu.Unlock()
	if err != nil {
		r.addError(err)
		return
	}
	r.progress("dispatcher %s restarted", d.client.name)
	for worker, state := range states {
		if state != stateReady {
			r.notify(d, worker, state)
		}
	}
}

// guardCounts sums the guard counters of all dispatchers. Each count indicates a bug in a dispatcher's decisions or in its
// host.
func (r *run) guardCounts() map[string]float64 {
	sums := map[string]float64{}
	for _, d := range r.dispatchers {
		response, err := http.Get("http://" + d.admin + "/metrics")
		if err != nil {
			continue
		}
		addGuardCounts(sums, response.Body)
		response.Body.Close()
	}
	return sums
}

// addGuardCounts adds the guard counters in a metrics page in text format.
func addGuardCounts(sums map[string]float64, metrics io.Reader) {
	s := bufio.NewScanner(metrics)
	for s.Scan() {
		rest, ok := strings.CutPrefix(s.Text(), `mastchute_guards_total{guard="`)
		if !ok {
			continue
		}
		name, value, _ := strings.Cut(rest, `"} `)
		var count float64
		fmt.Sscan(value, &count)
		sums[name] += count
	}
}

// close kills all processes that still run.
func (r *run) close() {
	for _, d := range r.dispatchers {
		d.close()
	}
	if r.emulator != nil {
		r.emulator.kill()
	}
}
