package emulator

// Event is the kind of an entry in the records. The values are part of the format of the records file.
type Event string

// The events, in the order in which they may occur.
const (
	EventStarted       Event = "start"   // a worker's process started
	EventArrived       Event = "arrive"  // a request arrived
	EventDuplicate     Event = "repeat"  // a duplicate of an idempotency key was dropped
	EventRejected      Event = "turned"  // a request was rejected, or got an error response at once
	EventRunning       Event = "ran"     // a request began to run
	EventServed        Event = "served"  // a request finished
	EventSilenced      Event = "silent"  // a request finished, and a fault withholds its response
	EventStopped       Event = "stopped" // a cancelled request stopped
	EventLoadRequested Event = "order"   // a load request arrived
	EventFetchStarted  Event = "fetch"   // the fetch of an image from the store started
	EventLoadStarted   Event = "load"    // the load of a replica started
	EventLoaded        Event = "loaded"  // a replica is ready
	EventUnloaded      Event = "unload"  // a replica was unloaded
	EventOverloaded    Event = "fell"    // a worker in slow start was overloaded; its crash follows
	EventCrashed       Event = "vanish"  // a worker's process ended
	faultEventPrefix         = "fault-"
)

// faultEvent is the event of a fault that starts at a worker.
func faultEvent(kind string) Event { return Event(faultEventPrefix + kind) }

// Record is one line of the records: an event at a worker. T is in seconds since 1970.
type Record struct {
	T          float64    `json:"t"`
	Worker     string     `json:"worker"`
	Event      Event      `json:"event"`
	Request    string     `json:"inference,omitempty"`
	Attempt    int        `json:"forward,omitempty"`
	Dispatcher string     `json:"dispatcher,omitempty"`
	Key        string     `json:"key,omitempty"`
	Group      string     `json:"group,omitempty"`
	Model      string     `json:"model,omitempty"`
	ModelState ModelState `json:"found,omitempty"`
	Ran        bool       `json:"ran,omitempty"` // the request had begun to run before it ended
	Why        string     `json:"why,omitempty"` // one of the Why constants
}

// The reasons in Record.Why and in the Mastchute-Why header.
const (
	WhyFull  = "full"
	WhyMiss  = "miss"
	WhyError = "error" // in records only
)

// SetRequest sets the fields that come from the request.
func (rec *Record) SetRequest(r *Request) {
	rec.Model = r.Model
	rec.Group = r.Group
	rec.Key = r.IdempotencyKey
	rec.ModelState = r.ModelState
	rec.Ran = r.StartedAt > 0
	switch r.Outcome {
	case RejectedFull:
		rec.Why = WhyFull
	case RejectedMiss:
		rec.Why = WhyMiss
	case Errored:
		rec.Why = WhyError
	}
}
