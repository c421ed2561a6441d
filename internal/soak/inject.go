package soak

import (
	"context"
	"sync"
	"time"

	"mastchute/internal/soak/changelog"
)

// This file injects the faults of a plan at their times.

const (
	drainMargin      = 0.3 // s past the drain grace until the process of a leaving worker ends
	resetProbability = 0.5 // of each connection of a worker that resets connections
)

// injectFaults injects all faults at their times and returns after the end of the last.
func (r *runner) injectFaults(ctx context.Context) {
	var injecting sync.WaitGroup
	for _, f := range r.plan.Faults {
		injecting.Add(1)
		go func() {
			defer injecting.Done()
			if r.sleepUntil(ctx, f.From) {
				r.injectFault(f)
			}
		}()
	}
	injecting.Wait()
}

func (r *runner) sleepUntil(ctx context.Context, at float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(seconds(at - r.history.now())):
		return true
	}
}

// injectFault injects one fault and returns at its end. The other kinds of fault are injected elsewhere: emulated
// workers, clients and the change log call activeFault, and dispatchers get their failing system calls from the plan.
func (r *runner) injectFault(f Fault) {
	switch f.Kind {
	case Terminate, Kill, SignalSeries:
		r.restart(r.dispatchers[f.Target], f.Kind)
	case Reload:
		d := r.dispatchers[f.Target]
		if d.beginRestart() {
			d.reload()
			d.endRestart()
		}
	case Suspend:
		r.dispatchers[f.Target].suspend(f)
	case DescriptorLimit:
		r.dispatchers[f.Target].limitDescriptors(f)
	case ClientsFlood:
		r.flood(f, r.dispatchers[f.Target])
	case WorkerResets:
		r.workers[f.Target].resetConnections(resetProbability)
	case WorkerLeaves:
		r.replaceWorker(r.workers[f.Target], r.plan.Site.Grace+drainMargin)
	case WorkerReplaced:
		r.replaceUnannounced(r.workers[f.Target], f.Amount)
	case WorkerDrains:
		r.replaceWorker(r.workers[f.Target], f.To-r.history.now())
	}
}

func (r *runner) restart(d *dispatcher, kind FaultKind) {
	if !d.beginRestart() {
		return
	}
	defer d.endRestart()
	switch kind {
	case Kill:
		d.kill()
	case SignalSeries:
		d.terminateDuringSignals()
	default:
		d.terminate()
	}
	if err := d.start(); err != nil {
		r.report(guaranteeHarness, r.history.now(), "%s", err)
	}
}

// replaceWorker lets a worker drain for drainTime seconds and replaces its process by one with a new id at its address.
func (r *runner) replaceWorker(w *worker, drainTime float64) {
	id, ok := w.beginDrain()
	if !ok {
		return
	}
	r.history.update(func() { r.history.DrainedAt[id] = r.history.now() })
	r.changeLog.Append(false, w.member(changelog.PhaseLeaving))
	time.Sleep(seconds(drainTime))
	oldPlace := w.place()
	oldID, newID := w.replace(w.group)
	r.announceReplacement(w, oldID, newID, oldPlace)
}

// replaceUnannounced replaces the process of a worker at once by one of the next group at its address. The change log tells of
// it newsDelay seconds later.
func (r *runner) replaceUnannounced(w *worker, newsDelay float64) {
	if !w.beginReplacement() {
		return
	}
	defer w.endReplacement()
	oldPlace := w.place()
	oldID, newID := w.replace((w.group + 1) % workerGroups)
	time.Sleep(seconds(newsDelay))
	r.announceReplacement(w, oldID, newID, oldPlace)
}

// announceReplacement adds the replacement of a worker's process to the change log.
func (r *runner) announceReplacement(w *worker, oldID, newID string, oldPlace changelog.Place) {
	r.history.update(func() { r.history.StartedAt[newID] = r.history.now() })
	r.changeLog.Append(false, changelog.Member(oldID, w.address, oldPlace, changelog.PhaseLeft, 0), w.member(changelog.PhaseActive))
}

// activeFault returns the fault of a kind that is active now at a target, nil for none.
func (r *runner) activeFault(kind FaultKind, target int) *Fault {
	now := r.history.now()
	for i := range r.plan.Faults {
		f := &r.plan.Faults[i]
		if f.Kind == kind && (f.Target == target || kind.targetsAll()) && now >= f.From && now < f.To {
			return f
		}
	}
	return nil
}

func (r *runner) isFaultActive(kind FaultKind, target int) bool {
	return r.activeFault(kind, target) != nil
}
