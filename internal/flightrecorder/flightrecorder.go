// Package flightrecorder is a flight recorder: a ring of the latest state changes of requests, attempts, connections and
// workers, each with its time and reason. Writing to it allocates nothing; it is dumped when something went wrong, or
// on SIGUSR1. It belongs to one goroutine.
package flightrecorder

// size is how many events are kept: some seconds of a busy dispatcher, in about 130 KB.
const size = 2048

// Event is one state change. The zero value of a field means that it does not apply.
type Event struct {
	At      float64 // s of the loop's clock
	What    string  // a constant
	Why     string  // a constant, or an error's text on a path that is not ordinary
	Request uint64  // sequence number of the request in this process
	Worker  uint32  // id of the worker
	Value   float64 // a duration in s, or a count
}

// Ring keeps the latest events. The zero Ring is ready to use.
type Ring struct {
	events [size]Event
	next   uint64
}

// Add records an event.
func (r *Ring) Add(e Event) {
	r.events[r.next%size] = e
	r.next++
}

// Count is how many events were recorded so far, those no longer kept included.
func (r *Ring) Count() uint64 { return r.next }

// Each calls f for the events kept, oldest first.
func (r *Ring) Each(f func(e *Event)) {
	first := uint64(0)
	if r.next > size {
		first = r.next - size
	}
	for i := first; i < r.next; i++ {
		f(&r.events[i%size])
	}
}
