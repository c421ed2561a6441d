package emulator

// Spec describes a fleet of emulated workers. Durations are in seconds, memory is in MB. The JSON names are those of
// the file that `mastchute standin --spec` reads.
type Spec struct {
	Workers []WorkerSpec
	Models  []ModelSpec
	Store   StoreSpec
	Seed    uint64
}

// MissPolicy selects what a worker does with a request for a model that it has no replica of.
type MissPolicy string

const (
	// LoadOnMiss loads a replica while the request waits.
	LoadOnMiss MissPolicy = "load"
	// RejectOnMiss rejects the request with RejectedMiss.
	RejectOnMiss MissPolicy = "miss"
)

// DedupScope selects the workers among which duplicates of an idempotency key are dropped. The empty scope counts as
// DedupAll.
type DedupScope string

const (
	// DedupAll deduplicates over the whole fleet.
	DedupAll DedupScope = "all"
	// DedupZone deduplicates among the workers of one zone.
	DedupZone DedupScope = "zone"
	// DedupCell deduplicates among the workers of one cell of a zone.
	DedupCell DedupScope = "cell"
)

// WorkerSpec describes one worker.
type WorkerSpec struct {
	Name, Zone, Cell  string
	Cores             float64    // requests that can run at full speed at the same time
	Speed             float64    // of one core; 1 is the reference speed
	MemoryMB          float64    // for model replicas
	QueueLimit        int        `json:"Queue"` // requests that may wait; more are rejected as full
	ConcurrentLoads   int        `json:"Loads"` // model loads that may run at the same time
	OnMiss            MissPolicy `json:"OnMiss"`
	IdleTimeout       float64    `json:"Keep"` // seconds until an idle replica is unloaded; 0 keeps it
	CachesImages      bool       `json:"Disk"` // cached images survive a restart, so that a load needs no fetch
	StopsCancelled    bool       `json:"StopsCancelled"`
	SlowStartCapacity float64    `json:"ColdShare"` // fraction of full capacity right after a start
	SlowStartDuration float64    `json:"WarmAfter"` // seconds of slow start until full capacity
	OverloadFactor    float64    `json:"Overload"`  // multiple of its current capacity at which a worker in slow start crashes
	OverloadWindow    float64    `json:"Fall"`      // seconds over which that multiple is measured
	DedupWindow       float64    // seconds during which duplicates of an idempotency key are dropped
	DedupScope        DedupScope
}

// ModelSpec describes models by name or pattern; the first spec that matches a name applies.
type ModelSpec struct {
	Name          string
	Group         string
	MemoryMB      float64
	Concurrency   int        `json:"Lanes"` // requests that one replica runs at the same time
	MeanWork      float64    `json:"Work"`  // mean seconds of one core for a request
	FetchTime     float64    `json:"Fetch"` // seconds to fetch an image from the store
	BootTime      float64    `json:"Boot"`  // seconds to start a replica on the worker after the fetch
	Deduped       bool       `json:"Deduped"`
	DedupWindow   float64    `json:"Window"` // seconds; 0 uses the worker's
	DedupScope    DedupScope `json:"Scope"`  // empty uses the worker's
	ResponseBytes int        `json:"AnswerBytes"`
}

// StoreSpec describes the model store that all workers share.
type StoreSpec struct {
	Slots int // concurrent fetches at full speed; more share that speed
	Limit int // concurrent fetches; more are rejected
}
