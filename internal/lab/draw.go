package lab

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/goccy/go-yaml"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

const (
	drawStream                   = 6      // stream of the random source
	drawnLength                  = 30.0   // s
	drawnStoreLimit              = 200    // concurrent fetches
	drawnMaxRate                 = 2000.0 // logical calls per second
	drawnEarlyDisconnectFraction = 0.02   // fraction of attempts
)

// Kinds of incidents in drawn scenarios besides the faults of package emulator.
const (
	drawnKill    = "kill"
	drawnDrain   = "drain"
	drawnRelease = "release"
	drawnBurst   = "burst"
)

// DrawScenario draws a scenario and returns its text: a site, its load, and one to four faults, kills, drains, bursts or
// releases, some of them at the same time. The same seed draws the same scenario.
func DrawScenario(seed uint64) ([]byte, error) {
	d := &drawer{rnd: rand.New(rand.NewPCG(seed, drawStream))}
	s := &Scenario{Name: fmt.Sprintf("drawn %d", seed), Seed: seed, Size: 1, Length: config.Seconds(drawnLength), Settings: config.Default()}
	d.drawSite(s)
	d.drawSettings(s)
	meanWork := d.drawModels(s)
	d.drawClients(s, meanWork)
	d.drawIncidents(s)
	return yaml.Marshal(s)
}

// drawer draws the parts of a scenario. The order of the draws must not change, so that a seed keeps its scenario.
type drawer struct{ rnd *rand.Rand }

// logUniform draws from a log-uniform distribution from low to high.
func (d *drawer) logUniform(low, high float64) float64 {
	return low * math.Pow(high/low, d.rnd.Float64())
}

// roundedLogUniform draws like logUniform and rounds to three decimal places.
func (d *drawer) roundedLogUniform(low, high float64) float64 { return round3(d.logUniform(low, high)) }

// duration draws a duration from low to high, in seconds.
func (d *drawer) duration(low, high float64) config.Duration {
	return config.Seconds(d.roundedLogUniform(low, high))
}

func (d *drawer) randomBool() bool { return d.rnd.IntN(2) > 0 }

func (d *drawer) worker(s *Scenario) string { return workerName(d.rnd.IntN(s.Fleet.Workers)) }

// round3 rounds to three decimal places.
func round3(x float64) float64 { return math.Round(x*1000) / 1000 }

func (d *drawer) drawSite(s *Scenario) {
	s.Fleet = Fleet{Workers: int(d.logUniform(4, 100)), Zones: 1 + d.rnd.IntN(3), Cores: float64(2 + d.rnd.IntN(5)), Speed: 1,
		Memory: config.Bytes(int64(1+d.rnd.IntN(4)) * 1e9), QueueLimit: 4 + d.rnd.IntN(30), ConcurrentLoads: 2 + d.rnd.IntN(5), CachesImages: d.randomBool(),
		StopsCancelled: d.randomBool(), StoreSlots: 4 + d.rnd.IntN(20), StoreLimit: drawnStoreLimit, IdleTimeout: d.duration(4, 20)}
	s.Dispatchers = int(d.logUniform(1, 3*float64(s.Fleet.Workers)))
}

func (d *drawer) drawSettings(s *Scenario) {
	read := d.group("read", effectRetriable, "", 1)
	read.DedupWindow = config.Duration{}
	scope := []string{"all", "zone"}[d.rnd.IntN(2)]
	write := d.group("write", effectDeduped, scope, 2)
	once := d.group("once", effectNonRetriable, "", 3)
	once.DedupWindow = config.Duration{}
	s.Settings.Groups = []config.Group{read, write, once}
	s.Settings.Loads.OnMiss = []string{"load", "miss"}[d.rnd.IntN(2)]
	s.Settings.Loads.KeepAlive = s.Fleet.IdleTimeout
	rules := &s.Settings.Rules
	rules.DrainGrace = config.Seconds(0.5)
	rules.SlowStartCapacity = d.roundedLogUniform(0.15, 0.5)
	rules.SlowStartDuration = d.duration(3, 12)
	rules.OverloadFactor = float64(2 + d.rnd.IntN(3))
	rules.OverloadWindow = config.Seconds(1)
}

func (d *drawer) group(name, effect, scope string, priorityWeight float64) config.Group {
	return config.Group{Name: name, Effect: effect, DedupScope: scope, DedupWindow: d.duration(2, 4), SLO: d.duration(0.5, 1.2),
		Timeout: d.duration(2, 5), ServiceWeight: priorityWeight}
}

// drawModels draws a set of models for each group and returns the mean work of a request in seconds.
func (d *drawer) drawModels(s *Scenario) (meanWork float64) {
	shares := []float64{5, 3, 2} // tenths of all requests
	for i, group := range s.Settings.Groups {
		m := ModelSet{Name: group.Name, Group: group.Name, Count: int(d.logUniform(2, 6*float64(s.Fleet.Workers))),
			Memory: config.Bytes(int64(d.logUniform(1e8, 5e8))), Concurrency: 1 + d.rnd.IntN(4), Work: d.duration(0.03, 0.25), Fetch: d.duration(0.1, 1),
			Boot: d.duration(0.05, 0.5), Share: shares[i], Zipf: round3(0.8 + 0.5*d.rnd.Float64())}
		meanWork += m.Share / 10 * m.Work.Seconds
		s.Models = append(s.Models, m)
	}
	return meanWork
}

// drawClients draws a load of 40% to 90% of the workers' capacity, limited by drawnMaxRate.
func (d *drawer) drawClients(s *Scenario, meanWork float64) {
	capacity := float64(s.Fleet.Workers) * s.Fleet.Cores / meanWork
	rate := math.Min(drawnMaxRate, capacity*(0.4+0.5*d.rnd.Float64()))
	s.Clients = Clients{Rate: math.Round(rate*10) / 10, Retries: d.rnd.IntN(3), EarlyDisconnectFraction: drawnEarlyDisconnectFraction}
}

func (d *drawer) drawIncidents(s *Scenario) {
	kinds := append(emulator.FaultNames(), drawnKill, drawnDrain, drawnRelease, drawnBurst)
	var span Span
	for i := range 1 + d.rnd.IntN(4) {
		if i%2 == 0 || d.randomBool() { // otherwise at the same time as the previous incident
			at := round3(4 + 16*d.rnd.Float64())
			span = Span{At: config.Seconds(at), For: d.duration(1, 8)}
		}
		workerPattern := d.worker(s)
		if d.rnd.IntN(3) == 0 {
			workerPattern = fmt.Sprintf("w*%d", d.rnd.IntN(10)) // workers whose number ends in this digit
		}
		d.drawIncident(s, kinds[d.rnd.IntN(len(kinds))], span, workerPattern)
	}
}

// drawIncident adds an incident of a kind to the scenario; workerPattern applies to faults.
func (d *drawer) drawIncident(s *Scenario, kind string, span Span, workerPattern string) {
	switch kind {
	case drawnKill:
		s.Kills = append(s.Kills, Kill{At: span.At, Down: config.Seconds(1), Dispatcher: d.rnd.IntN(s.Dispatchers)})
	case drawnDrain:
		s.Drains = append(s.Drains, Drain{At: span.At, For: span.For, Worker: d.worker(s), State: stateDraining})
	case drawnRelease:
		s.Releases = []Release{{At: span.At, Interval: config.Seconds(2), BatchSize: 1 + s.Fleet.Workers/12, Drain: config.Seconds(1), Down: config.Seconds(2)}}
	case drawnBurst:
		s.Clients.Bursts = append(s.Clients.Bursts, Burst{Span: span, Factor: d.roundedLogUniform(1.3, 4)})
	default:
		s.Faults = append(s.Faults, Fault{At: span.At, For: span.For, Kind: kind, Worker: workerPattern, Share: d.roundedLogUniform(0.1, 1),
			Factor: d.roundedLogUniform(2, 10), What: "read"})
	}
}
