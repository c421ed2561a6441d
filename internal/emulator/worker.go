package emulator

import "math"

// modelReplicas are the replicas of one model on one worker. At most one replica loads at a time.
type modelReplicas struct {
	spec         *ModelSpec
	name         string
	ready        int     // loaded replicas
	busy         int     // requests that run in them
	isLoading    bool    // one more replica is being loaded
	fetchLeft    float64 // seconds of its fetch at full speed; 0 once it is fetched
	bootLeft     float64 // seconds until it is ready after the fetch
	idleSince    float64
	waiting      []*Request
	loadRequests []*Request // get a response when the load completes
	imageCached  bool       // a load needs no fetch
	isActive     bool       // listed in worker.active
}

// fetching reports whether the replica that loads is still being fetched from the store.
func (mr *modelReplicas) fetching() bool { return mr.isLoading && mr.fetchLeft > 0 }

// idle reports whether a ready replica is unused and nothing waits for it.
func (mr *modelReplicas) idle() bool { return mr.ready > mr.busy && len(mr.waiting) == 0 }

// hasFreeSlot reports whether another request can run.
func (mr *modelReplicas) hasFreeSlot() bool { return mr.busy < mr.ready*max(1, mr.spec.Concurrency) }

// worker is the state of one emulated worker. Fleet advances each worker separately, when it has an event.
type worker struct {
	spec       WorkerSpec
	index      int
	up         bool
	overloaded bool // crashed by overload in slow start; it does not restart
	startedAt  float64
	restartAt  float64 // when a crashed worker restarts; +Inf for never

	replicas         map[string]*modelReplicas
	active           []*modelReplicas // those with replicas, loads or waiting requests, in the order of their first use
	running          []*Request
	memory           float64 // MB, of loaded replicas and of those that load
	requestsInFlight int     // requests that wait or run
	recentWork       []workSample
	faults           map[string]Fault // by kind

	updatedAt  float64 // time up to which the state is current
	nextAt     float64 // time of the next event
	queueIndex int

	reportAt       float64
	reportInFlight float64
	reportQueued   float64
}

func newWorker(index int, spec WorkerSpec, slowStart bool) *worker {
	w := &worker{spec: spec, index: index, up: true, replicas: map[string]*modelReplicas{}, faults: map[string]Fault{},
		restartAt: math.Inf(1), nextAt: math.Inf(1)}
	if !slowStart {
		w.startedAt = warmStartTime
	}
	return w
}

// warmStartTime is a start time so long ago that slow start is over.
const warmStartTime = -1e6 // s

// queued returns the number of requests that wait.
func (w *worker) queued() int { return w.requestsInFlight - len(w.running) }

// replicasOf returns the replicas of a model and lists them as active.
func (w *worker) replicasOf(name string, spec *ModelSpec) *modelReplicas {
	mr := w.replicas[name]
	if mr == nil {
		mr = &modelReplicas{spec: spec, name: name}
		w.replicas[name] = mr
	}
	if !mr.isActive {
		mr.isActive = true
		w.active = append(w.active, mr)
	}
	return mr
}

// capacity returns the fraction of its full capacity that a worker has at a time.
func (w *worker) capacity(now float64) float64 {
	age := now - w.startedAt
	if age < w.spec.SlowStartDuration {
		return w.spec.SlowStartCapacity + (1-w.spec.SlowStartCapacity)*age/w.spec.SlowStartDuration
	}
	return 1
}

// requestSpeed returns the speed of each running request at a time. It is 1 for one request on a core of speed 1.
func (w *worker) requestSpeed(now float64) float64 {
	n := float64(len(w.running))
	if n == 0 || !w.up {
		return 0
	}
	speed := w.spec.Speed * math.Min(1, w.spec.Cores*w.capacity(now)/n)
	if fault, ok := w.faults[FaultSlow]; ok {
		speed /= fault.Factor
	}
	if fault, ok := w.faults[FaultDegradation]; ok {
		speed /= 1 + (fault.Factor-1)*(now-fault.since)/fault.Span
	}
	if w.hasFault(FaultPauses) && math.Mod(now, 1) < 0.3 {
		speed = 0
	}
	if w.hasFault(FaultHang) {
		speed = 0
	}
	return speed
}

// fetching reports whether the worker fetches from the store.
func (w *worker) fetching() bool {
	for _, mr := range w.active {
		if mr.fetching() {
			return true
		}
	}
	return false
}

// workSample is work sent to a worker in slow start, in seconds of one core.
type workSample struct{ at, work float64 }

// minOverloadSamples is the number of recent requests below which no overload is detected.
const minOverloadSamples = 3

// recordWork counts work sent to a worker in slow start; too much of it within the overload window crashes the worker.
func (f *Fleet) recordWork(w *worker, work float64) {
	if f.now-w.startedAt >= w.spec.SlowStartDuration || w.spec.OverloadFactor <= 0 {
		w.recentWork = w.recentWork[:0]
		return
	}
	w.recentWork = append(w.recentWork, workSample{f.now, work})
	for len(w.recentWork) > 0 && w.recentWork[0].at < f.now-w.spec.OverloadWindow {
		w.recentWork = w.recentWork[1:]
	}
	if len(w.recentWork) < minOverloadSamples {
		return
	}
	sum := 0.0
	for _, s := range w.recentWork {
		sum += s.work
	}
	limit := w.spec.OverloadFactor * w.capacity(f.now) * w.spec.Cores * w.spec.Speed * w.spec.OverloadWindow
	f.PeakOverload = math.Max(f.PeakOverload, sum/limit)
	if sum > limit {
		w.overloaded = true
		f.emitEvent(w, EventOverloaded, nil)
		f.crash(w, math.Inf(1))
	}
}
