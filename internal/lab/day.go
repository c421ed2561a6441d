// Package lab plays days: load and trouble against real dispatchers, over loopback sockets, in real processes, with
// stand-in workers. Clients and stand-ins record what the sockets carried; the judge decides from that alone whether
// the five rules held, and how often each was put to the test.
package lab

import (
	"fmt"
	"math"
	"os"
	"slices"
	"sort"
	"strings"

	"mastchute/internal/config"
	"mastchute/internal/standin"
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

// Clock says how a day is played: over sockets in real processes, or in simulated time.
type Clock uint8

const (
	Sockets Clock = iota
	Simulated
)

// most is what one machine can hold of a day.
type most struct {
	dispatchers, workers, rate, requests float64
}

const mostLength = 3600.0 // s

var mosts = map[Clock]most{
	Sockets:   {dispatchers: 16, workers: 200, rate: 2000, requests: 2e6},
	Simulated: {dispatchers: 400, workers: 1000, rate: 20000, requests: 2e6},
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

func (d *Day) check(s *config.Source, m most) {
	between := func(path string, v, low, high float64) {
		if !(v >= low && v <= high) {
			s.At("$."+path, "%g is out of range: write %g to %g", v, low, high)
		}
	}
	length := d.Seconds.Seconds
	between("size", d.Size, 0.001, 1000)
	d.grow(d.Size)
	between("length", length, 1, mostLength)
	between("dispatchers", float64(d.Dispatchers), 1, m.dispatchers)
	between("fleet.workers", float64(d.Fleet.Workers), 1, m.workers)
	between("fleet.zones", float64(d.Fleet.Zones), 1, 100)
	between("fleet.cores", d.Fleet.Cores, 0.1, 1024)
	between("fleet.speed", d.Fleet.Speed, 0.01, 100)
	between("fleet.queue", float64(d.Fleet.Queue), 0, 1e6)
	between("fleet.loads", float64(d.Fleet.Loads), 1, 1e6)
	between("clients.rate", d.Clients.Rate, 0.1, m.rate)
	between("clients.retries", float64(d.Clients.Retries), 0, 20)
	between("clients.impatient", d.Clients.Impatient, 0, 1)
	if d.Fleet.Keep.Seconds == 0 {
		d.Fleet.Keep = d.Settings.Loads.Keep
	}
	groups := map[string]config.Group{}
	for _, g := range d.Settings.Groups {
		groups[g.Name] = g
	}
	if len(d.Models) == 0 {
		s.At("$.models", "there is none: write name, group, work and share of some")
	}
	d.Settings.Models = nil
	for i := range d.Models {
		m, at := &d.Models[i], fmt.Sprintf("models[%d].", i)
		if m.Count == 0 {
			m.Count = 1
		}
		if m.Lanes == 0 {
			m.Lanes = 1
		}
		between(at+"count", float64(m.Count), 1, 10000)
		between(at+"work", m.Work.Seconds, 0.0001, 60)
		between(at+"share", m.Share, 0, 1e6)
		between(at+"zipf", m.Zipf, 0, 10)
		if _, ok := groups[m.Group]; !ok {
			s.At("$."+at+"group", "%q is no model group of settings.groups", m.Group)
		}
		if m.Memory.Bytes > d.Fleet.Memory.Bytes {
			s.At("$."+at+"memory", "no worker can hold one copy")
		}
		d.Settings.Models = append(d.Settings.Models, config.Model{Name: m.Name + "-*", Group: m.Group, Memory: m.Memory,
			Lanes: float64(m.Lanes), Load: config.S(m.Fetch.Seconds + m.Boot.Seconds)})
	}
	d.Settings.Dispatchers = d.Dispatchers
	d.Settings.Check(s, "$.settings")
	span := func(path string, at, long float64) {
		if !(at >= 0 && at < length) {
			s.At("$."+path+".at", "%gs is not within the day of %gs", at, length)
		}
		if long < 0 || at+long > length+mostLength {
			s.At("$."+path+".for", "%gs is out of range", long)
		}
	}
	worker := func(path, name string) {
		if name != "" && !slices.Contains(d.workerNames(), name) && !strings.ContainsAny(name, "*?[") {
			s.At("$."+path, "%q is no worker of this day: write w1 to w%d", name, d.Fleet.Workers)
		}
	}
	for i, x := range d.Releases {
		at := fmt.Sprintf("releases[%d]", i)
		span(at, x.At.Seconds, 0)
		between(at+".every", x.Every.Seconds, 0.01, mostLength)
		between(at+".together", float64(x.Together), 1, 1e6)
		between(at+".drain", x.Drain.Seconds, 0, mostLength)
		between(at+".down", x.Down.Seconds, 0, mostLength)
		d.release(x)
	}
	for i, t := range d.Troubles {
		at := fmt.Sprintf("troubles[%d]", i)
		span(at, t.At.Seconds, t.For.Seconds)
		worker(at+".worker", t.Worker)
		if _, ok := standin.Kinds[t.Kind]; !ok {
			s.At("$."+at+".kind", "%q is not known: write %s", t.Kind, strings.Join(KindNames(), ", "))
		}
		between(at+".share", t.Share, 0, 1)
		between(at+".factor", t.Factor, 0, 1000)
	}
	for i, k := range d.Kills {
		at := fmt.Sprintf("kills[%d]", i)
		span(at, k.At.Seconds, k.Down.Seconds)
		if k.Dispatcher < 0 || k.Dispatcher >= d.Dispatchers {
			s.At("$."+at+".dispatcher", "there is no dispatcher %d: write 0 to %d", k.Dispatcher, d.Dispatchers-1)
		}
	}
	for i := range d.Drains {
		r, at := &d.Drains[i], fmt.Sprintf("drains[%d]", i)
		span(at, r.At.Seconds, r.For.Seconds)
		if worker(at+".worker", r.Worker); r.Worker == "" {
			s.At("$."+at+".worker", "is missing")
		}
		if r.State == "" {
			r.State = "draining"
		}
		if r.State != "draining" && r.State != "gone" {
			s.At("$."+at+".state", "%q is not known: write draining, gone", r.State)
		}
	}
	for i, t := range d.Stale {
		span(fmt.Sprintf("stale[%d]", i), t.At.Seconds, t.For.Seconds)
	}
	for i, b := range d.Clients.Bursts {
		at := fmt.Sprintf("clients.bursts[%d]", i)
		span(at, b.At.Seconds, b.For.Seconds)
		between(at+".factor", b.Factor, 0, 100)
	}
	if peak := d.Clients.Rate * d.peak(); peak > m.rate {
		s.At("$.clients.bursts", "%g inferences a second at the peak are more than one machine plays: %g at most", peak, m.rate)
	}
	if n := d.Clients.Rate * length; n > m.requests {
		s.At("$.length", "%g inferences in all are more than one machine keeps: %g at most", n, m.requests)
	}
	between("network.delay", d.Network.Delay.Seconds, 0, 10)
	between("network.jitter", d.Network.Jitter.Seconds, 0, 10)
	between("network.lost", d.Network.Lost, 0, 1)
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
	for k := range standin.Kinds {
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
func (d *Day) Spec() standin.Spec {
	r, f := d.Settings.Rules, d.Fleet
	groups := map[string]config.Group{}
	for _, g := range d.Settings.Groups {
		groups[g.Name] = g
	}
	s := standin.Spec{Seed: d.Seed, Store: standin.StoreSpec{Slots: f.StoreSlots, Limit: f.StoreLimit}}
	for i, n := range d.workerNames() {
		s.Workers = append(s.Workers, standin.WorkerSpec{Name: n, Zone: fmt.Sprintf("z%d", i%f.Zones+1), Cores: f.Cores, Speed: f.Speed,
			MemoryMB: f.Memory.MB(), Queue: f.Queue, Loads: f.Loads, OnMiss: d.Settings.Loads.OnMiss, Keep: f.Keep.Seconds, Disk: f.Disk,
			StopsCancelled: f.StopsCancelled, ColdShare: r.ColdShare, WarmAfter: r.WarmAfter.Seconds, Overload: r.OverloadFactor,
			Fall: r.Fall.Seconds})
	}
	for _, m := range d.Models {
		s.Models = append(s.Models, standin.ModelSpec{Name: m.Name + "-*", Group: m.Group, MemoryMB: m.Memory.MB(), Lanes: m.Lanes,
			Work: m.Work.Seconds, Fetch: m.Fetch.Seconds, Boot: m.Boot.Seconds, Deduped: groups[m.Group].Effect == "deduped",
			Window: groups[m.Group].Window.Seconds, Scope: groups[m.Group].Scope,
			AnswerBytes: int(m.Answer.Bytes)})
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
