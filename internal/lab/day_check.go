package lab

import (
	"fmt"
	"slices"
	"strings"

	"mastchute/internal/config"
	"mastchute/internal/standin"
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
