package lab

import (
	"fmt"
	"math"
	"strings"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

// The expansion of a scenario: it applies the size, turns releases into drains and faults, and derives the fleet for the
// emulator and the notifications to dispatchers.

// scale multiplies all values that grow with the size of a site by a factor.
func (s *Scenario) scale(factor float64) {
	if factor == 1 {
		return
	}
	scaleCount := func(n *int) { *n = max(1, int(math.Round(float64(*n)*factor))) }
	scaleCount(&s.Dispatchers)
	scaleCount(&s.Fleet.Workers)
	scaleCount(&s.Fleet.StoreSlots)
	scaleCount(&s.Fleet.StoreLimit)
	for i := range s.Models {
		s.Models[i].Count = max(1, s.Models[i].Count)
		scaleCount(&s.Models[i].Count)
	}
	for i := range s.Releases {
		scaleCount(&s.Releases[i].BatchSize)
	}
	for i := range s.Settings.Tenants {
		s.Settings.Tenants[i].Quota *= factor
	}
	s.Clients.Rate *= factor
}

// expandRelease adds the drains and crashes that make up a release.
func (s *Scenario) expandRelease(r Release) {
	if r.Interval.Seconds <= 0 || r.BatchSize <= 0 {
		return // reported by checkReleases
	}
	for i, worker := range s.workerNames() {
		drainAt := r.At.Seconds + float64(i/r.BatchSize)*r.Interval.Seconds
		endAt := drainAt + r.Drain.Seconds
		if endAt >= s.Length.Seconds {
			return
		}
		s.Drains = append(s.Drains, Drain{At: config.Seconds(drainAt), For: config.Seconds(r.Drain.Seconds + r.Down.Seconds), Worker: worker, State: stateDraining})
		s.Faults = append(s.Faults, Fault{At: config.Seconds(endAt), For: r.Down, Kind: emulator.FaultCrash, Worker: worker})
		s.releaseSteps++
	}
}

// notification notifies dispatchers of the state of a worker, at a time in seconds of the scenario.
type notification struct {
	at            float64
	worker, state string
}

// notifications returns all notifications of the scenario. Those that fall into a stale span arrive at its end.
func (s *Scenario) notifications() (out []notification) {
	for _, d := range s.Drains {
		notifiedAt := d.At.Seconds
		readyAt := d.At.Seconds + d.For.Seconds
		for _, stale := range s.StaleLists {
			if stale.contains(notifiedAt) {
				notifiedAt = stale.end()
			}
		}
		out = append(out, notification{notifiedAt, d.Worker, d.State})
		if d.For.Seconds > 0 && readyAt > notifiedAt {
			out = append(out, notification{readyAt, d.Worker, stateReady})
		}
	}
	return out
}

// Spec returns the fleet of the scenario for the emulator.
func (s *Scenario) Spec() emulator.Spec {
	rules := s.Settings.Rules
	fleet := s.Fleet
	groups := s.groups()
	spec := emulator.Spec{Seed: s.Seed, Store: emulator.StoreSpec{Slots: fleet.StoreSlots, Limit: fleet.StoreLimit}}
	for i, name := range s.workerNames() {
		spec.Workers = append(spec.Workers, emulator.WorkerSpec{Name: name, Zone: fmt.Sprintf("z%d", i%fleet.Zones+1), Cores: fleet.Cores,
			Speed: fleet.Speed, MemoryMB: fleet.Memory.MB(), QueueLimit: fleet.QueueLimit, ConcurrentLoads: fleet.ConcurrentLoads,
			OnMiss: emulator.MissPolicy(s.Settings.Loads.OnMiss), IdleTimeout: fleet.IdleTimeout.Seconds, CachesImages: fleet.CachesImages,
			StopsCancelled: fleet.StopsCancelled, SlowStartCapacity: rules.SlowStartCapacity, SlowStartDuration: rules.SlowStartDuration.Seconds,
			OverloadFactor: rules.OverloadFactor, OverloadWindow: rules.OverloadWindow.Seconds})
	}
	for _, m := range s.Models {
		group := groups[m.Group]
		spec.Models = append(spec.Models, emulator.ModelSpec{Name: m.Name + "-*", Group: m.Group, MemoryMB: m.Memory.MB(), Concurrency: m.Concurrency,
			MeanWork: m.Work.Seconds, FetchTime: m.Fetch.Seconds, BootTime: m.Boot.Seconds, Deduped: group.Effect == effectDeduped,
			DedupWindow: group.DedupWindow.Seconds, DedupScope: emulator.DedupScope(group.DedupScope), ResponseBytes: int(m.ResponseSize.Bytes)})
	}
	return spec
}

// The effects of model groups, as settings name them.
const (
	effectRetriable    = "retriable"
	effectDeduped      = "deduped"
	effectNonRetriable = "non-retriable"
)

// model is one model of a scenario.
type model struct {
	name            string
	group           config.Group
	cumulativeShare float64 // fraction of all requests for this model and those before it
}

// modelsByShare returns all models of the scenario with their cumulative shares of the requests.
func (s *Scenario) modelsByShare() []model {
	groups := s.groups()
	var models []model
	total := 0.0
	for _, set := range s.Models {
		share := set.Share
		if share == 0 {
			share = 1
		}
		sum := 0.0
		for i := range set.Count {
			sum += zipfWeight(i, set.Zipf)
		}
		for i := range set.Count {
			total += share * zipfWeight(i, set.Zipf) / sum
			models = append(models, model{fmt.Sprintf("%s-%d", set.Name, i+1), groups[set.Group], total})
		}
	}
	for i := range models {
		models[i].cumulativeShare /= total
	}
	return models
}

// zipfWeight returns the weight of the model with a rank, counted from 0.
func zipfWeight(rank int, exponent float64) float64 { return math.Pow(float64(rank+1), -exponent) }

// FaultSpan is the span of an incident of a scenario in seconds, shaded in plots.
type FaultSpan struct {
	From        float64 `json:"from"`
	To          float64 `json:"to"`
	Description string  `json:"what"`
}

// minShadedSpan is the shortest duration that is visible in plots.
const minShadedSpan = 0.1 // s

// faultSpans returns the incidents of a scenario. A release is one span; the drains and faults that it was expanded into
// are omitted.
func (s *Scenario) faultSpans() (out []FaultSpan) {
	add := func(at, duration float64, description string) {
		out = append(out, FaultSpan{at, math.Min(s.Length.Seconds, at+math.Max(duration, minShadedSpan)), description})
	}
	for _, r := range s.Releases {
		batches := math.Ceil(float64(s.Fleet.Workers) / math.Max(1, float64(r.BatchSize)))
		add(r.At.Seconds, batches*r.Interval.Seconds, "release")
	}
	for _, f := range s.Faults[:len(s.Faults)-s.releaseSteps] {
		add(f.At.Seconds, f.For.Seconds, strings.TrimSpace(f.Kind+" "+f.Worker))
	}
	for _, k := range s.Kills {
		add(k.At.Seconds, k.Down.Seconds, fmt.Sprintf("dispatcher %d killed", k.Dispatcher))
	}
	for _, d := range s.Drains[:len(s.Drains)-s.releaseSteps] {
		add(d.At.Seconds, d.For.Seconds, d.Worker+" "+d.State)
	}
	for _, b := range s.Clients.Bursts {
		add(b.At.Seconds, b.For.Seconds, fmt.Sprintf("load times %g", b.Factor))
	}
	return out
}
