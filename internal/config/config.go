// Package config reads the settings of a dispatcher from YAML, validates them and converts them to control.Settings.
// Validation is strict: an unknown or duplicate key, or a value that is out of range or contradicts another, is
// reported as a Problem, which gives its line and column and what to write instead. An invalid value never falls back
// to a default.
package config

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"mastchute/control"
)

const retryAfterResolution = 1.0 // s, of the Retry-After header of HTTP/1.1

// Config holds the settings of a dispatcher. docs/operators.md describes each setting; the comments here give units and
// what the field's name and key do not say. A Config is not modified after Load or Parse has returned it.
type Config struct {
	Name             string    `yaml:"name"` // prefix of this dispatcher's request ids
	Listen           string    `yaml:"listen"`
	Admin            string    `yaml:"admin"` // address, or "off"
	Seed             uint64    `yaml:"seed"`  // of random decisions; 0 takes a seed from the clock
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
	Sample int    `yaml:"sample"` // every Sample-th response is logged at info level; 0 logs none
}

// Group is a model group: models with the same latency objective, timeout and effect of a repeated execution.
type Group struct {
	Name          string   `yaml:"name"`
	Effect        string   `yaml:"effect"` // of executing a request a second time
	DedupScope    string   `yaml:"scope"`  // deduped only: which workers share idempotency keys
	DedupWindow   Duration `yaml:"window"` // deduped only: how long workers drop repeats of a request
	SLO           Duration `yaml:"slo"`
	Timeout       Duration `yaml:"timeout"`
	ServiceWeight float64  `yaml:"value"`       // weight of a request in the lab's service figure only
	SLOStretch    float64  `yaml:"slo_stretch"` // extends the latency objective by this multiple of a request's own work
}

// Tenant is a group of clients with a quota.
type Tenant struct {
	Name  string  `yaml:"name"`
	Quota float64 `yaml:"quota"` // requests per second across all dispatchers; 0 for no quota
}

// Model describes one model, or all models that match if its name is a pattern. The first entry that matches a model's
// name applies.
type Model struct {
	Name        string   `yaml:"name"`
	Group       string   `yaml:"group"`
	Memory      Size     `yaml:"memory"` // of a loaded replica; 0 if unknown
	Concurrency float64  `yaml:"lanes"`  // requests that a replica runs concurrently; 0 if unknown
	LoadTime    Duration `yaml:"load"`   // time to load a replica; 0 if unknown
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

// Discovery holds the settings of discovery, the source of the endpoint list in addition to Config.Workers.
type Discovery struct {
	Mode         string   `yaml:"discovery"` // push; or ask, where changes are delivered only after a subscription
	WorkerFile   string   `yaml:"file"`      // path of the worker file, "" for none
	PollInterval Duration `yaml:"every"`     // of the worker file
	MaxDelay     Duration `yaml:"delay"`     // from the start of a worker process at an address until the list shows it, at most
}

// Rules holds the parameters of the platform's rules for draining workers, slow start and discovery.
type Rules struct {
	DrainGrace          Duration `yaml:"drain_grace"`     // for sending requests to a worker after it drains or is gone
	SlowStartCapacity   float64  `yaml:"cold_share"`      // initial capacity in slow start, as a fraction of full capacity
	SlowStartDuration   Duration `yaml:"warm_after"`      // time from a worker's start to its full capacity
	OverloadFactor      float64  `yaml:"overload_factor"` // a worker is overloaded above this multiple of its current capacity
	OverloadWindow      Duration `yaml:"fall"`            // a worker in slow start fails after being overloaded for this long
	MaxDiscoveryBackoff Duration `yaml:"ask_every"`       // maximum backoff between requests to discovery
}

// Loads holds the settings of model loads.
type Loads struct {
	OnMiss           string   `yaml:"on_miss"` // what a worker does with a request for a model that is not loaded
	SendLoadRequests bool     `yaml:"orders"`  // the dispatcher may send load requests
	KeepAlive        Duration `yaml:"keep"`    // minimum time for which a worker keeps an idle model loaded
	Timeout          Duration `yaml:"timeout"` // of a load request
	BudgetWindow     Duration `yaml:"window"`  // sliding window of the load budget; 0 for no budget
	BudgetBase       float64  `yaml:"few"`     // load requests allowed per window
	BudgetPerRequest float64  `yaml:"share"`   // additional load requests allowed for each request that arrived in the window
}

// Attempts holds the limits on attempts, probes and Retry-After.
type Attempts struct {
	Max           int      `yaml:"most"`            // attempts per request
	Hedging       bool     `yaml:"second_copies"`   // allows hedged requests
	Cancel        bool     `yaml:"cancel"`          // allows attempts that are no longer needed to be cancelled
	Probes        bool     `yaml:"probes"`          // allows probes
	ProbePrice    float64  `yaml:"probe_price"`     // cost of a probe, as a fraction of a request's value
	MaxRetryAfter Duration `yaml:"max_retry_after"` // 0 sends no Retry-After
}

// Limits bounds the connections, requests and memory of the process.
type Limits struct {
	Connections              int      `yaml:"connections"` // of clients
	Requests                 int      `yaml:"inferences"`  // in flight
	Body                     Size     `yaml:"body"`        // of one request's body
	Memory                   Size     `yaml:"memory"`      // of all request bodies
	Response                 Size     `yaml:"answer"`      // a longer response is streamed rather than buffered
	Head                     Size     `yaml:"head"`        // of one request's head
	IdleTimeout              Duration `yaml:"idle_timeout"`
	HeadTimeout              Duration `yaml:"head_timeout"`
	BodyTimeout              Duration `yaml:"body_timeout"`       // between two reads of a body
	WorkerConnections        int      `yaml:"worker_connections"` // to each worker
	MaxIdleWorkerConnections int      `yaml:"worker_idle"`        // idle connections to each worker
	WorkerIdleTimeout        Duration `yaml:"worker_idle_timeout"`
	ConnectTimeout           Duration `yaml:"connect_timeout"` // for a connection to a worker
}

// ModelID returns the id of the model with the given name. It is the same in all dispatchers and across restarts.
func ModelID(name string) control.ModelID { return control.ModelID(xxhash.Sum64String(name)) }

// WorkerID returns the id of the worker with the given name. It is the same in all dispatchers and across restarts.
func WorkerID(name string) control.WorkerID { return control.WorkerID(xxhash.Sum64String(name)) }

// Settings returns the settings of the control module.
func (c *Config) Settings() control.Settings {
	settings := control.Settings{
		Tick:        control.Some(c.Tick.Seconds),
		Dispatchers: float64(c.Dispatchers),
		Discovery: control.DiscoverySettings{
			Mode:       control.ParseDiscoveryMode(c.Discovery.Mode),
			MaxBackoff: c.Rules.MaxDiscoveryBackoff.Seconds,
		},
		SlowStart: control.SlowStartSettings{
			InitialCapacity: control.Some(c.Rules.SlowStartCapacity),
			Duration:        c.Rules.SlowStartDuration.Seconds,
			OverloadFactor:  c.Rules.OverloadFactor,
			OverloadWindow:  c.Rules.OverloadWindow.Seconds,
		},
		Loads: control.LoadSettings{
			OnMiss:          control.ParseMissPolicy(c.Loads.OnMiss),
			RequestsAllowed: c.Loads.SendLoadRequests,
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

			Resolution: retryAfterResolution,
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

// RestartRequired returns the names of the settings that differ in next and take effect only after a restart.
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
		{"roster.delay", c.Discovery.MaxDelay == next.Discovery.MaxDelay},
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
