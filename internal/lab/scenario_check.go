package lab

import (
	"fmt"
	"slices"
	"strings"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

// Clock selects how a scenario is run.
type Clock uint8

const (
	// Sockets runs a scenario in real processes over loopback sockets.
	Sockets Clock = iota
	// Simulated runs a scenario in simulated time in one process.
	Simulated
)

// capacityLimits are the limits of a scenario that one machine can run.
type capacityLimits struct {
	dispatchers, workers, rate, requests float64 // rate in logical calls per second; requests in the whole scenario
}

const maxLength = 3600.0 // s

var limitsByClock = map[Clock]capacityLimits{
	Sockets:   {dispatchers: 16, workers: 200, rate: 2000, requests: 2e6},
	Simulated: {dispatchers: 400, workers: 1000, rate: 20000, requests: 2e6},
}

// check applies the size, completes the settings, expands releases and reports invalid values to the source.
func (s *Scenario) check(source *config.Source, clock Clock) {
	c := &scenarioChecker{Source: source, scenario: s, limits: limitsByClock[clock], length: s.Length.Seconds}
	c.checkRange("size", s.Size, 0.001, 1000)
	s.scale(s.Size)
	c.checkSizes()
	if s.Fleet.IdleTimeout.Seconds == 0 {
		s.Fleet.IdleTimeout = s.Settings.Loads.KeepAlive
	}
	c.checkModels()
	s.Settings.Dispatchers = s.Dispatchers
	s.Settings.Check(source, "$.settings")
	c.checkReleases()
	c.checkFaults()
	c.checkKills()
	c.checkDrains()
	c.checkLoad()
	c.checkNetwork()
}

// scenarioChecker reports invalid values of a scenario to its source.
type scenarioChecker struct {
	*config.Source
	scenario *Scenario
	limits   capacityLimits
	length   float64 // s
}

func (c *scenarioChecker) checkRange(path string, value, low, high float64) {
	if !(value >= low && value <= high) { // negated so that NaN is out of range too
		c.AddProblem("$."+path, "%g is out of range: write %g to %g", value, low, high)
	}
}

func (c *scenarioChecker) checkSpan(path string, at, duration float64) {
	if !(at >= 0 && at < c.length) {
		c.AddProblem("$."+path+".at", "%gs is not within the scenario's length of %gs", at, c.length)
	}
	if duration < 0 || at+duration > c.length+maxLength {
		c.AddProblem("$."+path+".for", "%gs is out of range", duration)
	}
}

// checkWorker checks the name of a worker; patterns and the empty name are valid.
func (c *scenarioChecker) checkWorker(path, name string) {
	if name != "" && !slices.Contains(c.scenario.workerNames(), name) && !strings.ContainsAny(name, "*?[") {
		c.AddProblem("$."+path, "%q is not a worker of this scenario: write w1 to w%d", name, c.scenario.Fleet.Workers)
	}
}

func (c *scenarioChecker) checkSizes() {
	fleet := c.scenario.Fleet
	clients := c.scenario.Clients
	c.checkRange("length", c.length, 1, maxLength)
	c.checkRange("dispatchers", float64(c.scenario.Dispatchers), 1, c.limits.dispatchers)
	c.checkRange("fleet.workers", float64(fleet.Workers), 1, c.limits.workers)
	c.checkRange("fleet.zones", float64(fleet.Zones), 1, 100)
	c.checkRange("fleet.cores", fleet.Cores, 0.1, 1024)
	c.checkRange("fleet.speed", fleet.Speed, 0.01, 100)
	c.checkRange("fleet.queue", float64(fleet.QueueLimit), 0, 1e6)
	c.checkRange("fleet.loads", float64(fleet.ConcurrentLoads), 1, 1e6)
	c.checkRange("clients.rate", clients.Rate, 0.1, c.limits.rate)
	c.checkRange("clients.retries", float64(clients.Retries), 0, 20)
	c.checkRange("clients.impatient", clients.EarlyDisconnectFraction, 0, 1)
}

// checkModels checks the models and lists them in the dispatchers' settings.
func (c *scenarioChecker) checkModels() {
	s := c.scenario
	groups := s.groups()
	if len(s.Models) == 0 {
		c.AddProblem("$.models", "there is none: write name, group, work and share of some")
	}
	s.Settings.Models = nil
	for i := range s.Models {
		m := &s.Models[i]
		path := fmt.Sprintf("models[%d].", i)
		if m.Count == 0 {
			m.Count = 1
		}
		if m.Concurrency == 0 {
			m.Concurrency = 1
		}
		c.checkRange(path+"count", float64(m.Count), 1, 10000)
		c.checkRange(path+"work", m.Work.Seconds, 0.0001, 60)
		c.checkRange(path+"share", m.Share, 0, 1e6)
		c.checkRange(path+"zipf", m.Zipf, 0, 10)
		if _, ok := groups[m.Group]; !ok {
			c.AddProblem("$."+path+"group", "%q is no model group of settings.groups", m.Group)
		}
		if m.Memory.Bytes > s.Fleet.Memory.Bytes {
			c.AddProblem("$."+path+"memory", "no worker has enough memory for one replica")
		}
		s.Settings.Models = append(s.Settings.Models, config.Model{Name: m.Name + "-*", Group: m.Group, Memory: m.Memory,
			Concurrency: float64(m.Concurrency), LoadTime: config.Seconds(m.Fetch.Seconds + m.Boot.Seconds)})
	}
}

// checkReleases checks the releases and expands them.
func (c *scenarioChecker) checkReleases() {
	for i, r := range c.scenario.Releases {
		path := fmt.Sprintf("releases[%d]", i)
		c.checkSpan(path, r.At.Seconds, 0)
		c.checkRange(path+".every", r.Interval.Seconds, 0.01, maxLength)
		c.checkRange(path+".together", float64(r.BatchSize), 1, 1e6)
		c.checkRange(path+".drain", r.Drain.Seconds, 0, maxLength)
		c.checkRange(path+".down", r.Down.Seconds, 0, maxLength)
		c.scenario.expandRelease(r)
	}
}

func (c *scenarioChecker) checkFaults() {
	for i, f := range c.scenario.Faults {
		path := fmt.Sprintf("troubles[%d]", i)
		c.checkSpan(path, f.At.Seconds, f.For.Seconds)
		c.checkWorker(path+".worker", f.Worker)
		if _, ok := emulator.FaultDescriptions[f.Kind]; !ok {
			c.AddProblem("$."+path+".kind", "%q is not known: write %s", f.Kind, strings.Join(emulator.FaultNames(), ", "))
		}
		c.checkRange(path+".share", f.Share, 0, 1)
		c.checkRange(path+".factor", f.Factor, 0, 1000)
	}
}

func (c *scenarioChecker) checkKills() {
	for i, kill := range c.scenario.Kills {
		path := fmt.Sprintf("kills[%d]", i)
		c.checkSpan(path, kill.At.Seconds, kill.Down.Seconds)
		if kill.Dispatcher < 0 || kill.Dispatcher >= c.scenario.Dispatchers {
			c.AddProblem("$."+path+".dispatcher", "there is no dispatcher %d: write 0 to %d", kill.Dispatcher, c.scenario.Dispatchers-1)
		}
	}
}

// checkDrains checks drains and stale lists, and fills in the default state.
func (c *scenarioChecker) checkDrains() {
	for i := range c.scenario.Drains {
		d := &c.scenario.Drains[i]
		path := fmt.Sprintf("drains[%d]", i)
		c.checkSpan(path, d.At.Seconds, d.For.Seconds)
		c.checkWorker(path+".worker", d.Worker)
		if d.Worker == "" {
			c.AddProblem("$."+path+".worker", "is missing")
		}
		if d.State == "" {
			d.State = stateDraining
		}
		if d.State != stateDraining && d.State != stateGone {
			c.AddProblem("$."+path+".state", "%q is not known: write draining, gone", d.State)
		}
	}
	for i, stale := range c.scenario.StaleLists {
		c.checkSpan(fmt.Sprintf("stale[%d]", i), stale.At.Seconds, stale.For.Seconds)
	}
}

func (c *scenarioChecker) checkLoad() {
	clients := c.scenario.Clients
	for i, b := range clients.Bursts {
		path := fmt.Sprintf("clients.bursts[%d]", i)
		c.checkSpan(path, b.At.Seconds, b.For.Seconds)
		c.checkRange(path+".factor", b.Factor, 0, 100)
	}
	if peak := clients.Rate * c.scenario.peakFactor(); peak > c.limits.rate {
		c.AddProblem("$.clients.bursts", "%g requests per second at the peak are more than one machine can run: write at most %g", peak, c.limits.rate)
	}
	if requests := clients.Rate * c.length; requests > c.limits.requests {
		c.AddProblem("$.length", "%g requests in total are more than one machine can record: write at most %g", requests, c.limits.requests)
	}
}

func (c *scenarioChecker) checkNetwork() {
	network := c.scenario.Network
	c.checkRange("network.delay", network.Delay.Seconds, 0, 10)
	c.checkRange("network.jitter", network.Jitter.Seconds, 0, 10)
	c.checkRange("network.lost", network.Lost, 0, 1)
}
