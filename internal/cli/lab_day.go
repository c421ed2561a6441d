package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"mastchute/internal/lab"
)

type labDayCmd struct {
	File      string `arg:"" type:"existingfile" help:"Scenario file (YAML); docs/lab.md describes the format, days/ has examples."`
	JSON      bool   `name:"json" help:"Print the report as JSON."`
	Keep      string `help:"Keep settings, logs and records in this directory."`
	Seed      uint64 `help:"Run the scenario with this seed instead of its own."`
	Page      string `help:"Write the report with plots as one HTML page to this file."`
	Timeline  bool   `help:"Print what happened in each twentieth of the scenario."`
	Simulated bool   `help:"Run the scenario in simulated time in this process; the same seed gives the same output."`
}

// Run returns an error if the scenario violated a rule.
func (c *labDayCmd) Run() error {
	scenario, err := c.load()
	if err != nil {
		return failed(err)
	}
	if c.Keep != "" {
		if err := os.MkdirAll(c.Keep, 0o755); err != nil {
			return err
		}
	}
	ctx, stop := signalContext()
	defer stop()
	evidence, report, err := c.runScenario(ctx, scenario)
	if report != nil {
		err = errors.Join(err, c.output(evidence, report))
	}
	if err != nil {
		return err
	}
	if report.HasViolations() {
		return errFailed
	}
	return nil
}

func (c *labDayCmd) load() (*lab.Scenario, error) {
	clock := lab.Sockets
	if c.Simulated {
		clock = lab.Simulated
	}
	scenario, err := lab.LoadScenario(c.File, clock)
	if err != nil {
		return nil, err
	}
	if c.Seed > 0 {
		scenario.Seed = c.Seed
	}
	return scenario, nil
}

// runScenario runs the scenario. An interrupted or failed run may return a report together with an error.
func (c *labDayCmd) runScenario(ctx context.Context, scenario *lab.Scenario) (*lab.Evidence, *lab.Report, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	if !c.Simulated {
		return lab.RunScenario(ctx, scenario, lab.RunOptions{Command: []string{self}, Dir: c.Keep, Progress: os.Stderr})
	}
	evidence, report := lab.Simulate(ctx, scenario, nil, os.Stderr)
	if c.Keep != "" {
		err = writeJSONLines(c.Keep+"/records.jsonl", evidence.Records)
	}
	return evidence, report, err
}

// output writes the files that the flags ask for, and prints the report.
func (c *labDayCmd) output(evidence *lab.Evidence, report *lab.Report) error {
	var errs []error
	if c.Keep != "" {
		errs = append(errs, writeJSONLines(c.Keep+"/tries.jsonl", evidence.ClientAttempts))
	}
	if c.Page != "" {
		errs = append(errs, writePage(c.Page, []*lab.Report{report}))
	}
	if c.JSON {
		return errors.Join(append(errs, printJSON(report))...)
	}
	report.WriteText(os.Stdout)
	if c.Timeline {
		report.WriteTimeline(os.Stdout)
	}
	return errors.Join(errs...)
}

type labDrawCmd struct {
	Seed uint64 `required:"" help:"Seed; the same seed generates the same scenario."`
	Out  string `short:"o" help:"Write the scenario to this file; default: standard output."`
}

func (c *labDrawCmd) Run() error {
	text, err := lab.DrawScenario(c.Seed)
	if err != nil {
		return err
	}
	return writeOutput(c.Out, text)
}

type labConvertCmd struct {
	File string `arg:"" type:"existingfile" help:"Scenario file of the bench (JSON)."`
	Out  string `short:"o" help:"Write the scenario to this file; default: standard output."`
}

func (c *labConvertCmd) Run() error {
	benchText, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	text, omissions, err := lab.ConvertBenchScenario(benchText)
	for _, line := range omissions {
		fmt.Fprintln(os.Stderr, line)
	}
	if err != nil {
		return failed(fmt.Errorf("%s: %w", c.File, err))
	}
	return writeOutput(c.Out, text)
}
