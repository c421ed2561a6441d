package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sort"

	"github.com/goccy/go-yaml"
)

const (
	// minLoss is the loss of service above which a scenario counts as weak. A smaller loss may be chance; shrinking would
	// then remove everything from the scenario.
	minLoss = 0.01
	// minKeptLoss is the fraction of the original loss that a shrunk scenario has to keep.
	minKeptLoss = 0.75
)

// WeakScenario is a drawn scenario in which a rule is violated, or in which faults reduce the service notably.
type WeakScenario struct {
	Text                 []byte
	Name                 string
	Service              float64
	ServiceWithoutFaults float64 // service of the same scenario without faults
	Violated             []Finding
}

// loss returns how much the faults reduce the service.
func (w *WeakScenario) loss() float64 { return w.ServiceWithoutFaults - w.Service }

// FindWeakScenarios simulates count drawn scenarios, with seeds from firstSeed on, at most jobs of them concurrently. It
// returns the weakest, at most keep: first those with most violated rules, then those that lose most service.
func FindWeakScenarios(ctx context.Context, firstSeed uint64, count, keep, jobs int, progress io.Writer) ([]WeakScenario, error) {
	simulated := make([]*WeakScenario, count)
	errs := make([]error, count)
	inParallel(jobs, count, func(i int) {
		if ctx.Err() != nil {
			return
		}
		seed := firstSeed + uint64(i)
		w, err := simulateDrawnScenario(ctx, seed)
		if err != nil {
			errs[i] = fmt.Errorf("seed %d: %w", seed, err)
			return
		}
		if ctx.Err() == nil {
			simulated[i] = w
			fmt.Fprintf(progress, "%s: service %.3f, %.3f without faults, %d rules violated\n", w.Name, w.Service, w.ServiceWithoutFaults, len(w.Violated))
		}
	})
	var weak []WeakScenario
	for i, w := range simulated {
		if errs[i] != nil {
			return nil, errs[i]
		}
		if w != nil && (len(w.Violated) > 0 || w.loss() > minLoss) {
			weak = append(weak, *w)
		}
	}
	sort.SliceStable(weak, func(i, j int) bool {
		if len(weak[i].Violated) != len(weak[j].Violated) {
			return len(weak[i].Violated) > len(weak[j].Violated)
		}
		return weak[i].loss() > weak[j].loss()
	})
	return weak[:min(keep, len(weak))], nil
}

// simulateDrawnScenario simulates the drawn scenario of a seed with and without its faults.
func simulateDrawnScenario(ctx context.Context, seed uint64) (*WeakScenario, error) {
	text, err := DrawScenario(seed)
	if err != nil {
		return nil, err
	}
	s, err := ParseScenario("drawn", text, Simulated)
	if err != nil {
		return nil, err
	}
	faultFree := s.withoutFaults()
	_, report := Simulate(ctx, s, nil, nil)
	_, faultFreeReport := Simulate(ctx, faultFree, nil, nil)
	return &WeakScenario{Text: text, Name: s.Name, Service: report.Service, ServiceWithoutFaults: faultFreeReport.Service, Violated: violatedFindings(report)}, nil
}

// violatedFindings returns the findings of the rules that were violated.
func violatedFindings(r *Report) (out []Finding) {
	for _, f := range r.Findings {
		if f.Violations > 0 {
			out = append(out, f)
		}
	}
	return out
}

// remainsWeak reports whether a smaller scenario is still weak: it violates the first of w.Violated, or keeps most of the
// loss.
func (w *WeakScenario) remainsWeak(ctx context.Context, text []byte) bool {
	s, err := ParseScenario("shrunk", text, Simulated)
	if err != nil {
		return false
	}
	faultFree := s.withoutFaults()
	_, report := Simulate(ctx, s, nil, nil)
	if len(w.Violated) > 0 {
		return report.Findings[w.Violated[0].Rule-1].Violations > 0
	}
	_, faultFreeReport := Simulate(ctx, faultFree, nil, nil)
	return faultFreeReport.Service-report.Service >= minKeptLoss*w.loss()
}

// ShrinkScenario removes parts of a scenario, one after the other, as long as it remains weak without them.
func ShrinkScenario(ctx context.Context, w WeakScenario, progress io.Writer) []byte {
	text := w.Text
	for {
		removed, smaller, ok := w.shrinkOnce(ctx, text)
		if !ok {
			return text
		}
		fmt.Fprintf(progress, "%s: still weak without %s\n", w.Name, removed)
		text = smaller
	}
}

// shrinkOnce returns the first scenario that lacks one part and remains weak.
func (w *WeakScenario) shrinkOnce(ctx context.Context, text []byte) (removed string, smaller []byte, ok bool) {
	for _, candidate := range reductions(text) {
		if ctx.Err() != nil {
			return "", nil, false
		}
		smaller, err := yaml.Marshal(candidate.scenario)
		if err == nil && w.remainsWeak(ctx, smaller) {
			return candidate.removed, smaller, true
		}
	}
	return "", nil, false
}

// reduction is a scenario from which one part was removed.
type reduction struct {
	removed  string
	scenario *Scenario
}

// reductions returns the scenarios that lack one part of the given one.
func reductions(text []byte) (out []reduction) {
	decode := func() *Scenario {
		s, _, err := decodeScenario("", text)
		if err != nil {
			return &Scenario{} // can't happen: the text was decoded before
		}
		return s
	}
	add := func(removed string, remove func(s *Scenario)) {
		smaller := decode()
		remove(smaller)
		out = append(out, reduction{removed, smaller})
	}
	s := decode()
	for i, f := range s.Faults {
		add("fault "+f.Kind, func(s *Scenario) { s.Faults = slices.Delete(s.Faults, i, i+1) })
	}
	for i := range s.Kills {
		add("a kill", func(s *Scenario) { s.Kills = slices.Delete(s.Kills, i, i+1) })
	}
	for i := range s.Drains {
		add("a drain", func(s *Scenario) { s.Drains = slices.Delete(s.Drains, i, i+1) })
	}
	for i := range s.Clients.Bursts {
		add("a burst", func(s *Scenario) { s.Clients.Bursts = slices.Delete(s.Clients.Bursts, i, i+1) })
	}
	if len(s.Releases) > 0 {
		add("the release", func(s *Scenario) { s.Releases = nil })
	}
	if s.Dispatchers > 1 && len(s.Kills) == 0 {
		add("half of the dispatchers", func(s *Scenario) { s.Dispatchers /= 2 })
	}
	if s.Clients.Retries > 0 {
		add("retries", func(s *Scenario) { s.Clients.Retries = 0 })
	}
	if s.Clients.EarlyDisconnectFraction > 0 {
		add("early disconnects", func(s *Scenario) { s.Clients.EarlyDisconnectFraction = 0 })
	}
	if len(s.Models) > 1 {
		for i, m := range s.Models {
			add("models "+m.Name, func(s *Scenario) { s.Models = slices.Delete(s.Models, i, i+1) })
		}
	}
	return out
}
