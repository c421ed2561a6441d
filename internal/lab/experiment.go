package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Variant is a day under a name, to be compared with others.
type Variant struct {
	Name string
	Text []byte
}

// Vary makes a variant of a day for each combination of values; a key is a path like fleet.workers or
// settings.groups[0].slo, written as YAML in the day.
func Vary(text []byte, keys []string, values [][]string) ([]Variant, error) {
	out := []Variant{{Text: text}}
	for i, key := range keys {
		var next []Variant
		for _, v := range out {
			for _, value := range values[i] {
				t, err := set(v.Text, key, value)
				if err != nil {
					return nil, err
				}
				next = append(next, Variant{strings.TrimSpace(v.Name + " " + key + "=" + value), t})
			}
		}
		out = next
	}
	return out, nil
}

// set sets one key of a YAML text.
func set(text []byte, key, value string) ([]byte, error) {
	var tree, v any
	if err := yaml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	if err := yaml.Unmarshal([]byte(value), &v); err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	path := strings.Split(strings.NewReplacer("[", ".", "]", "").Replace(key), ".")
	at := tree
	for i, p := range path {
		last := i == len(path)-1
		switch x := at.(type) {
		case map[string]any:
			if last {
				x[p] = v
			} else if x[p] == nil {
				x[p] = map[string]any{}
			}
			at = x[p]
		case []any:
			var n int
			if _, err := fmt.Sscanf(p, "%d", &n); err != nil || n < 0 || n >= len(x) {
				return nil, fmt.Errorf("%s: there is no item %s", key, p)
			}
			if last {
				x[n] = v
			}
			at = x[n]
		default:
			return nil, fmt.Errorf("%s: there is nothing at %s", key, p)
		}
	}
	return yaml.Marshal(tree)
}

// Row is what a variant came to, over the seeds played; differences are to the first variant on the same seeds.
type Row struct {
	Name    string  `json:"name"`
	Seeds   int     `json:"seeds"`
	Service float64 `json:"service"`
	Warm    float64 `json:"warm"`
	Turned  float64 `json:"turned"`  // share of attempts
	Loads   float64 `json:"loads"`   // for each request served
	Broken  int     `json:"broken"`  // runs in which a rule was
	Nearest float64 `json:"nearest"` // to the limit of rule 4 in any run, 1 for at it
	Diff    float64 `json:"difference"`
	Half    float64 `json:"half_width"`        // of the 95% confidence interval of the difference
	Stopped string  `json:"stopped,omitempty"` // clear, or hopeless: no difference worth telling
	diffs   []float64
}

// Limits of an experiment.
type Limits struct {
	Seeds int     // at most, each
	Least float64 // differences of service under it are not worth telling
	Jobs  int     // runs at once; 0 for as many as there are processors
}

const (
	seedBatch = 4    // seeds between two looks at the answer: the fewest that give an interval
	stopLevel = 0.99 // of the interval that ends a comparison early: it is looked at several times
	tellLevel = 0.95 // of the interval that is told
)

// halfWidth is half the width of the confidence interval of the mean of paired differences; +Inf for fewer than two.
func halfWidth(x []float64, level float64) float64 {
	if len(x) < 2 {
		return math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.5 + level/2)
	return t * stat.StdDev(x, nil) / math.Sqrt(float64(len(x)))
}

// verdict tells whether paired differences answer the question: clear when the interval excludes zero, hopeless when
// it lies within what is not worth telling; else more seeds are needed.
func verdict(x []float64, least float64) string {
	mean, half := stat.Mean(x, nil), halfWidth(x, stopLevel)
	switch {
	case math.Abs(mean) > half:
		return "clear"
	case math.Abs(mean)+half < least:
		return "hopeless"
	}
	return ""
}

// Experiment plays the variants in simulated time, the same seeds each, until the answers are clear or hopeless or the
// seeds run out. The result is the same whatever number of runs go at once.
func Experiment(ctx context.Context, list []Variant, lim Limits, say io.Writer) ([]Row, error) {
	rows := make([]Row, len(list))
	var errs []error
	if lim.Seeds < 2 {
		errs = append(errs, errors.New("one seed tells no interval: write at least 2"))
	}
	for i, v := range list {
		rows[i].Name = v.Name
		if _, err := ParseDay(v.Name, v.Text, Simulated); err != nil {
			errs = append(errs, err)
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	for seed := 1; seed <= lim.Seeds && ctx.Err() == nil; seed += seedBatch {
		n := min(seedBatch, lim.Seeds-seed+1)
		var open []int
		for i := range rows {
			if rows[i].Stopped == "" && (i > 0 || len(list) == 1 || anyOpen(rows[1:])) {
				open = append(open, i)
			}
		}
		if len(open) == 0 {
			break
		}
		reps := make([]*Report, n*len(open))
		each(lim.Jobs, len(reps), func(k int) {
			d, _ := ParseDay("", list[open[k%len(open)]].Text, Simulated)
			d.Seed = uint64(seed + k/len(open))
			_, reps[k] = Simulate(ctx, d, nil, nil)
		})
		if ctx.Err() != nil {
			break // a batch that was cut short tells nothing
		}
		for k, rep := range reps {
			rows[open[k%len(open)]].add(rep, reps[k-k%len(open)])
		}
		for _, i := range open {
			if rows[i].Half = halfWidth(rows[i].diffs, tellLevel); i > 0 {
				rows[i].Stopped = verdict(rows[i].diffs, lim.Least)
			} else {
				rows[i].Half = 0
			}
			fmt.Fprintf(say, "%s: service %.4f, difference %+.4f +- %.4f after %d seeds %s\n", rows[i].Name, rows[i].Service,
				rows[i].Diff, rows[i].Half, rows[i].Seeds, rows[i].Stopped)
		}
	}
	return rows, ctx.Err()
}

func anyOpen(rows []Row) bool {
	for _, r := range rows {
		if r.Stopped == "" {
			return true
		}
	}
	return false
}

// each calls f for 0 to n-1, so many at once.
func each(jobs, n int, f func(int)) {
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	var wait sync.WaitGroup
	next := make(chan int)
	for range min(jobs, n) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for k := range next {
				f(k)
			}
		}()
	}
	for k := range n {
		next <- k
	}
	close(next)
	wait.Wait()
}

// add takes a run in, and the first variant's on the same seed.
func (r *Row) add(rep, base *Report) {
	r.Seeds++
	mean := func(at *float64, v float64) { *at += (v - *at) / float64(r.Seeds) }
	mean(&r.Service, rep.Service)
	mean(&r.Warm, rep.Warm)
	mean(&r.Turned, float64(rep.Turned)/math.Max(1, float64(rep.Attempts)))
	mean(&r.Loads, float64(rep.Loads)/math.Max(1, float64(rep.Served)))
	mean(&r.Diff, rep.Service-base.Service)
	r.Nearest = math.Max(r.Nearest, rep.Findings[3].Nearest)
	r.diffs = append(r.diffs, rep.Service-base.Service)
	if rep.Broken() {
		r.Broken++
	}
}

// WriteRows prints the rows for people.
func WriteRows(out io.Writer, rows []Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "variant\tseeds\tservice\twarm\tturned away\tloads each\tbroken\tcold limit\tdifference\t+-\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%.4f\t%.3f\t%.3f\t%.3f\t%d\t%.2f\t%+.4f\t%.4f\t%s\n", r.Name, r.Seeds, r.Service, r.Warm, r.Turned, r.Loads,
			r.Broken, r.Nearest, r.Diff, r.Half, r.Stopped)
	}
	w.Flush()
}
