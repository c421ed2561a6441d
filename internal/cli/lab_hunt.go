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
	Budget int    `default:"40" help:"Days generated."`
	Keep   int    `default:"3" help:"Weak days kept and shrunk."`
	Jobs   int    `help:"Runs at once; default: as many as processors."`
	Out    string `default:"found" help:"Directory for the days found."`
}

func (c *labHuntCmd) Run() error {
	ctx, stop := signalContext()
	defer stop()
	days, err := lab.FindWeakScenarios(ctx, c.From, c.Budget, c.Keep, c.Jobs, os.Stderr)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	for _, day := range days {
		if err := c.shrink(ctx, day); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		fmt.Fprintln(os.Stderr, "interrupted: the results are partial")
	}
	return nil
}

// shrink writes a day that was found, reduced to what matters, and prints what makes it weak.
func (c *labHuntCmd) shrink(ctx context.Context, day lab.WeakScenario) error {
	name := filepath.Join(c.Out, strings.ReplaceAll(day.Name, " ", "-"))
	text := lab.Shrink(ctx, day, os.Stderr)
	if err := os.WriteFile(name+".yaml", text, 0o644); err != nil {
		return err
	}
	fmt.Printf("%s.yaml: service %.3f, %.3f without its troubles\n", name, day.Service, day.ServiceWithoutFaults)
	for _, rule := range day.Violated {
		fmt.Printf("  rule %d broken %d times: %s\n", rule.Rule, rule.Violations, rule.Examples[0])
	}
	return nil
}
