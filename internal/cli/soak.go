package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"sort"
	"strings"
	"syscall"

	"mastchute/internal/app"
	"mastchute/internal/soak"
)

type labSoakCmd struct {
	Binary      string   `help:"Dispatcher under test; a build with -tags faults adds failing system calls. Default: this program." type:"existingfile"`
	Shims       bool     `help:"The binary is built with -tags faults."`
	Seed        uint64   `default:"1" help:"First seed."`
	Seeds       int      `default:"1" help:"How many seeds to play."`
	Dispatchers int      `default:"10" help:"Dispatcher processes."`
	Span        float64  `default:"8" help:"Seconds of trouble in each play."`
	Only        []string `help:"Kinds of trouble to draw from; all by default."`
	Plan        bool     `help:"Print the troubles of each plan."`
	Shrink      bool     `help:"Leave troubles out of a plan with a find while it still falls."`
	Coverage    bool     `help:"Print how many requests met each trouble, and each two at once."`
	Keep        bool     `help:"Keep configurations and logs of a play with a find."`
}

func (c *labSoakCmd) Run() error {
	if c.Binary == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Binary = self
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bounds := soak.Bounds{Dispatchers: c.Dispatchers, Span: c.Span, Shims: c.Shims}
	for _, k := range c.Only {
		if !slices.Contains(soak.Kinds, soak.Kind(k)) {
			return fmt.Errorf("no kind of trouble is named %q; there are %v", k, soak.Kinds)
		}
		bounds.Only = append(bounds.Only, soak.Kind(k))
	}
	total, found := map[string]int{}, 0
	for i := range c.Seeds {
		r, err := c.play(ctx, soak.Draw(c.Seed+uint64(i), bounds))
		if err != nil {
			return err
		}
		for k, n := range r.Coverage {
			total[k] += n
		}
		if len(r.Finds) > 0 {
			found++
		}
		if r.Partial {
			fmt.Println("partial: stopped by a signal")
			break
		}
		if c.Shrink && len(r.Finds) > 0 {
			if err := c.shrink(ctx, r); err != nil {
				return err
			}
		}
	}
	if c.Coverage {
		printCoverage(total)
	}
	fmt.Printf("%d of %d plays with a find\n", found, c.Seeds)
	if found > 0 {
		return exitCode(app.ExitError)
	}
	return nil
}

func (c *labSoakCmd) play(ctx context.Context, p soak.Plan) (*soak.Result, error) {
	if c.Plan {
		fmt.Printf("seed %d: %+v\n", p.Seed, p.Site)
		for _, t := range p.Troubles {
			fmt.Println("   ", t)
		}
	}
	r, err := soak.Run(ctx, p, soak.Options{Binary: c.Binary, Keep: c.Keep})
	if err != nil {
		return nil, err
	}
	kinds := map[soak.Kind]bool{}
	for _, t := range p.Troubles {
		kinds[t.Kind] = true
	}
	var names []string
	for k := range kinds {
		names = append(names, string(k))
	}
	sort.Strings(names)
	fmt.Printf("seed %d: %d finds; %d requests %v, %d attempts; harness late by %.0f ms at most; %s\n", p.Seed, len(r.Finds), r.Requests, r.Endings, r.Attempts,
		r.Late*1e3, strings.Join(names, " "))
	for i, f := range r.Finds {
		if i == 8 {
			fmt.Printf("  and %d more\n", len(r.Finds)-i)
			break
		}
		fmt.Println("  find:", f)
	}
	if len(r.Finds) > 0 {
		replay := fmt.Sprintf("mastchute lab soak --seed %d --dispatchers %d --span %g", p.Seed, c.Dispatchers, c.Span)
		if len(c.Only) > 0 {
			replay += " --only " + strings.Join(c.Only, ",")
		}
		if c.Shims {
			replay += " --shims --binary " + c.Binary
		}
		fmt.Println("  replay:", replay)
		if c.Keep {
			fmt.Println("  logs:", r.Dir)
		}
	}
	return r, nil
}

// shrinkTries is how often a smaller plan is played; it counts as falling where it falls in most of them.
const shrinkTries = 3

// shrink leaves troubles out while the same promise still falls in most plays.
func (c *labSoakCmd) shrink(ctx context.Context, r *soak.Result) error {
	rule, p := r.Finds[0].Rule, r.Plan
	falls := func(p soak.Plan) (bool, error) {
		n := 0
		for range shrinkTries {
			r, err := soak.Run(ctx, p, soak.Options{Binary: c.Binary})
			if err != nil {
				return false, err
			}
			if r.Partial {
				return false, errors.New("stopped by a signal")
			}
			if slices.ContainsFunc(r.Finds, func(f soak.Find) bool { return f.Rule == rule }) {
				n++
			}
		}
		return 2*n > shrinkTries, nil
	}
	for size := (len(p.Troubles) + 1) / 2; size > 0; size /= 2 {
		for at := 0; at < len(p.Troubles); {
			less := p
			less.Troubles = slices.Delete(slices.Clone(p.Troubles), at, min(at+size, len(p.Troubles)))
			ok, err := falls(less)
			if err != nil {
				return err
			}
			if ok {
				p = less
			} else {
				at += size
			}
		}
	}
	fmt.Printf("  shrunk for %s to:\n", rule)
	for _, t := range p.Troubles {
		fmt.Println("   ", t)
	}
	return nil
}

func printCoverage(count map[string]int) {
	var names []string
	for k := range count {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		fmt.Printf("%8d  %s\n", count[k], k)
	}
}
