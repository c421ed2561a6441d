// Package config reads the settings of a dispatcher from YAML, checks them, and turns them into what the decisions
// are told (control.Settings). Nothing is guessed: what is unknown, out of range, contradictory or named twice is
// refused with its line and column and with what to write instead.
package config

import (
	"fmt"
	"math"
	"net/netip"
	"path"
	"slices"
	"strconv"
	"strings"

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

// Check reports all faults of settings that stand at a path of a larger file, such as $.settings.
func (c *Config) Check(s *Source, at string) { c.check(s, at) }

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

const (
	mostGroups  = 256
	mostWorkers = 10000
)

func (c *Config) check(s *Source, root string) {
	oneOf := func(path, v string, allowed ...string) {
		if !slices.Contains(allowed, v) {
			s.At(path, "%q is not known: write %s", v, strings.Join(allowed, ", "))
		}
	}
	between := func(path string, v, low, high float64, unit string) {
		if !(v >= low && v <= high) {
			s.At(path, "%g%s is out of range: write %g%s to %g%s", v, unit, low, unit, high, unit)
		}
	}
	span := func(path string, d Duration, low, high float64) { between(path, d.Seconds, low, high, "s") }
	for _, a := range []struct{ path, v string }{{root + ".listen", c.Listen}, {root + ".admin", c.Admin}} {
		if _, err := netip.ParseAddrPort(a.v); err != nil && !(a.path == root+".admin" && a.v == "off") {
			s.At(a.path, "%q is no address: write IP:PORT, such as 127.0.0.1:8080 or [::1]:8080", a.v)
		}
	}
	if c.Listen == c.Admin && !strings.HasSuffix(c.Listen, ":0") {
		s.At(root+".admin", "is the same address as listen: write another port, or off")
	}
	if !plain(c.Name) {
		s.At(root+".name", "%q: write letters, digits, dots, dashes and underscores only", c.Name)
	}
	between(root+".dispatchers", float64(c.Dispatchers), 1, 10000, "")
	span(root+".tick", c.Tick, 0.0001, 0.1)
	span(root+".stop_grace", c.StopGrace, 0, 3600)
	oneOf(root+".log.level", c.Log.Level, "debug", "info", "warn", "error")
	oneOf(root+".log.format", c.Log.Format, "json", "text")
	between(root+".log.sample", float64(c.Log.Sample), 0, 1e9, "")

	if len(c.Groups) == 0 {
		s.At(root+".groups", "there is none: write at least one model group, with name, effect, slo and timeout")
	}
	between(root+".groups", float64(len(c.Groups)), 0, mostGroups, "")
	groups := map[string]int{}
	for i := range c.Groups {
		g, at := &c.Groups[i], fmt.Sprintf("%s.groups[%d]", root, i)
		unique(s, at+".name", g.Name, groups, i)
		oneOf(at+".effect", g.Effect, "retriable", "deduped", "non-retriable")
		span(at+".slo", g.SLO, 0.001, 3600)
		span(at+".timeout", g.Timeout, 0.05, 3600)
		if g.SLO.Seconds > g.Timeout.Seconds {
			s.At(at+".slo", "%gs is longer than the timeout of %gs: nothing could be late", g.SLO.Seconds, g.Timeout.Seconds)
		}
		if g.Effect == "deduped" {
			oneOf(at+".scope", g.Scope, "all", "zone", "cell")
			if g.Window.Seconds <= 0 {
				s.At(at+".window", "is missing: write for how long workers drop a repeat, such as 4s")
			}
		} else if g.Scope != "" || g.Window.Seconds > 0 {
			s.At(at+".effect", "scope and window are for deduped groups only: leave them out, or write effect: deduped")
		}
		between(at+".slo_stretch", g.Stretch, 0, 1e6, "")
		if g.Value < 0 || math.IsNaN(g.Value) {
			s.At(at+".value", "write a number that is not negative")
		}
	}
	tenants := map[string]int{}
	for i, t := range c.Tenants {
		at := fmt.Sprintf("%s.tenants[%d]", root, i)
		unique(s, at+".name", t.Name, tenants, i)
		between(at+".quota", t.Quota, 0, 1e9, "")
	}
	names, ids := map[string]int{}, map[control.ModelID]string{}
	for i, m := range c.Models {
		at := fmt.Sprintf("%s.models[%d]", root, i)
		unique(s, at+".name", m.Name, names, i)
		if _, err := path.Match(m.Name, ""); err != nil {
			s.At(at+".name", "%q is no pattern: * stands for any run, ? for one character, [a-z] for a range", m.Name)
		}
		if _, ok := groups[m.Group]; !ok {
			s.At(at+".group", "%q is no model group of this file: write one of groups[].name", m.Group)
		}
		between(at+".lanes", m.Lanes, 0, 1e6, "")
		if other, ok := ids[ModelID(m.Name)]; ok && other != m.Name {
			s.At(at+".name", "its id is that of %q by chance: rename one", other)
		}
		ids[ModelID(m.Name)] = m.Name
	}
	if len(c.Models) == 0 {
		s.At(root+".models", "there is none: write name and group of each model, or of all by a pattern such as \"*\"")
	}
	checkWorkers(s, root, c.Workers)
	if len(c.Workers) == 0 && c.Roster.File == "" && c.Admin == "off" {
		s.At(root+".workers", "there is none, and no roster.file or admin interface to learn of any")
	}
	oneOf(root+".roster.discovery", c.Roster.Discovery, "push", "ask")
	span(root+".roster.every", c.Roster.Every, 0.05, 3600)

	span(root+".rules.drain_grace", c.Rules.DrainGrace, 0, 60)
	between(root+".rules.cold_share", c.Rules.ColdShare, 0.01, 1, "")
	span(root+".rules.warm_after", c.Rules.WarmAfter, 0, 3600)
	between(root+".rules.overload_factor", c.Rules.OverloadFactor, 1, 1000, "")
	span(root+".rules.fall", c.Rules.Fall, 0.01, 3600)
	span(root+".rules.ask_every", c.Rules.AskEvery, 0.1, 3600)
	oneOf(root+".loads.on_miss", c.Loads.OnMiss, "load", "miss")
	if c.Loads.OnMiss == "miss" && !c.Loads.Orders {
		s.At(root+".loads.orders", "workers answer a miss and may not be ordered to load: nothing would ever be loaded; write orders: true or on_miss: load")
	}
	span(root+".loads.keep", c.Loads.Keep, 0, 86400)
	span(root+".loads.timeout", c.Loads.Timeout, 0.1, 3600)
	span(root+".loads.window", c.Loads.Window, 0, 3600)
	if c.Loads.Window.Seconds > 0 && c.Loads.Few < 1 && c.Loads.Share <= 0 {
		s.At(root+".loads.few", "a window without few or share forbids every load order: write few: 5 or share: 0.1, or no window")
	} else if c.Loads.Window.Seconds == 0 && (c.Loads.Few > 0 || c.Loads.Share > 0) {
		s.At(root+".loads.window", "few and share count within a window: write one, such as 10s")
	}
	between(root+".loads.few", c.Loads.Few, 0, 1e9, "")
	between(root+".loads.share", c.Loads.Share, 0, 1e3, "")
	between(root+".forwards.most", float64(c.Attempts.Most), 1, 8, "")
	between(root+".forwards.probe_price", c.Attempts.ProbePrice, 0, 1, "")
	span(root+".forwards.max_retry_after", c.Attempts.MaxRetryAfter, 0, 3600)
	for i, f := range c.Report {
		oneOf(fmt.Sprintf("%s.load_report[%d]", root, i), f, "inflight", "queue", "util", "latency_ms", "qps", "eps", "x0", "x1")
	}
	l := &c.Limits
	between(root+".limits.connections", float64(l.Connections), 1, 1e6, "")
	between(root+".limits.inferences", float64(l.Requests), 1, 1e6, "")
	between(root+".limits.worker_connections", float64(l.WorkerConnections), 1, 1e5, "")
	between(root+".limits.worker_idle", float64(l.WorkerIdle), 1, 1e5, "")
	for _, z := range []struct {
		path string
		v    Size
		low  int64
	}{{"body", l.Body, 1}, {"memory", l.Memory, 1 << 16}, {"answer", l.Answer, 1024}, {"head", l.Head, 1024}} {
		between(root+".limits."+z.path, float64(z.v.Bytes), float64(z.low), 1<<40, "B")
	}
	if l.Body.Bytes > l.Memory.Bytes {
		s.At(root+".limits.body", "one body may be larger than the memory for all: write a smaller body or more memory")
	}
	span(root+".limits.idle_timeout", l.IdleTimeout, 0.1, 3600)
	span(root+".limits.head_timeout", l.HeadTimeout, 0.1, 3600)
	span(root+".limits.body_timeout", l.BodyTimeout, 0.1, 3600)
	span(root+".limits.worker_idle_timeout", l.WorkerIdleTimeout, 0.1, 3600)
	span(root+".limits.connect_timeout", l.ConnectTimeout, 0.001, 60)
}

func checkWorkers(s *Source, root string, workers []Worker) {
	names, addrs, ids := map[string]int{}, map[string]int{}, map[control.WorkerID]string{}
	if len(workers) > mostWorkers {
		s.At(root+".workers", "%d are too many: %d at most", len(workers), mostWorkers)
	}
	for i, w := range workers {
		at := fmt.Sprintf("%s.workers[%d]", root, i)
		unique(s, at+".name", w.Name, names, i)
		if _, err := netip.ParseAddrPort(w.Address); err != nil {
			s.At(at+".address", "%q is no address: write IP:PORT, such as 127.0.0.1:9001", w.Address)
		} else {
			unique(s, at+".address", w.Address, addrs, i)
		}
		if !slices.Contains([]string{"", "ready", "draining", "gone"}, w.State) {
			s.At(at+".state", "%q is not known: write ready, draining, gone", w.State)
		}
		if other, ok := ids[WorkerID(w.Name)]; ok && other != w.Name {
			s.At(at+".name", "its id is that of %q by chance: rename one", other)
		}
		ids[WorkerID(w.Name)] = w.Name
	}
}

func unique(s *Source, path, v string, seen map[string]int, i int) {
	if v == "" {
		s.At(path, "is missing: each needs one of its own")
	} else if j, ok := seen[v]; ok {
		s.At(path, "%q is taken by entry %d already: write another", v, j+1)
	} else {
		seen[v] = i
	}
}

func plain(name string) bool {
	for _, c := range name {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '-' || c == '_') {
			return false
		}
	}
	return name != ""
}

// ModelID is the id of a model by its name: the same in every dispatcher, after every start.
func ModelID(name string) control.ModelID { return control.ModelID(xxhash.Sum64String(name)) }

// WorkerID is the id of a worker by its name.
func WorkerID(name string) control.WorkerID { return control.WorkerID(xxhash.Sum64String(name)) }

// Settings turns the settings into what the decisions are told, by the names that control reads.
func (c *Config) Settings() control.Settings {
	s := control.Settings{
		"tick": c.Tick.Seconds, "dispatchers": float64(c.Dispatchers), "discovery": c.Roster.Discovery,
		"rules.drain_grace": c.Rules.DrainGrace.Seconds, "rules.cold_share": c.Rules.ColdShare,
		"rules.warm_after": c.Rules.WarmAfter.Seconds, "rules.overload_factor": c.Rules.OverloadFactor,
		"rules.fall": c.Rules.Fall.Seconds, "rules.ask_every": c.Rules.AskEvery.Seconds,
		"models.on_miss": c.Loads.OnMiss, "models.orders": c.Loads.Orders, "models.keep": c.Loads.Keep.Seconds,
		"models.order_timeout": c.Loads.Timeout.Seconds, "models.load_window": c.Loads.Window.Seconds,
		"models.load_few": c.Loads.Few, "models.load_share": c.Loads.Share,
		"limits.max_attempts": float64(c.Attempts.Most), "limits.hedging": c.Attempts.Hedging,
		"limits.cancel": c.Attempts.Cancel, "limits.probes": c.Attempts.Probes, "prices.probe": c.Attempts.ProbePrice,
		"limits.retry_after": c.Attempts.MaxRetryAfter.Seconds > 0, "limits.max_retry_after": c.Attempts.MaxRetryAfter.Seconds,
		"load_report.fields": float64(len(c.Report)), "groups": float64(len(c.Groups)), "tenants": float64(len(c.Tenants)),
	}
	for i, f := range c.Report {
		s["load_report.fields."+strconv.Itoa(i)] = f
	}
	for i, g := range c.Groups {
		at := "groups." + strconv.Itoa(i) + "."
		s[at+"name"], s[at+"effect"], s[at+"scope"] = g.Name, g.Effect, g.Scope
		s[at+"slo"], s[at+"timeout"], s[at+"window"], s[at+"value"], s[at+"slo_stretch"] = g.SLO.Seconds, g.Timeout.Seconds, g.Window.Seconds, g.Value, g.Stretch
	}
	for i, t := range c.Tenants {
		at := "tenants." + strconv.Itoa(i) + "."
		if s[at+"name"] = t.Name; t.Quota > 0 {
			s[at+"quota"] = t.Quota
		}
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
