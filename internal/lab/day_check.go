package lab

import (
	"fmt"
	"slices"
	"strings"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

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

func (d *Day) check(s *config.Source, m most) {
	k := &dayChecker{Source: s, day: d, most: m, length: d.Seconds.Seconds}
	k.between("size", d.Size, 0.001, 1000)
	d.grow(d.Size)
	k.sizes()
	if d.Fleet.Keep.Seconds == 0 {
		d.Fleet.Keep = d.Settings.Loads.Keep
	}
	k.models()
	d.Settings.Dispatchers = d.Dispatchers
	d.Settings.Check(s, "$.settings")
	k.releases()
	k.troubles()
	k.load()
	k.network()
}

// dayChecker reports what is wrong with a day, for a machine that holds so much.
type dayChecker struct {
	*config.Source
	day    *Day
	most   most
	length float64
}

func (k *dayChecker) between(path string, v, low, high float64) {
	if !(v >= low && v <= high) {
		k.At("$."+path, "%g is out of range: write %g to %g", v, low, high)
	}
}

func (k *dayChecker) span(path string, at, long float64) {
	if !(at >= 0 && at < k.length) {
		k.At("$."+path+".at", "%gs is not within the day of %gs", at, k.length)
	}
	if long < 0 || at+long > k.length+mostLength {
		k.At("$."+path+".for", "%gs is out of range", long)
	}
}

func (k *dayChecker) worker(path, name string) {
	if name != "" && !slices.Contains(k.day.workerNames(), name) && !strings.ContainsAny(name, "*?[") {
		k.At("$."+path, "%q is no worker of this day: write w1 to w%d", name, k.day.Fleet.Workers)
	}
}

func (k *dayChecker) sizes() {
	k.between("length", k.length, 1, mostLength)
	k.between("dispatchers", float64(k.day.Dispatchers), 1, k.most.dispatchers)
	k.between("fleet.workers", float64(k.day.Fleet.Workers), 1, k.most.workers)
	k.between("fleet.zones", float64(k.day.Fleet.Zones), 1, 100)
	k.between("fleet.cores", k.day.Fleet.Cores, 0.1, 1024)
	k.between("fleet.speed", k.day.Fleet.Speed, 0.01, 100)
	k.between("fleet.queue", float64(k.day.Fleet.Queue), 0, 1e6)
	k.between("fleet.loads", float64(k.day.Fleet.Loads), 1, 1e6)
	k.between("clients.rate", k.day.Clients.Rate, 0.1, k.most.rate)
	k.between("clients.retries", float64(k.day.Clients.Retries), 0, 20)
	k.between("clients.impatient", k.day.Clients.Impatient, 0, 1)
}

func (k *dayChecker) models() {
	groups := map[string]config.Group{}
	for _, g := range k.day.Settings.Groups {
		groups[g.Name] = g
	}
	if len(k.day.Models) == 0 {
		k.At("$.models", "there is none: write name, group, work and share of some")
	}
	k.day.Settings.Models = nil
	for i := range k.day.Models {
		m, at := &k.day.Models[i], fmt.Sprintf("models[%d].", i)
		if m.Count == 0 {
			m.Count = 1
		}
		if m.Lanes == 0 {
			m.Lanes = 1
		}
		k.between(at+"count", float64(m.Count), 1, 10000)
		k.between(at+"work", m.Work.Seconds, 0.0001, 60)
		k.between(at+"share", m.Share, 0, 1e6)
		k.between(at+"zipf", m.Zipf, 0, 10)
		if _, ok := groups[m.Group]; !ok {
			k.At("$."+at+"group", "%q is no model group of settings.groups", m.Group)
		}
		if m.Memory.Bytes > k.day.Fleet.Memory.Bytes {
			k.At("$."+at+"memory", "no worker can hold one copy")
		}
		k.day.Settings.Models = append(k.day.Settings.Models, config.Model{Name: m.Name + "-*", Group: m.Group, Memory: m.Memory,
			Lanes: float64(m.Lanes), Load: config.S(m.Fetch.Seconds + m.Boot.Seconds)})
	}
}

func (k *dayChecker) releases() {
	for i, x := range k.day.Releases {
		at := fmt.Sprintf("releases[%d]", i)
		k.span(at, x.At.Seconds, 0)
		k.between(at+".every", x.Every.Seconds, 0.01, mostLength)
		k.between(at+".together", float64(x.Together), 1, 1e6)
		k.between(at+".drain", x.Drain.Seconds, 0, mostLength)
		k.between(at+".down", x.Down.Seconds, 0, mostLength)
		k.day.release(x)
	}
}

func (k *dayChecker) troubles() {
	for i, t := range k.day.Troubles {
		at := fmt.Sprintf("troubles[%d]", i)
		k.span(at, t.At.Seconds, t.For.Seconds)
		k.worker(at+".worker", t.Worker)
		if _, ok := emulator.Kinds[t.Kind]; !ok {
			k.At("$."+at+".kind", "%q is not known: write %s", t.Kind, strings.Join(KindNames(), ", "))
		}
		k.between(at+".share", t.Share, 0, 1)
		k.between(at+".factor", t.Factor, 0, 1000)
	}
	for i, kill := range k.day.Kills {
		at := fmt.Sprintf("kills[%d]", i)
		k.span(at, kill.At.Seconds, kill.Down.Seconds)
		if kill.Dispatcher < 0 || kill.Dispatcher >= k.day.Dispatchers {
			k.At("$."+at+".dispatcher", "there is no dispatcher %d: write 0 to %d", kill.Dispatcher, k.day.Dispatchers-1)
		}
	}
	for i := range k.day.Drains {
		r, at := &k.day.Drains[i], fmt.Sprintf("drains[%d]", i)
		k.span(at, r.At.Seconds, r.For.Seconds)
		if k.worker(at+".worker", r.Worker); r.Worker == "" {
			k.At("$."+at+".worker", "is missing")
		}
		if r.State == "" {
			r.State = "draining"
		}
		if r.State != "draining" && r.State != "gone" {
			k.At("$."+at+".state", "%q is not known: write draining, gone", r.State)
		}
	}
	for i, t := range k.day.Stale {
		k.span(fmt.Sprintf("stale[%d]", i), t.At.Seconds, t.For.Seconds)
	}
}

func (k *dayChecker) load() {
	for i, b := range k.day.Clients.Bursts {
		at := fmt.Sprintf("clients.bursts[%d]", i)
		k.span(at, b.At.Seconds, b.For.Seconds)
		k.between(at+".factor", b.Factor, 0, 100)
	}
	if peak := k.day.Clients.Rate * k.day.peak(); peak > k.most.rate {
		k.At("$.clients.bursts", "%g inferences a second at the peak are more than one machine plays: %g at most", peak, k.most.rate)
	}
	if n := k.day.Clients.Rate * k.length; n > k.most.requests {
		k.At("$.length", "%g inferences in all are more than one machine keeps: %g at most", n, k.most.requests)
	}
}

func (k *dayChecker) network() {
	k.between("network.delay", k.day.Network.Delay.Seconds, 0, 10)
	k.between("network.jitter", k.day.Network.Jitter.Seconds, 0, 10)
	k.between("network.lost", k.day.Network.Lost, 0, 1)
}
