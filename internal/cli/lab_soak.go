package cli

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"mastchute/internal/soak"
)

const maxPrintedViolations = 8 // of one run

type labSoakCmd struct {
	Binary        string   `help:"Dispatcher under test, default: this program. A build with -tags faults can also have failing system calls." type:"existingfile"`
	SyscallFaults bool     `name:"shims" help:"The binary is built with -tags faults."`
	Seed          uint64   `default:"1" help:"First seed."`
	Seeds         int      `default:"1" help:"Number of seeds to run."`
	Dispatchers   int      `default:"10" help:"Number of dispatcher processes."`
	Span          float64  `default:"8" help:"Duration of the faults in each run, in seconds."`
	Only          []string `help:"Kinds of fault to choose from; all by default."`
	Plan          bool     `help:"Print the faults of each run."`
	Outage        bool     `help:"Inject outages of discovery during which workers drain but stay up. The duration of a run depends on its outage." xor:"mode"`
	Stops         bool     `help:"Stop each dispatcher several times, half of them among other signals, with other faults around each stop. Some runs have a crowd of clients." xor:"mode"`
	Replacements  bool     `help:"Replace worker processes by others of another zone or cell at the same address, of which the change log tells late. Only workers of one zone or cell drop repeats." xor:"mode"`
	Shrink        bool     `help:"Reduce the faults of a failed run to those that are needed to violate the guarantee."`
	Coverage      bool     `help:"Print how many requests were exposed to each kind of fault, and to each pair of kinds."`
	Trace         bool     `help:"Keep the system calls of each dispatcher and the recorded traffic of a failed run, too. Needs --shims."`
	Keep          bool     `help:"Keep the configurations and logs of a failed run."`
}

// Run returns an error if any run violated a guarantee.
func (c *labSoakCmd) Run() error {
	if c.Binary == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Binary = self
	}
	bounds, err := c.bounds()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	coverage := map[string]int{}
	failedRuns := 0
	for i := range c.Seeds {
		result, err := c.runPlan(ctx, c.draw(c.Seed+uint64(i), bounds))
		if err != nil {
			return err
		}
		for name, count := range result.Coverage {
			coverage[name] += count
		}
		if len(result.Violations) > 0 {
			failedRuns++
		}
		if result.Partial {
			fmt.Println("interrupted: the results are partial")
			break
		}
		if c.Shrink && len(result.Violations) > 0 {
			if err := c.shrink(ctx, result); err != nil {
				return err
			}
		}
	}
	if c.Coverage {
		printCoverage(coverage)
	}
	fmt.Printf("%d of %d runs with violations\n", failedRuns, c.Seeds)
	if failedRuns > 0 {
		return errFailed
	}
	return nil
}

// draw draws the plan of a seed.
func (c *labSoakCmd) draw(seed uint64, bounds soak.Bounds) soak.Plan {
	switch {
	case c.Outage:
		return soak.DrawOutage(seed, bounds)
	case c.Stops:
		return soak.DrawStops(seed, bounds)
	case c.Replacements:
		return soak.DrawReplacements(seed, bounds)
	}
	return soak.Draw(seed, bounds)
}

func (c *labSoakCmd) bounds() (soak.Bounds, error) {
	bounds := soak.Bounds{Dispatchers: c.Dispatchers, Duration: c.Span, SyscallFaults: c.SyscallFaults}
	for _, name := range c.Only {
		kind := soak.FaultKind(name)
		if !slices.Contains(soak.FaultKinds, kind) && !slices.Contains(soak.OutageKinds, kind) {
			return bounds, fmt.Errorf("unknown kind of fault %q: the kinds are %v and %v", name, soak.FaultKinds, soak.OutageKinds)
		}
		bounds.Kinds = append(bounds.Kinds, kind)
	}
	return bounds, nil
}

// runPlan runs a plan and prints its result.
func (c *labSoakCmd) runPlan(ctx context.Context, plan soak.Plan) (*soak.Result, error) {
	if c.Plan {
		fmt.Printf("seed %d: %+v\n", plan.Seed, plan.Site)
		printFaults(plan)
	}
	result, err := soak.Run(ctx, plan, soak.Options{Binary: c.Binary, Keep: c.Keep || c.Trace, Trace: c.Trace && c.SyscallFaults})
	if err != nil {
		return nil, err
	}
	fmt.Printf("seed %d: %d violations; %d requests %v, %d attempts; test harness late by at most %.0f ms; %s\n",
		plan.Seed, len(result.Violations), result.Requests, result.Outcomes, result.Attempts, result.HarnessDelay*1e3, faultKinds(plan))
	if c.Outage {
		fmt.Printf("  late in the outage %d of %d requests were served; %d worker checks\n", result.Outage.Served, result.Outage.Requests, result.WorkerChecks)
	}
	if len(result.Violations) > 0 {
		c.printViolations(plan, result)
	}
	return result, nil
}

// faultKinds returns the kinds of faults in a plan, sorted and separated by spaces.
func faultKinds(plan soak.Plan) string {
	kinds := map[string]bool{}
	for _, fault := range plan.Faults {
		kinds[string(fault.Kind)] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(kinds)), " ")
}

func printFaults(plan soak.Plan) {
	for _, fault := range plan.Faults {
		fmt.Println("   ", fault)
	}
}

// printViolations prints the violations, and the command that runs the plan again.
func (c *labSoakCmd) printViolations(plan soak.Plan, result *soak.Result) {
	for i, violation := range result.Violations {
		if i == maxPrintedViolations {
			fmt.Printf("  and %d more\n", len(result.Violations)-i)
			break
		}
		fmt.Println("  violation:", violation)
	}
	replay := fmt.Sprintf("mastchute lab soak --seed %d --dispatchers %d --span %g", plan.Seed, c.Dispatchers, c.Span)
	if c.Outage {
		replay += " --outage"
	}
	if c.Stops {
		replay += " --stops"
	}
	if c.Replacements {
		replay += " --replacements"
	}
	if len(c.Only) > 0 {
		replay += " --only " + strings.Join(c.Only, ",")
	}
	if c.SyscallFaults {
		replay += " --shims --binary " + c.Binary
	}
	fmt.Println("  replay:", replay)
	if c.Keep || c.Trace {
		fmt.Println("  logs:", result.Dir)
	}
}

func printCoverage(counts map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("%8d  %s\n", counts[name], name)
	}
}

// shrinkRuns is the number of runs of a reduced plan. The plan counts as failed if most of its runs fail.
const shrinkRuns = 3

var errStopped = errors.New("stopped by a signal")

// shrink removes faults from a failed plan, in successively smaller groups, as long as the same guarantee is still
// violated. It prints the remaining faults.
func (c *labSoakCmd) shrink(ctx context.Context, result *soak.Result) error {
	guarantee := result.Violations[0].Guarantee
	plan := result.Plan
	for size := (len(plan.Faults) + 1) / 2; size > 0; size /= 2 {
		for at := 0; at < len(plan.Faults); {
			reduced := plan
			reduced.Faults = slices.Delete(slices.Clone(plan.Faults), at, min(at+size, len(plan.Faults)))
			fails, err := c.violates(ctx, reduced, guarantee)
			if err != nil {
				return err
			}
			if fails {
				plan = reduced
			} else {
				at += size
			}
		}
	}
	fmt.Printf("  faults that are needed to violate %s:\n", guarantee)
	printFaults(plan)
	return nil
}

// violates reports whether most of shrinkRuns runs of the plan violate the guarantee.
func (c *labSoakCmd) violates(ctx context.Context, plan soak.Plan, guarantee string) (bool, error) {
	failures := 0
	for range shrinkRuns {
		result, err := soak.Run(ctx, plan, soak.Options{Binary: c.Binary})
		if err != nil {
			return false, err
		}
		if result.Partial {
			return false, errStopped
		}
		if slices.ContainsFunc(result.Violations, func(violation soak.Violation) bool { return violation.Guarantee == guarantee }) {
			failures++
		}
	}
	return 2*failures > shrinkRuns, nil
}
