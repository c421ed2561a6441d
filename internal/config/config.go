// Package config reads the settings of a dispatcher from YAML, checks them and converts them to control.Settings. It is
// strict: a key that is unknown, or a value that is out of range, contradictory or given twice is a Problem with its line
// and column and with what to write instead. There is no fallback for a value that cannot be used.
package config

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"mastchute/control"
)

// Config holds the settings of a dispatcher. docs/operators.md describes each of them; the comments here name units and
// whatever a key leaves open. A Config that Load or Parse returned is not changed afterwards.
type Config struct {
	Name             string    `yaml:"name"` // begins the ids of this dispatcher's requests
	Listen           string    `yaml:"listen"`
	Admin            string    `yaml:"admin"` // address, or "off"
	Seed             uint64    `yaml:"seed"`  // of random decisions; 0 for one from the clock
	Dispatchers      int       `yaml:"dispatchers"`
	Tick             Duration  `yaml:"tick"`
	StopGrace        Duration  `yaml:"stop_grace"`
	Log              Log       `yaml:"log"`
	Groups           []Group   `yaml:"groups"`
	Tenants          []Tenant  `yaml:"tenants"`
	Models           []Model   `yaml:"models"`
	Workers          []Worker  `yaml:"workers"`
	Discovery        Discovery `yaml:"roster"`
	Rules            Rules     `yaml:"rules"`
	Loads            Loads     `yaml:"loads"`
	Attempts         Attempts  `yaml:"forwards"`
	LoadReportFields []string  `yaml:"load_report"` // the fields of a worker's load report, in order
	Limits           Limits    `yaml:"limits"`
}

// Log holds the settings of the log.
type Log struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
	Sample int    `yaml:"sample"` // one response of so many is logged at info level; 0 logs none
}

// Group is a model group: models with the same latency objective, timeout and effect of a repetition.
type Group struct {
	Name           string   `yaml:"name"`
	Effect         string   `yaml:"effect"` // what a second run of a request does
	DedupScope     string   `yaml:"scope"`  // deduped only: the workers that share their idempotency keys
	DedupWindow    Duration `yaml:"window"` // deduped only: workers drop a repetition for so long
	SLO            Duration `yaml:"slo"`
	Timeout        Duration `yaml:"timeout"`
	PriorityWeight float64  `yaml:"value"`       // priority weight of a request
	SLOStretch     float64  `yaml:"slo_stretch"` // the latency objective grows by this multiple of a request's own work
}

// Tenant is a group of clients with a quota.
type Tenant struct {
	Name  string  `yaml:"name"`
	Quota float64 `yaml:"quota"` // requests a second through all dispatchers; 0 for no quota
}

// Model describes one model or, if its name is a pattern, several. The first entry that matches a model's name applies.
type Model struct {
	Name        string   `yaml:"name"`
	Group       string   `yaml:"group"`
	Memory      Size     `yaml:"memory"` // of a loaded replica; 0 if unknown
	Concurrency float64  `yaml:"lanes"`  // requests that a replica runs at a time; 0 if unknown
	LoadTime    Duration `yaml:"load"`   // time to load it; 0 if unknown
}

// Worker is an entry of the endpoint list.
type Worker struct {
	Name    string  `yaml:"name"`
	Address string  `yaml:"address"`
	Zone    string  `yaml:"zone"`
	Cell    string  `yaml:"cell"`
	Kind    string  `yaml:"kind"`
	Weight  float64 `yaml:"weight"`
	State   string  `yaml:"state"` // "" for ready
}

// Discovery holds the settings of discovery: where the endpoint list comes from, beside Config.Workers.
type Discovery struct {
	Mode         string   `yaml:"discovery"` // push, or ask: changes are delivered only after a subscription
	WorkerFile   string   `yaml:"file"`      // worker file, "" for none
	PollInterval Duration `yaml:"every"`     // poll interval of the worker file
}

// Rules holds the parameters of the platform's rules on draining workers, slow start and discovery.
type Rules struct {
	DrainGrace          Duration `yaml:"drain_grace"`     // requests may be sent to a worker for so long after it drains or is gone
	SlowStartCapacity   float64  `yaml:"cold_share"`      // initial capacity in slow start, as a share of the full one
	SlowStartDuration   Duration `yaml:"warm_after"`      // duration of slow start
	OverloadFactor      float64  `yaml:"overload_factor"` // a worker is overloaded beyond this multiple of its present capacity
	OverloadWindow      Duration `yaml:"fall"`            // a worker in slow start that is overloaded for so long fails
	DiscoveryBackoffMax Duration `yaml:"ask_every"`       // longest backoff between two requests to discovery
}

// Loads holds the settings of model loads.
type Loads struct {
	OnMiss           string   `yaml:"on_miss"` // what a worker does with a request for a model that it has not loaded
	SendLoadCalls    bool     `yaml:"orders"`  // the dispatcher may send load calls
	KeepAlive        Duration `yaml:"keep"`    // a worker keeps an idle model for at least so long
	Timeout          Duration `yaml:"timeout"` // of a load call
	BudgetWindow     Duration `yaml:"window"`  // sliding window of the budget of load calls; 0 for no budget
	BudgetBase       float64  `yaml:"few"`     // load calls allowed in a window
	BudgetPerRequest float64  `yaml:"share"`   // load calls allowed on top for each request that arrived in the window
}

// Attempts holds the limits on what is sent to workers for one request.
type Attempts struct {
	Max           int      `yaml:"most"`          // attempts of one request
	Hedging       bool     `yaml:"second_copies"` // hedged requests are allowed
	Cancel        bool     `yaml:"cancel"`        // attempts that are no longer needed may be cancelled
	Probes        bool     `yaml:"probes"`        // health checks are allowed
	ProbePrice    float64  `yaml:"probe_price"`   // cost of a health check, as a share of a request's value
	MaxRetryAfter Duration `yaml:"max_retry_after"`
}

// Limits bounds the connections, requests and memory that the process holds.
type Limits struct {
	Connections              int      `yaml:"connections"` // of clients
	Requests                 int      `yaml:"inferences"`  // in flight
	Body                     Size     `yaml:"body"`        // of one request
	Memory                   Size     `yaml:"memory"`      // of all request bodies
	Response                 Size     `yaml:"answer"`      // a longer response is streamed rather than buffered
	Head                     Size     `yaml:"head"`        // of a request
	IdleTimeout              Duration `yaml:"idle_timeout"`
	HeadTimeout              Duration `yaml:"head_timeout"`
	BodyTimeout              Duration `yaml:"body_timeout"`       // between two pieces of a body
	WorkerConnections        int      `yaml:"worker_connections"` // to each worker
	MaxIdleWorkerConnections int      `yaml:"worker_idle"`        // idle connections to each worker
	WorkerIdleTimeout        Duration `yaml:"worker_idle_timeout"`
	ConnectTimeout           Duration `yaml:"connect_timeout"` // to a worker
}

// ModelID returns the id of the model with a name: the same in every dispatcher, after every start.
func ModelID(name string) control.ModelID { return control.ModelID(xxhash.Sum64String(name)) }

// WorkerID returns the id of the worker with a name.
func WorkerID(name string) control.WorkerID { return control.WorkerID(xxhash.Sum64String(name)) }

// Settings returns the settings that the decisions read.
func (c *Config) Settings() control.Settings {
	settings := control.Settings{
		Tick:        control.Some(c.Tick.Seconds),
		Dispatchers: float64(c.Dispatchers),
		Discovery: control.DiscoverySettings{
			Mode:       control.ParseDiscoveryMode(c.Discovery.Mode),
			BackoffMax: c.Rules.DiscoveryBackoffMax.Seconds,
		},
		SlowStart: control.SlowStartSettings{
			InitialCapacity: control.Some(c.Rules.SlowStartCapacity),
			Duration:        c.Rules.SlowStartDuration.Seconds,
			OverloadFactor:  c.Rules.OverloadFactor,
			OverloadWindow:  c.Rules.OverloadWindow.Seconds,
		},
		Loads: control.LoadSettings{
			OnMiss:          control.ParseMissPolicy(c.Loads.OnMiss),
			RequestsAllowed: c.Loads.SendLoadCalls,
			KeepAlive:       control.Some(c.Loads.KeepAlive.Seconds),
			Window:          c.Loads.BudgetWindow.Seconds,
			Base:            c.Loads.BudgetBase,
			PerRequest:      c.Loads.BudgetPerRequest,
		},
		Attempts: control.AttemptSettings{Max: float64(c.Attempts.Max), Hedging: c.Attempts.Hedging, Cancel: c.Attempts.Cancel},
		Probes:   control.ProbeSettings{Allowed: c.Attempts.Probes, Price: c.Attempts.ProbePrice},
		RetryAfter: control.RetryAfterSettings{
			Allowed: c.Attempts.MaxRetryAfter.Seconds > 0,
			Max:     c.Attempts.MaxRetryAfter.Seconds,
		},
		LoadReportFields: slices.Clone(c.LoadReportFields),
	}
	for _, group := range c.Groups {
		settings.Groups = append(settings.Groups, control.GroupSettings{
			Effect:     control.ParseEffect(group.Effect),
			Scope:      control.ParseDedupScope(group.DedupScope),
			Window:     group.DedupWindow.Seconds,
			SLO:        control.Some(group.SLO.Seconds),
			SLOStretch: group.SLOStretch,
			Timeout:    control.Some(group.Timeout.Seconds),
		})
	}
	for _, t := range c.Tenants {
		tenant := control.TenantSettings{}
		if t.Quota > 0 {
			tenant.Quota = control.Some(t.Quota)
		}
		settings.Tenants = append(settings.Tenants, tenant)
	}
	return settings
}

// RestartRequired returns the settings that differ in next and take effect only after a restart.
func (c *Config) RestartRequired(next *Config) []string {
	var changed []string
	for _, setting := range []struct {
		name      string
		unchanged bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"admin", c.Admin == next.Admin},
		{"seed", c.Seed == next.Seed},
		{"dispatchers", c.Dispatchers == next.Dispatchers},
		{"tick", c.Tick.Seconds == next.Tick.Seconds},
		{"log.format", c.Log.Format == next.Log.Format},
		{"groups", slices.Equal(c.Groups, next.Groups)},
		{"tenants", slices.Equal(c.Tenants, next.Tenants)},
		{"roster.discovery", c.Discovery.Mode == next.Discovery.Mode},
		{"rules", c.Rules == next.Rules},
		{"loads", c.Loads == next.Loads},
		{"forwards", c.Attempts == next.Attempts},
		{"load_report", slices.Equal(c.LoadReportFields, next.LoadReportFields)},
		{"limits", c.Limits == next.Limits},
	} {
		if !setting.unchanged {
			changed = append(changed, setting.name)
		}
	}
	return changed
}
