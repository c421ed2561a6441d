package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mastchute/internal/soak/changelog"
)

// worker emulates a worker process and its successors at the same address. Received messages are recorded before any
// fault delays their processing.
type worker struct {
	run      *runner
	index    int
	address  string
	listener net.Listener

	mu          sync.Mutex
	rnd         *rand.Rand
	id          string // of the current process
	incarnation int
	upSince     int64 // Unix time in ms; 0 for a process that was up before the run
	group       int   // of the process: workers of the same group drop each other's repeats
	replacing   bool  // the change log has not told of the latest replacement
	draining    bool
	running     int             // running requests
	loaded      map[string]bool // by model
	conns       map[net.Conn]bool
}

// defaultRunTime is the mean run time of a request if the site sets none.
const defaultRunTime = 0.005 // s

// firstWorkerRandomStream plus a worker's index is the worker's stream of the random source.
const firstWorkerRandomStream = 1000

func newWorker(run *runner, index int) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for worker %d: %w", index, err)
	}
	w := &worker{run: run, index: index, listener: listener, address: listener.Addr().String(), group: index % workerGroups,
		rnd: rand.New(rand.NewPCG(run.plan.Seed, uint64(firstWorkerRandomStream+index))), loaded: map[string]bool{}, conns: map[net.Conn]bool{}}
	w.id = w.currentID()
	run.history.recordStart(w.id, w.group)
	go w.accept()
	return w, nil
}

// workerIDPrefix returns the common prefix of the ids of a worker's processes.
func workerIDPrefix(index int) string { return fmt.Sprintf("s-%02d-", index) }

func (w *worker) currentID() string {
	return fmt.Sprintf("%s%d", workerIDPrefix(w.index), w.incarnation)
}

// randomFloat returns a random number in [0, 1).
func (w *worker) randomFloat() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.Float64()
}

// randomInt returns a random number from 0 to n-1.
func (w *worker) randomInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

func (w *worker) hasFault(kind FaultKind) bool { return w.run.isFaultActive(kind, w.index) }

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return // closed
		}
		if w.hasFault(WorkerRefuses) {
			reset(conn)
			continue
		}
		w.mu.Lock()
		w.conns[conn] = true
		id := w.id
		w.mu.Unlock()
		wc := &workerConn{worker: w, conn: conn, id: id}
		go wc.serve()
	}
}

func (w *worker) removeConn(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, conn)
}

// resetConnections resets open connections, each with a probability.
func (w *worker) resetConnections(probability float64) {
	w.mu.Lock()
	var chosen []net.Conn
	for conn := range w.conns {
		if w.rnd.Float64() < probability {
			chosen = append(chosen, conn)
		}
	}
	w.mu.Unlock()
	for _, conn := range chosen {
		reset(conn)
	}
}

// beginReplacement prepares the replacement of the process. It returns false if one is under way.
func (w *worker) beginReplacement() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining || w.replacing {
		return false
	}
	w.replacing = true
	return true
}

// endReplacement is called when the change log has told of the replacement.
func (w *worker) endReplacement() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replacing = false
}

// place returns where the present process stands.
func (w *worker) place() changelog.Place {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.run.plan.Site.place(w.group)
}

// beginDrain marks the process as draining and returns its id. ok is false if it is draining already or is being replaced.
func (w *worker) beginDrain() (id string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining || w.replacing {
		return "", false
	}
	w.draining = true
	return w.id, true
}

// replace ends the process and starts a new one of a group with no models loaded, under a new id at the same address.
func (w *worker) replace(group int) (oldID, newID string) {
	w.mu.Lock()
	oldID = w.id
	w.group = group
	w.incarnation++
	w.id = w.currentID()
	newID = w.id
	w.upSince = time.Now().UnixMilli()
	w.draining = false
	w.loaded = map[string]bool{}
	w.mu.Unlock()
	w.run.history.recordStart(newID, group)
	w.resetConnections(1)
	return oldID, newID
}

func (w *worker) close() {
	w.listener.Close()
	w.resetConnections(1)
}

// markLoaded records a model as loaded and reports whether it was loaded before.
func (w *worker) markLoaded(model string) (wasLoaded bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wasLoaded = w.loaded[model]
	w.loaded[model] = true
	return wasLoaded
}

// randomRunTime returns a random run time for a request.
func (w *worker) randomRunTime() time.Duration {
	mean := w.run.plan.Site.RunTime
	if mean == 0 {
		mean = defaultRunTime
	}
	return seconds(mean * (0.2 + 1.6*w.randomFloat()))
}

// beginRun admits a request unless the worker drains or is at capacity.
func (w *worker) beginRun() (admitted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	capacity := w.run.plan.Site.Capacity
	if w.draining || capacity > 0 && w.running >= capacity {
		return false
	}
	w.running++
	return true
}

func (w *worker) endRun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// loadedReplicas returns how many replicas of a model are loaded. ok is false if the worker drains.
func (w *worker) loadedReplicas(model string) (replicas int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loaded[model] {
		replicas = 1
	}
	return replicas, !w.draining
}

// member returns the worker's entry in the change log.
func (w *worker) member(phase string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return changelog.Member(w.id, w.address, w.run.plan.Site.place(w.group), phase, w.upSince)
}
