package lab

import (
	"encoding/json"
	"fmt"
	"math"
	"sort"

	"github.com/goccy/go-yaml"

	"mastchute/internal/config"
)

// foreign is what is read of a day of the bench. Spans are microseconds, memory is kB.
type foreign struct {
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
	Grace   float64 `json:"drain_grace"`
	Fall    float64 `json:"fall_for"`
	FallBy  float64 `json:"fall_multiple"`
	Classes []struct {
		Name                                string
		Share, Work, IO, Aim, Worth, Window float64
		Deadline                            float64
		Effect, Group                       string
	} `json:"classes"`
	Tiers []struct {
		Kinds []struct {
			Cores    float64
			Queue    int
			Cancel   string
			ColdFrom float64 `json:"cold_from"`
			Cold     float64
		}
	} `json:"tiers"`
	Zones   []string `json:"zones"`
	Servers []struct {
		Kind  int
		Speed float64
	} `json:"servers"`
	Balancers []json.RawMessage `json:"balancers"`
	Troubles  []struct {
		Kind  string
		At    float64
		Len   float64
		Extra float64
		Size  float64
		On    []int
	} `json:"troubles"`
	Fam struct {
		Catalog, Disk, Keep, Spare, Zipf float64
		Fetch                            float64 `json:"fetch_share"`
		LoadFree                         float64 `json:"load_free"`
		LoadShare                        float64 `json:"load_share"`
		LoadWindow                       float64 `json:"load_window"`
		LoadsAtOnce                      int     `json:"loads_at_once"`
		Orders                           bool    `json:"orders"`
		SelfLoad                         bool    `json:"self_load"`
		StoreTakes                       float64 `json:"store_takes"`
		StoreHeadroom                    float64 `json:"store_headroom"`
		Sorts                            []struct {
			Lanes        int
			Load, Memory float64
		} `json:"sorts"`
	} `json:"fam"`
}

// carried are the troubles of the bench that our stand-ins know, by our name.
var carried = map[string]string{"fast_errors": "fast_errors", "hang": "hang", "vanish": "vanish", "slow": "slow", "pauses": "pauses", "ageing": "ageing",
	"flush": "flush", "report_late": "report_late", "slow_connect": "slow_connect", "origin_slow": "store_slow", "neighbour": "slow"}

// Convert turns a day of the bench into one of ours. left names, a line each, what cannot be carried over or is only
// near. The error says why nothing came of it.
func Convert(in []byte) (text []byte, left []string, err error) {
	var f foreign
	if err := json.Unmarshal(in, &f); err != nil {
		return nil, nil, err
	}
	if len(f.Classes) == 0 || len(f.Servers) == 0 || len(f.Tiers) == 0 || len(f.Tiers[0].Kinds) == 0 || len(f.Fam.Sorts) < len(f.Classes) || f.Length <= 0 {
		return nil, nil, fmt.Errorf("it holds no day of models that are loaded on demand: classes, servers, kinds, sorts or length are missing")
	}
	say := func(format string, a ...any) { left = append(left, fmt.Sprintf(format, a...)) }
	secs := func(us float64) config.Duration { return config.S(math.Round(us/1e3) / 1e3) }
	d := &Day{Name: f.Site + " " + f.Kind, Seed: f.Noise % 1e6, Size: 1, Seconds: secs(f.Length), Dispatchers: max(1, len(f.Balancers)), Settings: config.Default()}
	cores, speed, queue, cold, share := 0.0, 0.0, 0, 0.0, 0.0
	kinds := f.Tiers[0].Kinds
	for _, s := range f.Servers {
		k := kinds[min(s.Kind, len(kinds)-1)]
		n := float64(len(f.Servers))
		cores, speed, cold, share, queue = cores+k.Cores/n, speed+s.Speed/n, cold+k.Cold/n, share+k.ColdFrom/n, max(queue, k.Queue)
	}
	if len(kinds) > 1 || len(f.Servers) > 1 {
		say("servers of several kinds and speeds: all get the mean, %.2f cores of speed %.2f", cores, speed)
	}
	if len(f.Tiers) > 1 {
		say("%d tiers: only the first is played", len(f.Tiers))
	}
	memory := f.Fam.Spare / 1e3 * cores
	perWorker := memory + 0.5*cores*f.Fam.Sorts[0].Memory/1e3
	d.Fleet = Fleet{Workers: len(f.Servers), Zones: max(1, len(f.Zones)), Cores: round3(cores), Speed: round3(math.Max(0.01, speed)), Memory: config.B(int64(perWorker * 1e6)), Queue: queue,
		Loads: max(1, f.Fam.LoadsAtOnce), Disk: f.Fam.Disk > 0, StopsCancelled: kinds[0].Cancel == "all", Keep: secs(f.Fam.Keep)}
	d.Settings.Groups = nil
	r := &d.Settings.Rules
	r.DrainGrace, r.ColdShare, r.WarmAfter, r.OverloadFactor, r.Fall = secs(f.Grace), round3(share), secs(cold), f.FallBy, secs(f.Fall)
	d.Settings.Loads.OnMiss, d.Settings.Loads.Keep = "miss", d.Fleet.Keep
	if f.Fam.SelfLoad {
		d.Settings.Loads.OnMiss = "load"
	}
	if f.Fam.LoadShare > 0 {
		d.Settings.Loads.Window, d.Settings.Loads.Few, d.Settings.Loads.Share = secs(f.Fam.LoadWindow), f.Fam.LoadFree, f.Fam.LoadShare
	}
	work, copies := 0.0, 0.0
	for i, c := range f.Classes {
		copies += c.Share * f.Fam.Sorts[i].Memory / 1e3
	}
	// One copy of each model takes the share "catalog" of all memory for copies.
	models := math.Max(1, f.Fam.Catalog*memory*float64(len(f.Servers))/math.Max(1, copies))
	for i, c := range f.Classes {
		s := f.Fam.Sorts[i]
		g := config.Group{Name: c.Name, SLO: secs(c.Aim), Timeout: secs(c.Deadline), Value: math.Max(0.1, c.Worth),
			Effect: map[string]string{"safe": "retriable", "keyed": "deduped"}[c.Effect]}
		if g.Effect == "" {
			g.Effect = "non-retriable"
		}
		if g.Effect == "deduped" {
			g.Scope, g.Window = c.Group, secs(c.Window)
		}
		d.Settings.Groups = append(d.Settings.Groups, g)
		work += c.Share * (c.Work + c.IO) / 1e6
		d.Models = append(d.Models, Models{Name: c.Name, Group: c.Name, Count: max(1, int(models*c.Share)), Memory: config.B(int64(s.Memory * 1e3)), Lanes: max(1, s.Lanes),
			Work: secs(c.Work + c.IO), Fetch: secs(s.Load * f.Fam.Fetch), Boot: secs(s.Load * (1 - f.Fam.Fetch)), Share: round3(c.Share), Zipf: f.Fam.Zipf})
		if c.IO > 0 {
			say("model group %s: %.0f ms of I/O in an inference take a core here", c.Name, c.IO/1e3)
		}
	}
	say("run times are drawn evenly about the mean, and models of a group are alike: no heavy tails, no spread of sizes")
	d.Clients = Clients{Rate: round3(f.Traffic.Load * float64(len(f.Servers)) * cores * speed / work), Retries: f.Clients.Retries, Impatient: f.Clients.Impatient}
	d.Network = Network{Delay: config.S(math.Round(f.Net.Same) / 1e6), Jitter: config.S(math.Round(f.Net.Same*f.Net.Jitter) / 1e6)}
	d.Fleet.StoreSlots = max(1, int(f.Fam.StoreTakes*f.Fam.StoreHeadroom))
	d.Fleet.StoreLimit = 4 * d.Fleet.StoreSlots
	say("the store's pace, its falls and its refusals are near: %d fetches at full pace", d.Fleet.StoreSlots)
	say("load over the day, popularity that shifts, timed batches and tenants are not carried over")
	for _, t := range f.Troubles {
		kind, ok := carried[t.Kind]
		if !ok {
			say("trouble %s at %.1f s for %.1f s is not carried over: the stand-ins know none like it", t.Kind, t.At/1e6, t.Len/1e6)
			continue
		}
		x := Trouble{At: secs(t.At), For: secs(t.Len), Kind: kind, Factor: round3(math.Max(1.1, t.Size)), Share: math.Min(1, round3(math.Max(0.05, t.Extra)))}
		if x.At.Seconds >= d.Seconds.Seconds {
			say("trouble %s at %.1f s comes after the end", t.Kind, t.At/1e6)
			continue
		}
		on := append([]int(nil), t.On...)
		sort.Ints(on)
		if kind == "store_slow" || len(on) == 0 {
			d.Troubles = append(d.Troubles, x)
			continue
		}
		for _, w := range on {
			if x.Worker = fmt.Sprintf("w%d", w+1); w < len(f.Servers) {
				d.Troubles = append(d.Troubles, x)
			}
		}
	}
	text, err = yaml.Marshal(d)
	if err == nil {
		_, err = ParseDay("converted", text, Simulated)
	}
	return text, left, err
}

func round3(x float64) float64 { return math.Round(x*1000) / 1000 }
