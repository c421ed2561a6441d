// Package config reads the settings of a dispatcher from YAML, checks them, and turns them into what the decisions
// are told (control.Settings). Nothing is guessed: what is unknown, out of range, contradictory or named twice is
// refused with its line and column and with what to write instead.
package config

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"mastchute/control"
)

// Config is a whole settings file. docs/operators.md describes each setting.
type Config struct {
	Name        string   `yaml:"name"`
	Listen      string   `yaml:"listen"`
	Admin       string   `yaml:"admin"`
	Seed        uint64   `yaml:"seed"`
	Dispatchers int      `yaml:"dispatchers"`
	Tick        Duration `yaml:"tick"`
	StopGrace   Duration `yaml:"stop_grace"`
	Log         Log      `yaml:"log"`
	Groups      []Group  `yaml:"groups"`
	Tenants     []Tenant `yaml:"tenants"`
	Models      []Model  `yaml:"models"`
	Workers     []Worker `yaml:"workers"`
	Roster      Roster   `yaml:"roster"`
	Rules       Rules    `yaml:"rules"`
	Loads       Loads    `yaml:"loads"`
	Attempts    Attempts `yaml:"forwards"`
	Report      []string `yaml:"load_report"`
	Limits      Limits   `yaml:"limits"`
}

// Log says what is logged and how.
type Log struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
	Sample int    `yaml:"sample"` // one final answer of so many is logged at info level; 0 logs none
}

// Group is a model group: models with the same promises.
type Group struct {
	Name    string   `yaml:"name"`
	Effect  string   `yaml:"effect"`
	Scope   string   `yaml:"scope"`
	Window  Duration `yaml:"window"`
	SLO     Duration `yaml:"slo"`
	Timeout Duration `yaml:"timeout"`
	Value   float64  `yaml:"value"`
	Stretch float64  `yaml:"slo_stretch"` // the SLO time is longer by so much of a request's own work
}

// Tenant has a share of the traffic.
type Tenant struct {
	Name  string  `yaml:"name"`
	Quota float64 `yaml:"quota"` // requests a second through all dispatchers; 0 for no share
}

// Model is one model, or by a pattern several. The first that fits holds.
type Model struct {
	Name   string   `yaml:"name"`
	Group  string   `yaml:"group"`
	Memory Size     `yaml:"memory"`
	Lanes  float64  `yaml:"lanes"`
	Load   Duration `yaml:"load"`
}

// Worker is one worker.
type Worker struct {
	Name    string  `yaml:"name"`
	Address string  `yaml:"address"`
	Zone    string  `yaml:"zone"`
	Cell    string  `yaml:"cell"`
	Kind    string  `yaml:"kind"`
	Weight  float64 `yaml:"weight"`
	State   string  `yaml:"state"`
}

// Roster says where workers are learned from, beside the settings file itself.
type Roster struct {
	Discovery string   `yaml:"discovery"`
	File      string   `yaml:"file"`
	Every     Duration `yaml:"every"`
}

// Rules are the figures of the five rules.
type Rules struct {
	DrainGrace     Duration `yaml:"drain_grace"`
	ColdShare      float64  `yaml:"cold_share"`
	WarmAfter      Duration `yaml:"warm_after"`
	OverloadFactor float64  `yaml:"overload_factor"`
	Fall           Duration `yaml:"fall"`
	AskEvery       Duration `yaml:"ask_every"`
}

// Loads say how models come to workers.
type Loads struct {
	OnMiss  string   `yaml:"on_miss"`
	Orders  bool     `yaml:"orders"`
	Keep    Duration `yaml:"keep"`
	Timeout Duration `yaml:"timeout"`
	Window  Duration `yaml:"window"`
	Few     float64  `yaml:"few"`
	Share   float64  `yaml:"share"`
}

// Attempts say what may be done for one request.
type Attempts struct {
	Most          int      `yaml:"most"`
	Hedging       bool     `yaml:"second_copies"`
	Cancel        bool     `yaml:"cancel"`
	Probes        bool     `yaml:"probes"`
	ProbePrice    float64  `yaml:"probe_price"` // of a request's value
	MaxRetryAfter Duration `yaml:"max_retry_after"`
}

// Limits bound what the process holds.
type Limits struct {
	Connections       int      `yaml:"connections"`
	Requests          int      `yaml:"inferences"`
	Body              Size     `yaml:"body"`
	Memory            Size     `yaml:"memory"`
	Answer            Size     `yaml:"answer"`
	Head              Size     `yaml:"head"`
	IdleTimeout       Duration `yaml:"idle_timeout"`
	HeadTimeout       Duration `yaml:"head_timeout"`
	BodyTimeout       Duration `yaml:"body_timeout"`
	WorkerConnections int      `yaml:"worker_connections"`
	WorkerIdle        int      `yaml:"worker_idle"`
	WorkerIdleTimeout Duration `yaml:"worker_idle_timeout"`
	ConnectTimeout    Duration `yaml:"connect_timeout"`
}

// Default are the settings that hold where nothing is written: they suit one machine.
func Default() Config {
	return Config{
		Name: "d0", Listen: "127.0.0.1:8080", Admin: "127.0.0.1:8081", Dispatchers: 1, Tick: S(0.001), StopGrace: S(10),
		Log:    Log{Level: "info", Format: "text", Sample: 1000},
		Roster: Roster{Discovery: "push", Every: S(1)},
		Rules: Rules{DrainGrace: S(1), ColdShare: 0.2, WarmAfter: S(15), OverloadFactor: 2, Fall: S(1),
			AskEvery: S(10)},
		Loads:    Loads{OnMiss: "load", Orders: true, Keep: S(8), Timeout: S(10)},
		Attempts: Attempts{Most: 3, Hedging: true, Cancel: true, MaxRetryAfter: S(1)},
		Report:   []string{"inflight", "queue"},
		Limits: Limits{Connections: 16000, Requests: 20000, Body: B(8 << 20), Memory: B(512 << 20), Answer: B(1 << 20),
			Head: B(32 << 10), IdleTimeout: S(60), HeadTimeout: S(10), BodyTimeout: S(30), WorkerConnections: 256,
			WorkerIdle: 64, WorkerIdleTimeout: S(15), ConnectTimeout: S(0.25)},
	}
}

// Load reads and checks a settings file. The error is Problems.
func Load(file string) (*Config, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse reads and checks settings; file is for messages only.
func Parse(file string, text []byte) (*Config, error) {
	c := Default()
	s, err := Decode(file, text, &c)
	if err != nil {
		return nil, err
	}
	if len(s.out) > 0 { // spans that cannot be read would only bring more of the same
		return nil, s.out
	}
	c.check(s, "$")
	if len(s.out) > 0 {
		return nil, s.out
	}
	return &c, nil
}

// ParseWorkers reads a file of workers: a mapping with one key, workers.
func ParseWorkers(file string, text []byte) ([]Worker, error) {
	var c struct {
		Workers []Worker `yaml:"workers"`
	}
	s, err := Decode(file, text, &c)
	if err != nil {
		return nil, err
	}
	checkWorkers(s, "$", c.Workers)
	if len(s.out) > 0 {
		return nil, s.out
	}
	return c.Workers, nil
}

// LoadWorkers reads a file of workers.
func LoadWorkers(file string) ([]Worker, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseWorkers(file, text)
}

// ModelID is the id of a model by its name: the same in every dispatcher, after every start.
func ModelID(name string) control.ModelID { return control.ModelID(xxhash.Sum64String(name)) }

// WorkerID is the id of a worker by its name.
func WorkerID(name string) control.WorkerID { return control.WorkerID(xxhash.Sum64String(name)) }

// Settings returns the settings that the decisions read.
func (c *Config) Settings() control.Settings {
	s := control.Settings{
		Tick:        control.Some(c.Tick.Seconds),
		Dispatchers: float64(c.Dispatchers),
		Discovery: control.DiscoverySettings{
			Mode:       control.ParseDiscoveryMode(c.Roster.Discovery),
			BackoffMax: c.Rules.AskEvery.Seconds,
		},
		SlowStart: control.SlowStartSettings{
			InitialCapacity: control.Some(c.Rules.ColdShare),
			Duration:        c.Rules.WarmAfter.Seconds,
			OverloadFactor:  c.Rules.OverloadFactor,
			OverloadWindow:  c.Rules.Fall.Seconds,
		},
		Loads: control.LoadSettings{
			OnMiss:     control.ParseMissPolicy(c.Loads.OnMiss),
			Orders:     c.Loads.Orders,
			KeepAlive:  control.Some(c.Loads.Keep.Seconds),
			Window:     c.Loads.Window.Seconds,
			Base:       c.Loads.Few,
			PerRequest: c.Loads.Share,
		},
		Attempts: control.AttemptSettings{Max: float64(c.Attempts.Most), Hedging: c.Attempts.Hedging, Cancel: c.Attempts.Cancel},
		Probes:   control.ProbeSettings{Allowed: c.Attempts.Probes, Price: c.Attempts.ProbePrice},
		RetryAfter: control.RetryAfterSettings{
			Allowed: c.Attempts.MaxRetryAfter.Seconds > 0,
			Max:     c.Attempts.MaxRetryAfter.Seconds,
		},
		LoadReportFields: slices.Clone(c.Report),
	}
	for _, g := range c.Groups {
		s.Groups = append(s.Groups, control.GroupSettings{
			Effect:     control.ParseEffect(g.Effect),
			Scope:      control.ParseDedupScope(g.Scope),
			Window:     g.Window.Seconds,
			SLO:        control.Some(g.SLO.Seconds),
			SLOStretch: g.Stretch,
			Timeout:    control.Some(g.Timeout.Seconds),
		})
	}
	for _, t := range c.Tenants {
		tenant := control.TenantSettings{}
		if t.Quota > 0 {
			tenant.Quota = control.Some(t.Quota)
		}
		s.Tenants = append(s.Tenants, tenant)
	}
	return s
}

// Changed lists the settings that differ and cannot be changed while the program runs.
func (c *Config) Changed(n *Config) []string {
	var out []string
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == n.Name}, {"listen", c.Listen == n.Listen}, {"admin", c.Admin == n.Admin}, {"seed", c.Seed == n.Seed},
		{"dispatchers", c.Dispatchers == n.Dispatchers}, {"tick", c.Tick.Seconds == n.Tick.Seconds},
		{"log.format", c.Log.Format == n.Log.Format}, {"groups", slices.Equal(c.Groups, n.Groups)},
		{"tenants", slices.Equal(c.Tenants, n.Tenants)}, {"roster.discovery", c.Roster.Discovery == n.Roster.Discovery},
		{"rules", c.Rules == n.Rules}, {"loads", c.Loads == n.Loads}, {"forwards", c.Attempts == n.Attempts},
		{"load_report", slices.Equal(c.Report, n.Report)}, {"limits", c.Limits == n.Limits},
	} {
		if !f.same {
			out = append(out, f.name)
		}
	}
	return out
}
