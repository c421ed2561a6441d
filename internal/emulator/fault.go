package emulator

import (
	"maps"
	"path"
	"slices"
)

// Fault kinds, as scenario files and POST /fault name them.
const (
	FaultFastErrors   = "fast_errors"
	FaultHang         = "hang"
	FaultCrash        = "vanish"
	FaultSlow         = "slow"
	FaultPauses       = "pauses"
	FaultDegradation  = "ageing"
	FaultFlush        = "flush"
	FaultReportLate   = "report_late"
	FaultSlowConnect  = "slow_connect"
	FaultRefuseTenant = "refuse_tenant"
	FaultSilentGroup  = "silent_group"
	FaultStoreSlow    = "store_slow"
	FaultReset        = "reset"
	FaultTruncate     = "cut"
)

// FaultDescriptions describes each kind of fault by its effect.
var FaultDescriptions = map[string]string{
	FaultFastErrors:   "responds with status 500 at once to a share of requests",
	FaultHang:         "accepts requests and does not respond",
	FaultCrash:        "crashes, closes its connections and returns under its name in slow start",
	FaultSlow:         "runs requests slower by the factor",
	FaultPauses:       "pauses for 0.3 s in every second",
	FaultDegradation:  "runs requests ever more slowly, then crashes for 3 s",
	FaultFlush:        "loses its idle replicas and all cached images, once",
	FaultReportLate:   "repeats the load report from the start of the fault",
	FaultSlowConnect:  "delays requests and load requests by 0.2 s",
	FaultRefuseTenant: "rejects one tenant's requests as full",
	FaultSilentGroup:  "accepts one model group's requests and does not respond",
	FaultStoreSlow:    "the store is slower by the factor",
	FaultReset:        "resets the connection in the middle of a share of the responses",
	FaultTruncate:     "truncates a share of the responses",
}

// FaultNames returns the names of all kinds of fault, sorted.
func FaultNames() []string { return slices.Sorted(maps.Keys(FaultDescriptions)) }

// Fault is a fault of one worker, of several workers or of the store. Its field names are the JSON keys of POST /fault.
type Fault struct {
	Kind   string  // one of the kinds above
	Worker string  // name or pattern; empty for all
	Share  float64 // fraction of requests affected; 0 means all
	Factor float64 // of the slowdown; 0 uses a default
	Span   float64 // seconds; 0 uses a default
	What   string  // the affected tenant or model group
	since  float64
	until  float64
}

const (
	defaultFaultFactor   = 5.0
	defaultFaultDuration = 5.0 // s
	degradationOutage    = 3.0 // s for which a worker is down after FaultDegradation
)

// InjectFault starts a fault that lasts for Span seconds. It returns false for an unknown kind or worker.
func (f *Fleet) InjectFault(now float64, fault Fault) bool {
	f.Advance(now)
	if _, ok := FaultDescriptions[fault.Kind]; !ok {
		return false
	}
	if fault.Factor <= 0 {
		fault.Factor = defaultFaultFactor
	}
	if fault.Span <= 0 {
		fault.Span = defaultFaultDuration
	}
	fault.since = now
	fault.until = now + fault.Span
	if fault.Kind == FaultStoreSlow {
		f.storeFaults = append(f.storeFaults, fault)
		f.storeChanged = true
		f.updateStoreSlowdown()
		return true
	}
	found := false
	for _, w := range f.workers {
		matched, _ := path.Match(fault.Worker, w.spec.Name)
		if !matched && fault.Worker != "" {
			continue
		}
		found = true
		f.injectWorkerFault(now, w, fault)
	}
	return found
}

func (f *Fleet) injectWorkerFault(now float64, w *worker, fault Fault) {
	f.beginChange(now, w)
	defer f.endChange(w)
	f.emitEvent(w, faultEvent(fault.Kind), nil)
	switch fault.Kind {
	case FaultCrash:
		f.crash(w, fault.until)
	case FaultFlush:
		f.flush(w)
	default:
		w.faults[fault.Kind] = fault
	}
}

// hasFault reports whether a fault of the kind is active at the worker.
func (w *worker) hasFault(kind string) bool {
	_, ok := w.faults[kind]
	return ok
}

// drawAffected draws whether a request is in the share that a fault affects.
func (f *Fleet) drawAffected(fault Fault) bool {
	return fault.Share <= 0 || f.rnd.Float64() < fault.Share
}

// applyRequestFaults applies the worker's active faults to a request on arrival. It returns true if the request ended.
// The order of the checks must not change: each may consume a random number, and runs must be reproducible.
func (f *Fleet) applyRequestFaults(w *worker, r *Request) bool {
	if fault, ok := w.faults[FaultFastErrors]; ok && f.drawAffected(fault) {
		f.reject(w, r, Errored)
		return true
	}
	if fault, ok := w.faults[FaultRefuseTenant]; ok && fault.What == r.Tenant {
		f.reject(w, r, RejectedFull)
		return true
	}
	if fault, ok := w.faults[FaultSilentGroup]; ok && fault.What == r.Group {
		r.Silenced = true
	}
	if fault, ok := w.faults[FaultReset]; ok && f.drawAffected(fault) {
		r.ResetResponse = true
	}
	if fault, ok := w.faults[FaultTruncate]; ok && f.drawAffected(fault) {
		r.TruncateResponse = true
	}
	return false
}

// expireFaults removes the faults that are over. A worker crashes at the end of FaultDegradation.
func (f *Fleet) expireFaults(w *worker, now float64) {
	for kind, fault := range w.faults {
		if now < fault.until {
			continue
		}
		delete(w.faults, kind)
		if kind == FaultDegradation {
			f.crash(w, now+degradationOutage)
			return
		}
	}
}

// flush unloads all idle replicas and drops all cached images; running requests finish.
func (f *Fleet) flush(w *worker) {
	for _, mr := range w.replicas {
		mr.imageCached = false
	}
	for _, mr := range w.active {
		f.unloadIdle(w, mr)
		if len(mr.waiting) > 0 && mr.ready == 0 && !mr.isLoading {
			f.loadOrRejectWaiting(w, mr)
		}
	}
}

// loadOrRejectWaiting loads a replica for the requests that wait for one, or rejects them if no load is possible.
func (f *Fleet) loadOrRejectWaiting(w *worker, mr *modelReplicas) {
	if f.startLoad(w, mr) {
		return
	}
	for _, r := range mr.waiting {
		w.requestsInFlight--
		r.end(RejectedFull, f.now)
		r.ModelState = LoadFailed
		f.emitEvent(w, EventRejected, r)
		f.finished = append(f.finished, r)
	}
	mr.waiting = nil
}

// crash ends a worker's process, its requests and its replicas. The worker restarts at the given time, empty and in slow
// start; images survive if the worker caches them on disk.
func (f *Fleet) crash(w *worker, restartAt float64) {
	if !w.up {
		return
	}
	w.up = false
	w.restartAt = restartAt
	f.emitEvent(w, EventCrashed, nil)
	for _, mr := range w.replicas {
		mr.imageCached = mr.imageCached && w.spec.CachesImages
	}
	for _, mr := range w.active {
		if mr.fetching() {
			f.fetching--
			f.storeChanged = true
		}
		for _, r := range append(mr.waiting, mr.loadRequests...) {
			r.end(WorkerLost, f.now)
		}
		*mr = modelReplicas{spec: mr.spec, name: mr.name, imageCached: mr.imageCached}
	}
	for _, r := range w.running {
		r.end(WorkerLost, f.now)
	}
	w.running = nil
	w.active = nil
	w.memory = 0
	w.requestsInFlight = 0
	w.recentWork = nil
	clear(w.faults)
	if f.OnWorkerDown != nil {
		f.OnWorkerDown(w.index)
	}
}
