package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/goccy/go-yaml"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

// benchScenario is a scenario file of the bench, as far as ConvertBenchScenario reads it. The bench is unrelated to Bench of
// this package. Times are in microseconds, memory is in kB.
type benchScenario struct {
	Site    string  `json:"site"`
	Kind    string  `json:"kind"`
	Noise   uint64  `json:"noise"`
	Length  float64 `json:"length"`
	Tick    float64 `json:"tick"`
	Traffic struct {
		Load float64 `json:"load"`
		Keys int     `json:"keys"`
	} `json:"traffic"`
	Net struct {
		Same, Client, Jitter float64
	} `json:"net"`
	Clients struct {
		Retries   int     `json:"retries"`
		Impatient float64 `json:"impatient"`
	} `json:"clients"`
	DrainGrace     float64           `json:"drain_grace"`
	OverloadWindow float64           `json:"fall_for"`
	OverloadFactor float64           `json:"fall_multiple"`
	Classes        []benchClass      `json:"classes"`
	Tiers          []benchTier       `json:"tiers"`
	Zones          []string          `json:"zones"`
	Servers        []benchServer     `json:"servers"`
	Balancers      []json.RawMessage `json:"balancers"`
	Faults         []benchFault      `json:"troubles"`
	Loading        benchLoading      `json:"fam"`
}

// benchClass is a class of requests.
type benchClass struct {
	Name        string
	Share       float64
	Work        float64
	IO          float64
	Latency     float64 `json:"aim"`
	Weight      float64 `json:"worth"`
	DedupWindow float64 `json:"window"`
	Deadline    float64
	Effect      string
	DedupScope  string `json:"group"`
}

// benchTier is a tier of servers, described by kind.
type benchTier struct{ Kinds []benchServerKind }

type benchServerKind struct {
	Cores             float64
	Queue             int
	Cancel            string
	SlowStartCapacity float64 `json:"cold_from"`
	SlowStartDuration float64 `json:"cold"`
}

type benchServer struct {
	Kind  int
	Speed float64
}

type benchFault struct {
	Kind    string
	At      float64
	Length  float64 `json:"len"`
	Extra   float64
	Size    float64
	Servers []int `json:"on"`
}

// benchLoading describes the models, which are loaded on demand.
type benchLoading struct {
	Catalog, Disk, Keep, Spare, Zipf float64
	FetchShare                       float64          `json:"fetch_share"`
	LoadsFree                        float64          `json:"load_free"`
	LoadShare                        float64          `json:"load_share"`
	LoadWindow                       float64          `json:"load_window"`
	ConcurrentLoads                  int              `json:"loads_at_once"`
	Orders                           bool             `json:"orders"`
	SelfLoad                         bool             `json:"self_load"`
	StoreTakes                       float64          `json:"store_takes"`
	StoreHeadroom                    float64          `json:"store_headroom"`
	Models                           []benchModelKind `json:"sorts"` // by class
}

type benchModelKind struct {
	Lanes        int
	Load, Memory float64
}

// emulatedFaults maps the bench's kinds of faults to those of the emulator; the others have no counterpart.
var emulatedFaults = map[string]string{
	"fast_errors":  emulator.FaultFastErrors,
	"hang":         emulator.FaultHang,
	"vanish":       emulator.FaultCrash,
	"slow":         emulator.FaultSlow,
	"pauses":       emulator.FaultPauses,
	"ageing":       emulator.FaultDegradation,
	"flush":        emulator.FaultFlush,
	"report_late":  emulator.FaultReportLate,
	"slow_connect": emulator.FaultSlowConnect,
	"origin_slow":  emulator.FaultStoreSlow,
	"neighbour":    emulator.FaultSlow,
}

// ErrIncompleteBenchScenario is returned by ConvertBenchScenario for a file that isn't a complete scenario of models loaded
// on demand.
var ErrIncompleteBenchScenario = errors.New("not a bench scenario with models loaded on demand: classes, servers, kinds, sorts or length are missing")

// ConvertBenchScenario converts a scenario file of the bench to a scenario and returns its text. Each of the omissions
// describes something that is not carried over, or only approximately.
func ConvertBenchScenario(in []byte) (text []byte, omissions []string, err error) {
	c := &converter{}
	if err := json.Unmarshal(in, &c.bench); err != nil {
		return nil, nil, err
	}
	if !c.bench.isComplete() {
		return nil, nil, ErrIncompleteBenchScenario
	}
	c.convertSite()
	c.convertFleet()
	c.convertSettings()
	meanWork := c.convertClasses()
	c.convertLoad(meanWork)
	c.convertStore()
	for _, f := range c.bench.Faults {
		c.convertFault(f)
	}
	text, err = yaml.Marshal(c.scenario)
	if err != nil {
		return nil, c.omissions, err
	}
	_, err = ParseScenario("converted", text, Simulated)
	return text, c.omissions, err
}

func (b *benchScenario) isComplete() bool {
	return len(b.Classes) > 0 && len(b.Servers) > 0 && len(b.Tiers) > 0 && len(b.Tiers[0].Kinds) > 0 &&
		len(b.Loading.Models) >= len(b.Classes) && b.Length > 0
}

// converter holds a scenario of the bench and the scenario that it is converted to.
type converter struct {
	bench     benchScenario
	scenario  Scenario
	omissions []string
	mean      meanServer
}

// meanServer has the mean properties of all servers of the first tier, and the longest queue of them.
type meanServer struct {
	cores, speed, slowStartDuration, slowStartCapacity float64
	queue                                              int
}

// addOmission adds a line to the omissions.
func (c *converter) addOmission(format string, args ...any) {
	c.omissions = append(c.omissions, fmt.Sprintf(format, args...))
}

// fromMicros converts microseconds to a duration that is rounded to milliseconds.
func fromMicros(us float64) config.Duration { return config.Seconds(math.Round(us/1e3) / 1e3) }

func (c *converter) convertSite() {
	bench := &c.bench
	c.scenario = Scenario{Name: bench.Site + " " + bench.Kind, Seed: bench.Noise % 1e6, Size: 1, Length: fromMicros(bench.Length),
		Dispatchers: max(1, len(bench.Balancers)), Settings: config.Default()}
	kinds := bench.Tiers[0].Kinds
	n := float64(len(bench.Servers))
	for _, server := range bench.Servers {
		kind := kinds[min(server.Kind, len(kinds)-1)]
		c.mean.cores += kind.Cores / n
		c.mean.speed += server.Speed / n
		c.mean.slowStartDuration += kind.SlowStartDuration / n
		c.mean.slowStartCapacity += kind.SlowStartCapacity / n
		c.mean.queue = max(c.mean.queue, kind.Queue)
	}
	if len(kinds) > 1 || len(bench.Servers) > 1 {
		c.addOmission("servers of several kinds and speeds: all workers get the mean, %.2f cores of speed %.2f", c.mean.cores, c.mean.speed)
	}
	if len(bench.Tiers) > 1 {
		c.addOmission("%d tiers: only the first is converted", len(bench.Tiers))
	}
}

// spareMB returns the memory of a worker in MB for replicas beyond those in use.
func (c *converter) spareMB() float64 { return c.bench.Loading.Spare / 1e3 * c.mean.cores }

func (c *converter) convertFleet() {
	bench := &c.bench
	memoryMB := c.spareMB() + 0.5*c.mean.cores*bench.Loading.Models[0].Memory/1e3
	c.scenario.Fleet = Fleet{Workers: len(bench.Servers), Zones: max(1, len(bench.Zones)), Cores: round3(c.mean.cores),
		Speed: round3(math.Max(0.01, c.mean.speed)), Memory: config.Bytes(int64(memoryMB * 1e6)), QueueLimit: c.mean.queue,
		ConcurrentLoads: max(1, bench.Loading.ConcurrentLoads), CachesImages: bench.Loading.Disk > 0, StopsCancelled: bench.Tiers[0].Kinds[0].Cancel == "all",
		IdleTimeout: fromMicros(bench.Loading.Keep)}
}

func (c *converter) convertSettings() {
	bench := &c.bench
	rules := &c.scenario.Settings.Rules
	rules.DrainGrace = fromMicros(bench.DrainGrace)
	rules.SlowStartCapacity = round3(c.mean.slowStartCapacity)
	rules.SlowStartDuration = fromMicros(c.mean.slowStartDuration)
	rules.OverloadFactor = bench.OverloadFactor
	rules.OverloadWindow = fromMicros(bench.OverloadWindow)
	loads := &c.scenario.Settings.Loads
	loads.OnMiss = string(emulator.RejectOnMiss)
	if bench.Loading.SelfLoad {
		loads.OnMiss = string(emulator.LoadOnMiss)
	}
	loads.KeepAlive = c.scenario.Fleet.IdleTimeout
	if bench.Loading.LoadShare > 0 {
		loads.BudgetWindow = fromMicros(bench.Loading.LoadWindow)
		loads.BudgetBase = bench.Loading.LoadsFree
		loads.BudgetPerRequest = bench.Loading.LoadShare
	}
}

// convertClasses converts the classes to model groups and their models. It returns the mean work of a request in seconds.
func (c *converter) convertClasses() (meanWork float64) {
	bench := &c.bench
	meanReplicaMB := 0.0
	for i, class := range bench.Classes {
		meanReplicaMB += class.Share * bench.Loading.Models[i].Memory / 1e3
	}
	// One replica of each model takes the fraction Catalog of the workers' spare memory.
	models := math.Max(1, bench.Loading.Catalog*c.spareMB()*float64(len(bench.Servers))/math.Max(1, meanReplicaMB))
	c.scenario.Settings.Groups = nil
	for i, class := range bench.Classes {
		kind := bench.Loading.Models[i]
		c.scenario.Settings.Groups = append(c.scenario.Settings.Groups, class.group())
		meanWork += class.Share * (class.Work + class.IO) / 1e6
		c.scenario.Models = append(c.scenario.Models, ModelSet{Name: class.Name, Group: class.Name, Count: max(1, int(models*class.Share)),
			Memory: config.Bytes(int64(kind.Memory * 1e3)), Concurrency: max(1, kind.Lanes), Work: fromMicros(class.Work + class.IO),
			Fetch: fromMicros(kind.Load * bench.Loading.FetchShare), Boot: fromMicros(kind.Load * (1 - bench.Loading.FetchShare)),
			Share: round3(class.Share), Zipf: bench.Loading.Zipf})
		if class.IO > 0 {
			c.addOmission("model group %s: the %.0f ms of I/O of a request occupy a core in the emulator", class.Name, class.IO/1e3)
		}
	}
	c.addOmission("run times are distributed uniformly around the mean, and models of a group have the same size: no heavy tails, no spread of sizes")
	return meanWork
}

func (class *benchClass) group() config.Group {
	g := config.Group{Name: class.Name, SLO: fromMicros(class.Latency), Timeout: fromMicros(class.Deadline), ServiceWeight: math.Max(0.1, class.Weight)}
	switch class.Effect {
	case "safe":
		g.Effect = effectRetriable
	case "keyed":
		g.Effect = effectDeduped
		g.DedupScope = class.DedupScope
		g.DedupWindow = fromMicros(class.DedupWindow)
	default:
		g.Effect = effectNonRetriable
	}
	return g
}

func (c *converter) convertLoad(meanWork float64) {
	bench := &c.bench
	capacity := float64(len(bench.Servers)) * c.mean.cores * c.mean.speed
	c.scenario.Clients = Clients{Rate: round3(bench.Traffic.Load * capacity / meanWork), Retries: bench.Clients.Retries, EarlyDisconnectFraction: bench.Clients.Impatient}
	c.scenario.Network = Network{Delay: config.Seconds(math.Round(bench.Net.Same) / 1e6), Jitter: config.Seconds(math.Round(bench.Net.Same*bench.Net.Jitter) / 1e6)}
}

// storeLimitFactor is the limit of the store's concurrent fetches, beyond which it rejects more, as a multiple of those that
// run at full speed.
const storeLimitFactor = 4

func (c *converter) convertStore() {
	slots := max(1, int(c.bench.Loading.StoreTakes*c.bench.Loading.StoreHeadroom))
	c.scenario.Fleet.StoreSlots = slots
	c.scenario.Fleet.StoreLimit = storeLimitFactor * slots
	c.addOmission("the store's speed, its slowdowns and its rejections are approximate: %d concurrent fetches run at full speed", slots)
	c.addOmission("changes of the load over time, shifts in popularity, scheduled batches and tenants are not carried over")
}

// convertFault converts a fault to one fault per affected server.
func (c *converter) convertFault(bf benchFault) {
	kind, ok := emulatedFaults[bf.Kind]
	if !ok {
		c.addOmission("fault %s at %.1f s for %.1f s is not carried over: the emulator has no such fault", bf.Kind, bf.At/1e6, bf.Length/1e6)
		return
	}
	f := Fault{At: fromMicros(bf.At), For: fromMicros(bf.Length), Kind: kind, Factor: round3(math.Max(1.1, bf.Size)),
		Share: math.Min(1, round3(math.Max(0.05, bf.Extra)))}
	if f.At.Seconds >= c.scenario.Length.Seconds {
		c.addOmission("fault %s at %.1f s is not carried over: it begins after the end of the scenario", bf.Kind, bf.At/1e6)
		return
	}
	if kind == emulator.FaultStoreSlow || len(bf.Servers) == 0 {
		c.scenario.Faults = append(c.scenario.Faults, f)
		return
	}
	for _, server := range slices.Sorted(slices.Values(bf.Servers)) {
		if server < len(c.bench.Servers) {
			f.Worker = workerName(server)
			c.scenario.Faults = append(c.scenario.Faults, f)
		}
	}
}
