// Package flightrecorder keeps the latest state changes of requests, attempts, connections and workers in a ring
// buffer, each with its time and reason. Recording allocates nothing. The buffer is dumped to the log after a fault or
// on SIGUSR1.
package flightrecorder

// capacity is the number of events kept. It covers some seconds of a busy dispatcher and takes about 130 KB.
const capacity = 2048

// Event is a state change. The zero value of a field means that it does not apply.
type Event struct {
	At      float64 // seconds on the event loop's clock
	What    string  // a constant
	Why     string  // a constant, or an error's text outside the path that must not allocate
	Request uint64  // sequence number of the request in this process
	Worker  uint32  // low bits of the worker's id
	Value   float64 // a duration in seconds, or a count
}

// Ring is a ring buffer of the latest events. Its zero value is ready to use. It is not safe for concurrent use.
type Ring struct {
	events   [capacity]Event
	recorded uint64
}

// Add records an event. If the buffer is full, it overwrites the oldest one.
func (r *Ring) Add(e Event) {
	r.events[r.recorded%capacity] = e
	r.recorded++
}

// Count returns the number of events recorded so far, including those no longer kept.
func (r *Ring) Count() uint64 { return r.recorded }

// Each calls f for each kept event, from the oldest to the latest. The event is valid until the next Add.
func (r *Ring) Each(f func(e *Event)) {
	oldest := uint64(0)
	if r.recorded > capacity {
		oldest = r.recorded - capacity
	}
	for i := oldest; i < r.recorded; i++ {
		f(&r.events[i%capacity])
	}
}
