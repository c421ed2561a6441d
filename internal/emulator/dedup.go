package emulator

import "cmp"

// Workers drop duplicates of an idempotency key for a while after its first request began to run. The keys are kept for
// the whole fleet, each under the scope in which it counts.

const (
	dedupSweepInterval = 10.0 // s between removals of old keys
	dedupRetention     = 60.0 // s that a key is kept after its window
)

// dedupKey is the idempotency key, qualified by the workers that drop its duplicates.
func (w *worker) dedupKey(m *ModelSpec, key string) string {
	switch cmp.Or(m.DedupScope, w.spec.DedupScope) {
	case DedupZone:
		return w.spec.Zone + "/" + key
	case DedupCell:
		return w.spec.Zone + "/" + w.spec.Cell + "/" + key
	}
	return key
}

// isDuplicate reports whether a request with the same idempotency key began to run within the window.
func (f *Fleet) isDuplicate(w *worker, r *Request, m *ModelSpec) bool {
	if r.IdempotencyKey == "" || !m.Deduped {
		return false
	}
	until, seen := f.dedupUntil[w.dedupKey(m, r.IdempotencyKey)]
	return seen && f.now <= until
}

// rememberKey opens the window of a request that begins to run.
func (f *Fleet) rememberKey(w *worker, r *Request, m *ModelSpec) {
	if r.IdempotencyKey == "" || !m.Deduped {
		return
	}
	f.dedupUntil[w.dedupKey(m, r.IdempotencyKey)] = f.now + cmp.Or(m.DedupWindow, w.spec.DedupWindow)
}

// sweepKeys removes old keys from time to time.
func (f *Fleet) sweepKeys(now float64) {
	if now <= f.dedupSweptAt+dedupSweepInterval {
		return
	}
	f.dedupSweptAt = now
	for key, until := range f.dedupUntil {
		if now > until+dedupRetention {
			delete(f.dedupUntil, key)
		}
	}
}
