package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// VariantResult is what a variant came to over the seeds that were played. Differences are to the first variant on the same
// seeds.
type VariantResult struct {
	Name       string  `json:"name"`
	Seeds      int     `json:"seeds"`
	Service    float64 `json:"service"`
	Warm       float64 `json:"warm"`
	Rejected   float64 `json:"turned"`  // fraction of attempts
	Loads      float64 `json:"loads"`   // for each request served
	Broken     int     `json:"broken"`  // runs in which a rule was broken
	Nearest    float64 `json:"nearest"` // to the limit of the slow start rule in any run, 1 for at the limit
	Difference float64 `json:"difference"`
	HalfWidth  float64 `json:"half_width"`        // of the 95% confidence interval of the difference
	Stopped    string  `json:"stopped,omitempty"` // a verdict on the difference that ended the comparison early

	differences []float64
}

// Verdicts on a difference.
const (
	verdictClear    = "clear"    // the interval excludes zero
	verdictHopeless = "hopeless" // the interval excludes all differences that matter
	verdictOpen     = ""         // more seeds are needed
)

// Limits bound an experiment.
type Limits struct {
	Seeds         int     // at most, for each variant
	MinDifference float64 // differences of service below it do not matter
	Concurrency   int     // concurrent runs; 0 for as many as there are processors
}

const (
	seedBatch       = 4    // seeds between two verdicts
	stopLevel       = 0.99 // confidence that ends a comparison early: higher, as there are several verdicts
	confidenceLevel = 0.95 // of the interval that is reported
)

// ErrOneSeed is returned by Experiment if its limits allow one seed only.
var ErrOneSeed = errors.New("one seed gives no interval: write at least 2")

// halfWidth is half the width of the confidence interval of the mean of paired differences, +Inf for fewer than two.
func halfWidth(differences []float64, level float64) float64 {
	n := float64(len(differences))
	if n < 2 {
		return math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.5 + level/2)
	return t * stat.StdDev(differences, nil) / math.Sqrt(n)
}

// verdict decides whether paired differences need more seeds.
func verdict(differences []float64, minDifference float64) string {
	mean := math.Abs(stat.Mean(differences, nil))
	half := halfWidth(differences, stopLevel)
	switch {
	case mean > half:
		return verdictClear
	case mean+half < minDifference:
		return verdictHopeless
	}
	return verdictOpen
}

// Experiment plays the variants in simulated time, each with the same seeds, until there are verdicts on all differences or
// the seeds run out. The result does not depend on the number of concurrent runs. It ends early when ctx does; the results
// of complete batches are returned with the context's error.
func Experiment(ctx context.Context, variants []Variant, limits Limits, progress io.Writer) ([]VariantResult, error) {
	x := &experiment{variants: variants, limits: limits, progress: progress, results: make([]VariantResult, len(variants))}
	if err := x.check(); err != nil {
		return nil, err
	}
	for seed := 1; seed <= limits.Seeds && ctx.Err() == nil; seed += seedBatch {
		open := x.openVariants()
		if len(open) == 0 {
			break
		}
		x.playBatch(ctx, seed, min(seedBatch, limits.Seeds-seed+1), open)
	}
	return x.results, ctx.Err()
}

// experiment is an experiment in progress.
type experiment struct {
	variants []Variant
	limits   Limits
	progress io.Writer
	results  []VariantResult // by variant
}

func (x *experiment) check() error {
	var errs []error
	if x.limits.Seeds < 2 {
		errs = append(errs, ErrOneSeed)
	}
	for i, v := range x.variants {
		x.results[i].Name = v.Name
		if _, err := ParseScenario(v.Name, v.Text, Simulated); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// openVariants returns the variants to be played on: those without a verdict, and the first as long as there are others.
func (x *experiment) openVariants() []int {
	var open []int
	for i := 1; i < len(x.results); i++ {
		if x.results[i].Stopped == verdictOpen {
			open = append(open, i)
		}
	}
	if len(open) > 0 || len(x.results) == 1 {
		open = append([]int{0}, open...)
	}
	return open
}

// playBatch plays some seeds of the open variants. A batch that is interrupted does not count.
func (x *experiment) playBatch(ctx context.Context, firstSeed, seeds int, open []int) {
	reports := make([]*Report, seeds*len(open)) // by seed, then by variant
	inParallel(x.limits.Concurrency, len(reports), func(i int) {
		s, _ := ParseScenario("", x.variants[open[i%len(open)]].Text, Simulated) // checked before
		s.Seed = uint64(firstSeed + i/len(open))
		_, reports[i] = Simulate(ctx, s, nil, nil)
	})
	if ctx.Err() != nil {
		return
	}
	for i, report := range reports {
		base := reports[i-i%len(open)]
		x.results[open[i%len(open)]].add(report, base)
	}
	for _, i := range open {
		result := &x.results[i]
		if i > 0 {
			result.HalfWidth = halfWidth(result.differences, confidenceLevel)
			result.Stopped = verdict(result.differences, x.limits.MinDifference)
		}
		fmt.Fprintf(x.progress, "%s: service %.4f, difference %+.4f +- %.4f after %d seeds %s\n", result.Name, result.Service,
			result.Difference, result.HalfWidth, result.Seeds, result.Stopped)
	}
}

// inParallel calls run for 0 to n-1, with at most so many jobs at the same time; 0 for as many as there are processors.
func inParallel(jobs, n int, run func(int)) {
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	var workers sync.WaitGroup
	next := make(chan int)
	for range min(jobs, n) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				run(i)
			}
		}()
	}
	for i := range n {
		next <- i
	}
	close(next)
	workers.Wait()
}

// add adds a run and the first variant's run with the same seed.
func (v *VariantResult) add(report, base *Report) {
	v.Seeds++
	difference := report.Service - base.Service
	updateMean := func(mean *float64, value float64) { *mean += (value - *mean) / float64(v.Seeds) }
	updateMean(&v.Service, report.Service)
	updateMean(&v.Warm, report.Warm)
	updateMean(&v.Rejected, float64(report.Rejected)/math.Max(1, float64(report.Attempts)))
	updateMean(&v.Loads, float64(report.Loads)/math.Max(1, float64(report.Served)))
	updateMean(&v.Difference, difference)
	v.Nearest = math.Max(v.Nearest, report.Findings[ruleSlowStart-1].Nearest)
	v.differences = append(v.differences, difference)
	if report.HasViolations() {
		v.Broken++
	}
}

// WriteResults prints the results for people.
func WriteResults(out io.Writer, results []VariantResult) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "variant\tseeds\tservice\twarm\tturned away\tloads each\tbroken\tcold limit\tdifference\t+-\t")
	for _, v := range results {
		fmt.Fprintf(w, "%s\t%d\t%.4f\t%.3f\t%.3f\t%.3f\t%d\t%.2f\t%+.4f\t%.4f\t%s\n", v.Name, v.Seeds, v.Service, v.Warm, v.Rejected, v.Loads,
			v.Broken, v.Nearest, v.Difference, v.HalfWidth, v.Stopped)
	}
	w.Flush()
}
