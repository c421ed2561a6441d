// Package lab plays days: load and trouble against real dispatchers, over loopback sockets, in real processes, with
// stand-in workers. Clients and stand-ins record what the sockets carried; the judge decides from that alone whether
// the five rules held, and how often each was put to the test.
package lab

import (
	"fmt"
	"math"
	"os"
	"sort"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

// Day is a day file. docs/lab.md describes it.
type Day struct {
	Name        string          `yaml:"name"`
	Seed        uint64          `yaml:"seed"`
	Seconds     config.Duration `yaml:"length"`
	Dispatchers int             `yaml:"dispatchers"`
	Settings    config.Config   `yaml:"settings"`
	Fleet       Fleet           `yaml:"fleet"`
	Models      []Models        `yaml:"models"`
	Clients     Clients         `yaml:"clients"`
	Troubles    []Trouble       `yaml:"troubles"`
	Kills       []Kill          `yaml:"kills"`
	Drains      []Drain         `yaml:"drains"`
	Releases    []Release       `yaml:"releases"`
	Size        float64         `yaml:"size"`    // multiplies dispatchers, workers, models, load and store alike
	Network     Network         `yaml:"network"` // in simulated time; over sockets it is what loopback is
	Stale       []Span          `yaml:"stale"`   // the list of workers is stuck: drains are heard at its end only
	released    int             // drains and troubles, at the end of their lists, that a release came to
}

// Fleet describes the stand-in workers.
type Fleet struct {
	Workers        int             `yaml:"workers"`
	Zones          int             `yaml:"zones"`
	Cores          float64         `yaml:"cores"`
	Speed          float64         `yaml:"speed"`
	Memory         config.Size     `yaml:"memory"`
	Queue          int             `yaml:"queue"`
	Loads          int             `yaml:"loads"`
	Disk           bool            `yaml:"disk"`
	StopsCancelled bool            `yaml:"stops_cancelled"`
	Cold           bool            `yaml:"cold"` // all start cold at the day's begin
	StoreSlots     int             `yaml:"store_slots"`
	StoreLimit     int             `yaml:"store_limit"`
	Keep           config.Duration `yaml:"keep"`
}

// Models are some models alike.
type Models struct {
	Name   string          `yaml:"name"`
	Count  int             `yaml:"count"`
	Group  string          `yaml:"group"`
	Memory config.Size     `yaml:"memory"`
	Lanes  int             `yaml:"lanes"`
	Work   config.Duration `yaml:"work"`
	Fetch  config.Duration `yaml:"fetch"`
	Boot   config.Duration `yaml:"boot"`
	Share  float64         `yaml:"share"` // of all requests, beside the others' shares
	Zipf   float64         `yaml:"zipf"`  // how unequal their popularity is; 0 for equal
	Answer config.Size     `yaml:"answer"`
}

// Clients describe the load: open-loop arrivals at a rate.
type Clients struct {
	Rate      float64 `yaml:"rate"` // requests asked a second
	Retries   int     `yaml:"retries"`
	Impatient float64 `yaml:"impatient"` // share of tries that leave before the time is up
	Bursts    []Burst `yaml:"bursts"`
}

// Burst multiplies the rate for a while.
type Burst struct {
	Span   `yaml:",inline"`
	Factor float64 `yaml:"factor"`
}

// Release restarts workers, some at a time: each drains, goes, and comes back cold and empty under its name.
type Release struct {
	At       config.Duration `yaml:"at"`
	Every    config.Duration `yaml:"every"`    // between the begins of two batches
	Together int             `yaml:"together"` // workers of a batch
	Drain    config.Duration `yaml:"drain"`
	Down     config.Duration `yaml:"down"`
}

// Network is what messages between clients, dispatchers and workers meet, each way.
type Network struct {
	Delay  config.Duration `yaml:"delay"`
	Jitter config.Duration `yaml:"jitter"` // mean of what is added, exponential
	Lost   float64         `yaml:"lost"`   // share of messages lost once and sent again after resend
}

// Span is a time of the day.
type Span struct {
	At  config.Duration `yaml:"at"`
	For config.Duration `yaml:"for"`
}

// Trouble is switched on at the stand-ins.
type Trouble struct {
	At     config.Duration `yaml:"at"`
	For    config.Duration `yaml:"for"`
	Kind   string          `yaml:"kind"`
	Worker string          `yaml:"worker"`
	Share  float64         `yaml:"share"`
	Factor float64         `yaml:"factor"`
	What   string          `yaml:"what"`
}

// Kill ends a dispatcher outright and starts it again.
type Kill struct {
	At         config.Duration `yaml:"at"`
	Down       config.Duration `yaml:"down"`
	Dispatcher int             `yaml:"dispatcher"`
}

// Drain tells all dispatchers that a worker drains or is gone, and for how long.
type Drain struct {
	At     config.Duration `yaml:"at"`
	For    config.Duration `yaml:"for"`
	Worker string          `yaml:"worker"`
	State  string          `yaml:"state"`
}

// LoadDay reads and checks a day file; its settings are completed with the fleet's models.
func LoadDay(file string, clock Clock) (*Day, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return ParseDay(file, text, clock)
}

// decodeDay reads a day as it is written, without checking what it says.
func decodeDay(file string, text []byte) (*Day, *config.Source, error) {
	d := &Day{Seed: 1, Size: 1, Dispatchers: 1, Settings: config.Default(), Fleet: Fleet{Zones: 1, Cores: 4, Speed: 1, Memory: config.B(2e9),
		Queue: 64, Loads: 4, Disk: true, StopsCancelled: true, StoreSlots: 4, StoreLimit: 24},
		Network: Network{Delay: config.S(0.0001), Jitter: config.S(0.0001)}}
	s, err := config.Decode(file, text, d)
	if err != nil {
		return nil, nil, err
	}
	if p := s.Problems(); len(p) > 0 {
		return nil, nil, p
	}
	return d, s, nil
}

// ParseDay reads and checks a day; file is for messages only. The error is config.Problems.
func ParseDay(file string, text []byte, clock Clock) (*Day, error) {
	d, s, err := decodeDay(file, text)
	if err != nil {
		return nil, err
	}
	d.check(s, mosts[clock])
	if p := s.Problems(); len(p) > 0 {
		return nil, p
	}
	return d, nil
}

func (d *Day) peak() float64 {
	f := 1.0
	for _, b := range d.Clients.Bursts {
		f = math.Max(f, b.Factor)
	}
	return f
}

// grow makes the day larger or smaller by a factor, alike in all that grows with a site.
func (d *Day) grow(by float64) {
	count := func(n *int) { *n = max(1, int(math.Round(float64(*n)*by))) }
	if by == 1 {
		return
	}
	count(&d.Dispatchers)
	count(&d.Fleet.Workers)
	count(&d.Fleet.StoreSlots)
	count(&d.Fleet.StoreLimit)
	for i := range d.Models {
		d.Models[i].Count = max(1, d.Models[i].Count)
		count(&d.Models[i].Count)
	}
	for i := range d.Releases {
		count(&d.Releases[i].Together)
	}
	for i := range d.Settings.Tenants {
		d.Settings.Tenants[i].Quota *= by
	}
	d.Clients.Rate *= by
}

// release plays a release as drains and workers that vanish.
func (d *Day) release(x Release) {
	if x.Every.Seconds <= 0 || x.Together <= 0 {
		return // said already
	}
	for i, w := range d.workerNames() {
		at := x.At.Seconds + float64(i/x.Together)*x.Every.Seconds
		if at+x.Drain.Seconds >= d.Seconds.Seconds {
			return
		}
		d.Drains = append(d.Drains, Drain{config.S(at), config.S(x.Drain.Seconds + x.Down.Seconds), w, "draining"})
		d.Troubles = append(d.Troubles, Trouble{At: config.S(at + x.Drain.Seconds), For: x.Down, Kind: "vanish", Worker: w})
		d.released++
	}
}

// word is what dispatchers are told of a worker, and when.
type word struct {
	at            float64
	worker, state string
}

// words are all the day's: a list that is stuck is heard at the end of that.
func (d *Day) words() (out []word) {
	for _, x := range d.Drains {
		heard, back := x.At.Seconds, x.At.Seconds+x.For.Seconds
		for _, s := range d.Stale {
			if heard >= s.At.Seconds && heard < s.At.Seconds+s.For.Seconds {
				heard = s.At.Seconds + s.For.Seconds
			}
		}
		out = append(out, word{heard, x.Worker, x.State})
		if x.For.Seconds > 0 && back > heard {
			out = append(out, word{back, x.Worker, "ready"})
		}
	}
	return out
}

// KindNames lists the troubles known.
func KindNames() []string {
	var out []string
	for k := range emulator.Kinds {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (d *Day) workerNames() []string {
	var out []string
	for i := range d.Fleet.Workers {
		out = append(out, fmt.Sprintf("w%d", i+1))
	}
	return out
}

// Spec is the fleet of the day for the stand-ins.
func (d *Day) Spec() emulator.Spec {
	r, f := d.Settings.Rules, d.Fleet
	groups := map[string]config.Group{}
	for _, g := range d.Settings.Groups {
		groups[g.Name] = g
	}
	s := emulator.Spec{Seed: d.Seed, Store: emulator.StoreSpec{Slots: f.StoreSlots, Limit: f.StoreLimit}}
	for i, n := range d.workerNames() {
		s.Workers = append(s.Workers, emulator.WorkerSpec{Name: n, Zone: fmt.Sprintf("z%d", i%f.Zones+1), Cores: f.Cores, Speed: f.Speed,
			MemoryMB: f.Memory.MB(), Queue: f.Queue, Loads: f.Loads, OnMiss: emulator.MissPolicy(d.Settings.Loads.OnMiss), Keep: f.Keep.Seconds, Disk: f.Disk,
			StopsCancelled: f.StopsCancelled, ColdShare: r.ColdShare, WarmAfter: r.WarmAfter.Seconds, Overload: r.OverloadFactor,
			Fall: r.Fall.Seconds})
	}
	for _, m := range d.Models {
		s.Models = append(s.Models, emulator.ModelSpec{Name: m.Name + "-*", Group: m.Group, MemoryMB: m.Memory.MB(), Lanes: m.Lanes,
			Work: m.Work.Seconds, Fetch: m.Fetch.Seconds, Boot: m.Boot.Seconds, Deduped: groups[m.Group].Effect == "deduped",
			DedupWindow: groups[m.Group].Window.Seconds, DedupScope: emulator.DedupScope(groups[m.Group].Scope),
			ResponseBytes: int(m.Answer.Bytes)})
	}
	return s
}

// named is one model of the day with its share of all requests.
type named struct {
	name  string
	group config.Group
	upTo  float64 // cumulative share
}

// popularity lists all models of the day, by cumulative share.
func (d *Day) popularity() []named {
	var out []named
	total := 0.0
	for _, m := range d.Models {
		var g config.Group
		for _, o := range d.Settings.Groups {
			if o.Name == m.Group {
				g = o
			}
		}
		share := m.Share
		if share == 0 {
			share = 1
		}
		sum := 0.0
		for i := range m.Count {
			sum += math.Pow(float64(i+1), -m.Zipf)
		}
		for i := range m.Count {
			total += share * math.Pow(float64(i+1), -m.Zipf) / sum
			out = append(out, named{fmt.Sprintf("%s-%d", m.Name, i+1), g, total})
		}
	}
	for i := range out {
		out[i].upTo /= total
	}
	return out
}
