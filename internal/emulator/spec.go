package emulator

// Spec describes a fleet. Spans are seconds, memory is MB.
type Spec struct {
	Workers []WorkerSpec
	Models  []ModelSpec
	Store   StoreSpec
	Seed    uint64
}

// WorkerSpec describes one worker.
type WorkerSpec struct {
	Name, Zone, Cell string
	Cores            float64 // requests that run at full speed at once
	Speed            float64 // of a core
	MemoryMB         float64 // for copies
	Queue            int     // requests that may wait there; more are turned away as full
	Loads            int     // loads at a time
	OnMiss           string  // "load" while the request waits, or "miss"
	Keep             float64 // s an idle copy stays
	Disk             bool    // keeps images, which spare the fetch
	StopsCancelled   bool    // work of a connection that was closed stops
	ColdShare        float64 // of capacity right after a start
	WarmAfter        float64 // s until full capacity
	Overload, Fall   float64 // sent more than so many times its present capacity for so long, a cold worker falls over
	DedupWindow      float64 // s for which repeats of a mark are dropped
	DedupScope       string  // among "all" workers, those of its "zone" or of its "cell"
}

// ModelSpec describes models by name or pattern; the first that fits holds.
type ModelSpec struct {
	Name        string
	Group       string
	MemoryMB    float64
	Lanes       int
	Work        float64 // s of a core, mean
	Fetch, Boot float64 // s of a load: from the store, and on the worker
	Deduped     bool
	Window      float64 // s for which repeats of a mark are dropped; 0: the worker's
	Scope       string  // among which workers; empty: the worker's
	AnswerBytes int
}

// StoreSpec describes the shared store.
type StoreSpec struct {
	Slots int // fetches at full speed at once; more share it
	Limit int // fetches at once; more are turned away
}

// Fault is a trouble of a worker, a set of workers, or the store.
type Fault struct {
	Kind   string  // see Kinds
	Worker string  // name or pattern; empty for all
	Share  float64 // of requests hit, 0 to 1; 0 means all
	Factor float64 // of slowness
	Span   float64 // s it lasts
	What   string  // the tenant or model group meant
	since  float64
	until  float64
}

// Kinds are the troubles known, each with what it does.
var Kinds = map[string]string{
	"fast_errors":   "answers 500 at once to a share of inferences",
	"hang":          "takes inferences and answers none",
	"vanish":        "goes away with its connections and comes back cold under its name",
	"slow":          "works slower by the factor",
	"pauses":        "stands still for 0.3 s in every second",
	"ageing":        "works slower and slower, then vanishes for 3 s",
	"flush":         "loses all copies and images, once",
	"report_late":   "repeats the load report of when it began",
	"slow_connect":  "answers nothing on a new connection for its first 0.2 s",
	"refuse_tenant": "turns one tenant's inferences away as full",
	"silent_group":  "takes one model group's inferences and answers none",
	"store_slow":    "the store is slower by the factor",
	"reset":         "resets the connection in mid-answer for a share of inferences",
	"cut":           "cuts a share of the answers short",
}
