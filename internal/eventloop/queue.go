//go:build linux

package eventloop

// batchQueue holds entries that are handled in batches: entries added while a batch is handled belong to the next one. It
// alternates between two slices, so that it does not allocate once they have grown.
type batchQueue[T any] struct {
	pending []T
	batch   []T
}

func (q *batchQueue[T]) add(entry T) { q.pending = append(q.pending, entry) }

func (q *batchQueue[T]) isEmpty() bool { return len(q.pending) == 0 }

// next returns the pending entries as a batch. The caller clears the batch once it is handled, before the next call.
func (q *batchQueue[T]) next() []T {
	q.pending, q.batch = q.batch[:0], q.pending
	return q.batch
}
