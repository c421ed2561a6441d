package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"mastchute/internal/lab"
)

type labHuntCmd struct {
	From   uint64 `default:"1" help:"First seed."`
	Budget int    `default:"40" help:"Number of scenarios to generate."`
	Keep   int    `default:"3" help:"Number of weak scenarios to keep and reduce."`
	Jobs   int    `help:"Concurrent runs; default: one per processor."`
	Out    string `default:"found" help:"Directory for the scenarios found."`
}

func (c *labHuntCmd) Run() error {
	ctx, stop := signalContext()
	defer stop()
	scenarios, err := lab.FindWeakScenarios(ctx, c.From, c.Budget, c.Keep, c.Jobs, os.Stderr)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	for _, scenario := range scenarios {
		if err := c.shrink(ctx, scenario); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		fmt.Fprintln(os.Stderr, "interrupted: the results are partial")
	}
	return nil
}

// shrink reduces a weak scenario to what makes it weak, writes it to a file, and prints its service and violated rules.
func (c *labHuntCmd) shrink(ctx context.Context, scenario lab.WeakScenario) error {
	name := filepath.Join(c.Out, strings.ReplaceAll(scenario.Name, " ", "-"))
	text := lab.ShrinkScenario(ctx, scenario, os.Stderr)
	if err := os.WriteFile(name+".yaml", text, 0o644); err != nil {
		return err
	}
	fmt.Printf("%s.yaml: service %.3f, %.3f without its faults\n", name, scenario.Service, scenario.ServiceWithoutFaults)
	for _, finding := range scenario.Violated {
		fmt.Printf("  rule %d violated %d times: %s\n", finding.Rule, finding.Violations, finding.Examples[0])
	}
	return nil
}
