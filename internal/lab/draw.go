package lab

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/goccy/go-yaml"

	"mastchute/internal/config"
)

// Draw makes a day by chance: a site, its load, and up to four troubles, kills, drains or a release, some of them at
// the same time. The same seed makes the same day.
func Draw(seed uint64) ([]byte, error) {
	rnd := rand.New(rand.NewPCG(seed, 6))
	among := func(lo, hi float64) float64 { return lo * math.Pow(hi/lo, rnd.Float64()) } // log-uniform
	round := func(x float64) float64 { return math.Round(x*1000) / 1000 }
	secs := func(lo, hi float64) config.Duration { return config.S(round(among(lo, hi))) }
	d := &Day{Name: fmt.Sprintf("drawn %d", seed), Seed: seed, Size: 1, Seconds: config.S(30), Settings: config.Default()}
	d.Fleet = Fleet{Workers: int(among(4, 100)), Zones: 1 + rnd.IntN(3), Cores: float64(2 + rnd.IntN(5)), Speed: 1, Memory: config.B(int64(1+rnd.IntN(4)) * 1e9),
		Queue: 4 + rnd.IntN(30), Loads: 2 + rnd.IntN(5), Disk: rnd.IntN(2) > 0, StopsCancelled: rnd.IntN(2) > 0, StoreSlots: 4 + rnd.IntN(20), StoreLimit: 200,
		Keep: secs(4, 20)}
	d.Dispatchers = int(among(1, 3*float64(d.Fleet.Workers)))
	g := func(name, effect, scope string, value float64) {
		d.Settings.Groups = append(d.Settings.Groups, config.Group{Name: name, Effect: effect, Scope: scope, Window: secs(2, 4), SLO: secs(0.5, 1.2),
			Timeout: secs(2, 5), Value: value})
	}
	d.Settings.Groups = nil
	g("read", "retriable", "", 1)
	g("write", "deduped", []string{"all", "zone"}[rnd.IntN(2)], 2)
	d.Settings.Groups[0].Window = config.Duration{}
	g("once", "non-retriable", "", 3)
	d.Settings.Groups[2].Window = config.Duration{}
	d.Settings.Loads.OnMiss, d.Settings.Loads.Keep = []string{"load", "miss"}[rnd.IntN(2)], d.Fleet.Keep
	r := &d.Settings.Rules
	r.DrainGrace, r.ColdShare, r.WarmAfter, r.OverloadFactor, r.Fall = config.S(0.5), round(among(0.15, 0.5)), secs(3, 12), float64(2+rnd.IntN(3)), config.S(1)
	work := 0.0
	for i, name := range []string{"read", "write", "once"} {
		m := Models{Name: name, Group: name, Count: int(among(2, 6*float64(d.Fleet.Workers))), Memory: config.B(int64(among(1e8, 5e8))), Lanes: 1 + rnd.IntN(4),
			Work: secs(0.03, 0.25), Fetch: secs(0.1, 1), Boot: secs(0.05, 0.5), Share: []float64{5, 3, 2}[i], Zipf: round(0.8 + 0.5*rnd.Float64())}
		work += m.Share / 10 * m.Work.Seconds
		d.Models = append(d.Models, m)
	}
	full := float64(d.Fleet.Workers) * d.Fleet.Cores / work
	d.Clients = Clients{Rate: math.Round(math.Min(2000, full*(0.4+0.5*rnd.Float64()))*10) / 10, Retries: rnd.IntN(3), Impatient: 0.02}
	kinds := append(KindNames(), "kill", "drain", "release", "burst")
	at, long := 0.0, 0.0
	for i := range 1 + rnd.IntN(4) {
		if i%2 == 0 || rnd.IntN(2) > 0 { // else together with the last one
			at, long = round(4+16*rnd.Float64()), round(among(1, 8))
		}
		w := fmt.Sprintf("w%d", 1+rnd.IntN(d.Fleet.Workers))
		if rnd.IntN(3) == 0 {
			w = fmt.Sprintf("w*%d", rnd.IntN(10)) // a tenth of them, or all of few
		}
		switch kind := kinds[rnd.IntN(len(kinds))]; kind {
		case "kill":
			d.Kills = append(d.Kills, Kill{config.S(at), config.S(1), rnd.IntN(d.Dispatchers)})
		case "drain":
			d.Drains = append(d.Drains, Drain{config.S(at), config.S(long), fmt.Sprintf("w%d", 1+rnd.IntN(d.Fleet.Workers)), "draining"})
		case "release":
			d.Releases = []Release{{config.S(at), config.S(2), 1 + d.Fleet.Workers/12, config.S(1), config.S(2)}}
		case "burst":
			d.Clients.Bursts = append(d.Clients.Bursts, Burst{Span{config.S(at), config.S(long)}, round(among(1.3, 4))})
		default:
			d.Troubles = append(d.Troubles, Trouble{config.S(at), config.S(long), kind, w, round(among(0.1, 1)), round(among(2, 10)), "read"})
		}
	}
	return yaml.Marshal(d)
}

const lossLeast = 0.01 // of service: less is the chance of a run, and nothing would be left of the day when shrunk

// Found is a day that a hunt found weak.
type Found struct {
	Text    []byte
	Name    string
	Service float64
	Quiet   float64 // the same day without its troubles
	Broken  []Finding
}

// quiet is the day without anything that goes wrong.
func (d *Day) quiet() *Day {
	c := *d
	c.Troubles, c.Kills, c.Drains, c.Releases, c.Stale, c.Clients.Bursts = nil, nil, nil, nil, nil, nil
	return &c
}

// Hunt plays drawn days from a seed on and returns the weak ones: those with a broken rule, then those that lose most
// against the same day without its troubles.
func Hunt(ctx context.Context, from uint64, budget, keep, jobs int, say io.Writer) ([]Found, error) {
	all, errs := make([]*Found, budget), make([]error, budget)
	each(jobs, budget, func(k int) {
		if ctx.Err() != nil {
			return
		}
		text, err := Draw(from + uint64(k))
		var d *Day
		if err == nil {
			d, err = ParseDay("drawn", text, Simulated)
		}
		if err != nil {
			errs[k] = fmt.Errorf("seed %d: %w", from+uint64(k), err)
			return
		}
		q := *d
		_, rep := Simulate(ctx, d, nil, nil)
		_, calm := Simulate(ctx, q.quiet(), nil, nil)
		if ctx.Err() == nil {
			all[k] = &Found{text, d.Name, rep.Service, calm.Service, broken(rep)}
			fmt.Fprintf(say, "%s: service %.3f, %.3f without troubles, rules broken %d\n", d.Name, rep.Service, calm.Service, len(broken(rep)))
		}
	})
	var out []Found
	for k, f := range all {
		if errs[k] != nil {
			return nil, errs[k]
		}
		if f != nil && (len(f.Broken) > 0 || f.Quiet-f.Service > lossLeast) {
			out = append(out, *f)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		if a, b := len(out[i].Broken), len(out[j].Broken); a != b {
			return a > b
		}
		return out[i].Quiet-out[i].Service > out[j].Quiet-out[j].Service
	})
	return out[:min(keep, len(out))], nil
}

func broken(rep *Report) (out []Finding) {
	for _, f := range rep.Findings {
		if f.Broken > 0 {
			out = append(out, f)
		}
	}
	return out
}

// weak tells whether a day still shows what was found: the broken rule, or three quarters of the loss.
func (f *Found) weak(ctx context.Context, text []byte) bool {
	d, err := ParseDay("shrunk", text, Simulated)
	if err != nil {
		return false
	}
	q := *d
	_, rep := Simulate(ctx, d, nil, nil)
	for _, b := range f.Broken {
		return rep.Findings[b.Rule-1].Broken > 0
	}
	_, calm := Simulate(ctx, q.quiet(), nil, nil)
	return calm.Service-rep.Service >= 0.75*(f.Quiet-f.Service)
}

// Shrink takes away what a found day does not need to be weak: things that go wrong, then size, length and models,
// until nothing more can go.
func Shrink(ctx context.Context, f Found, say io.Writer) []byte {
	text := f.Text
	for again := true; again && ctx.Err() == nil; {
		again = false
		for _, less := range smaller(text) {
			if t, err := yaml.Marshal(less.day); err == nil && ctx.Err() == nil && f.weak(ctx, t) {
				fmt.Fprintf(say, "%s: without %s it is as weak\n", f.Name, less.what)
				text, again = t, true
				break
			}
		}
	}
	return text
}

type lesser struct {
	what string
	day  *Day
}

// smaller lists the days that are one step less than this one.
func smaller(text []byte) (out []lesser) {
	read := func() *Day {
		d, _, err := decodeDay("", text)
		if err != nil {
			return &Day{} // it was read before
		}
		return d
	}
	d := read()
	step := func(what string, f func(d *Day)) {
		c := read()
		f(c)
		out = append(out, lesser{what, c})
	}
	for i, t := range d.Troubles {
		step("trouble "+t.Kind, func(d *Day) { d.Troubles = slices.Delete(d.Troubles, i, i+1) })
	}
	for i := range d.Kills {
		step("a kill", func(d *Day) { d.Kills = slices.Delete(d.Kills, i, i+1) })
	}
	for i := range d.Drains {
		step("a drain", func(d *Day) { d.Drains = slices.Delete(d.Drains, i, i+1) })
	}
	for i := range d.Clients.Bursts {
		step("a burst", func(d *Day) { d.Clients.Bursts = slices.Delete(d.Clients.Bursts, i, i+1) })
	}
	if len(d.Releases) > 0 {
		step("the release", func(d *Day) { d.Releases = nil })
	}
	if d.Dispatchers > 1 && len(d.Kills) == 0 {
		step("half its dispatchers", func(d *Day) { d.Dispatchers /= 2 })
	}
	if d.Clients.Retries > 0 {
		step("retries", func(d *Day) { d.Clients.Retries = 0 })
	}
	if d.Clients.Impatient > 0 {
		step("impatient clients", func(d *Day) { d.Clients.Impatient = 0 })
	}
	if len(d.Models) > 1 {
		for i, m := range d.Models {
			step("models "+m.Name, func(d *Day) { d.Models = slices.Delete(d.Models, i, i+1) })
		}
	}
	return out
}
