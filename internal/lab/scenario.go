// Package lab runs scenarios, which expose dispatchers with emulated workers to load and faults, and checks the results.
//
// RunScenario runs a Scenario in real processes over loopback sockets; Simulate runs it in simulated time in this process.
// In both cases clients and workers record what they send and receive. From this Evidence alone, CheckInvariants decides
// whether the five rules held and counts how often each was tested; a Report summarizes the run. RunExperiment compares
// variants of a scenario, FindWeakScenarios searches for scenarios in which dispatchers perform badly, GenerateLoad sends
// load to a running gateway, and Bench compares the gateway with simpler proxies.
package lab

import (
	"fmt"
	"math"
	"os"

	"mastchute/internal/config"
)

// Scenario is a scenario file; docs/lab.md describes it. The order of the fields is that of a written file.
type Scenario struct {
	Name        string          `yaml:"name"`
	Seed        uint64          `yaml:"seed"`
	Length      config.Duration `yaml:"length"`
	Dispatchers int             `yaml:"dispatchers"`
	Settings    config.Config   `yaml:"settings"`
	Fleet       Fleet           `yaml:"fleet"`
	Models      []ModelSet      `yaml:"models"`
	Clients     Clients         `yaml:"clients"`
	Faults      []Fault         `yaml:"troubles"`
	Kills       []Kill          `yaml:"kills"`
	Drains      []Drain         `yaml:"drains"`
	Releases    []Release       `yaml:"releases"`
	Size        float64         `yaml:"size"`    // multiplies dispatchers, workers, models, load and store alike
	Network     Network         `yaml:"network"` // in simulated time only
	StaleLists  []Span          `yaml:"stale"`   // dispatchers are notified of drains that begin in the span at its end

	// releaseSteps is the number of drains, and of faults, that releases were expanded into. They are last in their lists.
	releaseSteps int
}

// Fleet describes the emulated workers.
type Fleet struct {
	Workers         int             `yaml:"workers"`
	Zones           int             `yaml:"zones"`
	Cores           float64         `yaml:"cores"`
	Speed           float64         `yaml:"speed"`
	Memory          config.Size     `yaml:"memory"`
	QueueLimit      int             `yaml:"queue"`
	ConcurrentLoads int             `yaml:"loads"` // concurrent model loads per worker
	CachesImages    bool            `yaml:"disk"`  // workers cache images
	StopsCancelled  bool            `yaml:"stops_cancelled"`
	SlowStart       bool            `yaml:"cold"` // all workers begin in slow start
	StoreSlots      int             `yaml:"store_slots"`
	StoreLimit      int             `yaml:"store_limit"`
	IdleTimeout     config.Duration `yaml:"keep"` // idle time after which a replica is unloaded
}

// ModelSet describes a number of models with the same properties.
type ModelSet struct {
	Name         string          `yaml:"name"`
	Count        int             `yaml:"count"`
	Group        string          `yaml:"group"`
	Memory       config.Size     `yaml:"memory"`
	Concurrency  int             `yaml:"lanes"` // concurrent requests per replica
	Work         config.Duration `yaml:"work"`
	Fetch        config.Duration `yaml:"fetch"`
	Boot         config.Duration `yaml:"boot"`
	Share        float64         `yaml:"share"` // of all requests, relative to the shares of the other sets
	Zipf         float64         `yaml:"zipf"`  // exponent of the models' popularity; 0 for equal popularity
	ResponseSize config.Size     `yaml:"answer"`
}

// Clients describes the load: open-loop arrivals at a rate.
type Clients struct {
	Rate                    float64 `yaml:"rate"`      // logical calls per second
	Retries                 int     `yaml:"retries"`   // maximum per call
	EarlyDisconnectFraction float64 `yaml:"impatient"` // fraction of attempts whose client disconnects before the timeout
	Bursts                  []Burst `yaml:"bursts"`
}

// Burst multiplies the rate of calls during a span.
type Burst struct {
	Span   `yaml:",inline"`
	Factor float64 `yaml:"factor"`
}

// Release restarts all workers in batches: each drains, stops, and starts again under the same name with no models loaded.
type Release struct {
	At        config.Duration `yaml:"at"`
	Interval  config.Duration `yaml:"every"`    // from the start of one batch to the start of the next
	BatchSize int             `yaml:"together"` // workers per batch
	Drain     config.Duration `yaml:"drain"`
	Down      config.Duration `yaml:"down"`
}

// Network describes the one-way delay of messages between clients, dispatchers and workers.
type Network struct {
	Delay  config.Duration `yaml:"delay"`
	Jitter config.Duration `yaml:"jitter"` // mean of an additional, exponentially distributed delay
	Lost   float64         `yaml:"lost"`   // fraction of messages that are lost once and retransmitted
}

// Span is a period of a scenario.
type Span struct {
	At  config.Duration `yaml:"at"`
	For config.Duration `yaml:"for"`
}

// end returns the time in seconds at which the span is over.
func (s Span) end() float64 { return s.At.Seconds + s.For.Seconds }

// contains reports whether a time in seconds is in the span.
func (s Span) contains(at float64) bool { return at >= s.At.Seconds && at < s.end() }

// Fault is a fault of the emulated workers or their store; the kinds are those of package emulator.
type Fault struct {
	At     config.Duration `yaml:"at"`
	For    config.Duration `yaml:"for"`
	Kind   string          `yaml:"kind"`
	Worker string          `yaml:"worker"` // name or pattern; empty for all
	Share  float64         `yaml:"share"`
	Factor float64         `yaml:"factor"`
	What   string          `yaml:"what"` // tenant or model group
}

// Kill ends a dispatcher with SIGKILL and starts it again.
type Kill struct {
	At         config.Duration `yaml:"at"`
	Down       config.Duration `yaml:"down"`
	Dispatcher int             `yaml:"dispatcher"`
}

// Drain notifies all dispatchers that a worker is draining or gone, and that it is ready again at the end.
type Drain struct {
	At     config.Duration `yaml:"at"`
	For    config.Duration `yaml:"for"`
	Worker string          `yaml:"worker"`
	State  string          `yaml:"state"`
}

// Worker states in drains and in notifications to dispatchers.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// LoadScenario reads and checks a scenario file; see ParseScenario.
func LoadScenario(file string, clock Clock) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return ParseScenario(file, text, clock)
}

// ParseScenario reads and checks a scenario and completes its settings with the fleet's models. The file name is for
// messages only. Problems with the text are returned as config.Problems.
func ParseScenario(file string, text []byte, clock Clock) (*Scenario, error) {
	s, source, err := decodeScenario(file, text)
	if err != nil {
		return nil, err
	}
	s.check(source, clock)
	if problems := source.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// decodeScenario decodes a scenario and fills in defaults, without checking its values.
func decodeScenario(file string, text []byte) (*Scenario, *config.Source, error) {
	s := &Scenario{Seed: 1, Size: 1, Dispatchers: 1, Settings: config.Default(),
		Fleet: Fleet{Zones: 1, Cores: 4, Speed: 1, Memory: config.Bytes(2e9), QueueLimit: 64, ConcurrentLoads: 4, CachesImages: true, StopsCancelled: true,
			StoreSlots: 4, StoreLimit: 24},
		Network: Network{Delay: config.Seconds(0.0001), Jitter: config.Seconds(0.0001)}}
	source, err := config.Decode(file, text, s)
	if err != nil {
		return nil, nil, err
	}
	if problems := source.Problems(); len(problems) > 0 {
		return nil, nil, problems
	}
	return s, source, nil
}

// peakFactor returns the largest factor of a burst, at least 1.
func (s *Scenario) peakFactor() float64 {
	factor := 1.0
	for _, b := range s.Clients.Bursts {
		factor = math.Max(factor, b.Factor)
	}
	return factor
}

// withoutFaults returns the scenario with the same load and without faults.
func (s *Scenario) withoutFaults() *Scenario {
	faultFree := *s
	faultFree.Faults = nil
	faultFree.Kills = nil
	faultFree.Drains = nil
	faultFree.Releases = nil
	faultFree.StaleLists = nil
	faultFree.Clients.Bursts = nil
	faultFree.releaseSteps = 0
	return &faultFree
}

func workerName(index int) string { return fmt.Sprintf("w%d", index+1) }

func (s *Scenario) workerNames() []string {
	var names []string
	for i := range s.Fleet.Workers {
		names = append(names, workerName(i))
	}
	return names
}

// groups returns the model groups by name.
func (s *Scenario) groups() map[string]config.Group {
	groups := map[string]config.Group{}
	for _, g := range s.Settings.Groups {
		groups[g.Name] = g
	}
	return groups
}
