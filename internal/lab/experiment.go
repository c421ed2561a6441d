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

// VariantResult summarizes the runs of a variant with all seeds so far. Differences are relative to the first variant with
// the same seeds.
type VariantResult struct {
	Name               string  `json:"name"`
	Seeds              int     `json:"seeds"`
	Service            float64 `json:"service"`
	Warm               float64 `json:"warm"`
	Rejected           float64 `json:"turned"`  // fraction of attempts
	Loads              float64 `json:"loads"`   // per request served
	RunsWithViolations int     `json:"broken"`  // runs in which a rule was violated
	LimitUsage         float64 `json:"nearest"` // largest Finding.LimitUsage of the slow start rule in any run
	Difference         float64 `json:"difference"`
	HalfWidth          float64 `json:"half_width"`        // of the 95% confidence interval of the difference
	Stopped            string  `json:"stopped,omitempty"` // the verdict on the difference, if it ended the comparison early

	differences []float64
}

// Verdicts on a difference.
const (
	verdictClear      = "clear"    // the confidence interval excludes zero
	verdictNegligible = "hopeless" // the confidence interval excludes all differences of at least MinDifference
	verdictOpen       = ""         // more seeds are needed
)

// ExperimentLimits bound an experiment.
type ExperimentLimits struct {
	Seeds         int     // maximum per variant
	MinDifference float64 // smaller differences of service are negligible
	Concurrency   int     // concurrent runs; 0 for one per processor
}

const (
	seedBatch           = 4    // seeds from one verdict to the next
	stopConfidenceLevel = 0.99 // of the interval that ends a comparison early: higher, because the verdict is repeated after each batch
	confidenceLevel     = 0.95 // of the interval that is reported
)

// ErrTooFewSeeds is returned by RunExperiment if its limits allow fewer than two seeds.
var ErrTooFewSeeds = errors.New("a confidence interval needs at least 2 seeds")

// halfWidth returns half the width of the confidence interval of the mean of paired differences, +Inf for fewer than two.
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
	margin := halfWidth(differences, stopConfidenceLevel)
	switch {
	case mean > margin:
		return verdictClear
	case mean+margin < minDifference:
		return verdictNegligible
	}
	return verdictOpen
}

// RunExperiment runs the variants in simulated time, each with the same seeds, until there are verdicts on all differences
// or the seeds run out. The result does not depend on the number of concurrent runs. When ctx is cancelled, the results of
// complete batches are returned with the context's error.
func RunExperiment(ctx context.Context, variants []Variant, limits ExperimentLimits, progress io.Writer) ([]VariantResult, error) {
	x := &experiment{variants: variants, limits: limits, progress: progress, results: make([]VariantResult, len(variants))}
	if err := x.check(); err != nil {
		return nil, err
	}
	for seed := 1; seed <= limits.Seeds && ctx.Err() == nil; seed += seedBatch {
		open := x.openVariants()
		if len(open) == 0 {
			break
		}
		x.runBatch(ctx, seed, min(seedBatch, limits.Seeds-seed+1), open)
	}
	return x.results, ctx.Err()
}

// experiment is an experiment in progress.
type experiment struct {
	variants []Variant
	limits   ExperimentLimits
	progress io.Writer
	results  []VariantResult // by variant
}

func (x *experiment) check() error {
	var errs []error
	if x.limits.Seeds < 2 {
		errs = append(errs, ErrTooFewSeeds)
	}
	for i, v := range x.variants {
		x.results[i].Name = v.Name
		if _, err := ParseScenario(v.Name, v.Text, Simulated); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// openVariants returns the indexes of the variants to run with more seeds: those without a verdict, and the first one, with
// which they are compared.
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

// runBatch runs the open variants with a batch of seeds. The results of an interrupted batch are discarded.
func (x *experiment) runBatch(ctx context.Context, firstSeed, seeds int, open []int) {
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

// inParallel calls run for 0 to n-1 with at most jobs concurrent calls, or one per processor if jobs is 0.
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

// add adds the report of a run; base is the report of the first variant with the same seed.
func (v *VariantResult) add(report, base *Report) {
	v.Seeds++
	difference := report.Service - base.Service
	updateMean := func(mean *float64, value float64) { *mean += (value - *mean) / float64(v.Seeds) }
	updateMean(&v.Service, report.Service)
	updateMean(&v.Warm, report.Warm)
	updateMean(&v.Rejected, float64(report.Rejected)/math.Max(1, float64(report.Attempts)))
	updateMean(&v.Loads, float64(report.Loads)/math.Max(1, float64(report.Served)))
	updateMean(&v.Difference, difference)
	v.LimitUsage = math.Max(v.LimitUsage, report.Findings[ruleSlowStart-1].LimitUsage)
	v.differences = append(v.differences, difference)
	if report.HasViolations() {
		v.RunsWithViolations++
	}
}

// WriteVariantResults prints the results as a table.
func WriteVariantResults(out io.Writer, results []VariantResult) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "variant\tseeds\tservice\twarm\trejected\tloads per request\truns with violations\tslow start limit\tdifference\t+-\t")
	for _, v := range results {
		fmt.Fprintf(w, "%s\t%d\t%.4f\t%.3f\t%.3f\t%.3f\t%d\t%.2f\t%+.4f\t%.4f\t%s\n", v.Name, v.Seeds, v.Service, v.Warm, v.Rejected, v.Loads,
			v.RunsWithViolations, v.LimitUsage, v.Difference, v.HalfWidth, v.Stopped)
	}
	w.Flush()
}
