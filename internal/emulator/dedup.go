package emulator

import "cmp"

// Workers drop duplicates of an idempotency key within a window that opens when the first request with the key begins
// to run. The keys of the whole fleet are in one map, each qualified by its deduplication scope.

const (
	dedupCleanupInterval = 10.0 // s between removals of old keys
	dedupRetention       = 60.0 // s for which a key is kept after its window
)

// dedupKey returns the idempotency key, qualified by its deduplication scope.
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

// recordKey opens the window of a request that begins to run.
func (f *Fleet) recordKey(w *worker, r *Request, m *ModelSpec) {
	if r.IdempotencyKey == "" || !m.Deduped {
		return
	}
	f.dedupUntil[w.dedupKey(m, r.IdempotencyKey)] = f.now + cmp.Or(m.DedupWindow, w.spec.DedupWindow)
}

// removeOldKeys removes keys whose window is over, once per dedupCleanupInterval.
func (f *Fleet) removeOldKeys(now float64) {
	if now <= f.dedupCleanedAt+dedupCleanupInterval {
		return
	}
	f.dedupCleanedAt = now
	for key, until := range f.dedupUntil {
		if now > until+dedupRetention {
			delete(f.dedupUntil, key)
		}
	}
}
