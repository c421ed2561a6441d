package cli

import (
	"fmt"
	"os"
	"strings"

	"mastchute/internal/lab"
)

// experimentFlags holds the flags that all experiments share.
type experimentFlags struct {
	Seeds int     `default:"16" help:"Maximum number of seeds per variant; all variants use the same seeds."`
	Least float64 `default:"0.005" help:"Smallest difference in service to report."`
	Jobs  int     `help:"Concurrent runs; default: one per processor."`
	JSON  bool    `name:"json" help:"Print JSON."`
	Plot  string  `help:"Write a plot of service by variant to this file (.svg or .png)."`
}

// run compares the variants and prints a row for each. After an interrupt it prints the results so far and fails.
func (f *experimentFlags) run(variants []lab.Variant) error {
	ctx, stop := signalContext()
	defer stop()
	results, runErr := lab.RunExperiment(ctx, variants, lab.ExperimentLimits{Seeds: f.Seeds, MinDifference: f.Least, Concurrency: f.Jobs}, os.Stderr)
	if results == nil {
		return failed(runErr)
	}
	if err := f.output(results); err != nil {
		return err
	}
	if runErr != nil {
		fmt.Fprintln(os.Stderr, "interrupted: the results above are partial")
		return errFailed
	}
	return nil
}

func (f *experimentFlags) output(results []lab.VariantResult) error {
	if f.JSON {
		if err := printJSON(results); err != nil {
			return err
		}
	} else {
		lab.WriteVariantResults(os.Stdout, results)
	}
	if f.Plot == "" {
		return nil
	}
	return lab.PlotResults(f.Plot, results)
}

type labCompareCmd struct {
	Scenarios []string `arg:"" name:"days" type:"existingfile" help:"Scenario files; all are compared with the first."`
	experimentFlags
}

func (c *labCompareCmd) Run() error {
	var variants []lab.Variant
	for _, file := range c.Scenarios {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		variants = append(variants, lab.Variant{Name: file, Text: text})
	}
	return c.run(variants)
}

type labSweepCmd struct {
	Scenario string   `arg:"" name:"day" type:"existingfile" help:"Scenario file."`
	Keys     []string `arg:"" help:"KEY=a,b,c: values of one key of the scenario, such as fleet.workers=10,100 or settings.groups[0].slo=1s,2s; all combinations are run."`
	experimentFlags
}

func (c *labSweepCmd) Run() error {
	text, err := os.ReadFile(c.Scenario)
	if err != nil {
		return err
	}
	keys, values, err := parseSweep(c.Keys)
	if err != nil {
		return failed(err)
	}
	variants, err := lab.MakeVariants(text, keys, values)
	if err != nil {
		return failed(fmt.Errorf("%s: %w", c.Scenario, err))
	}
	return c.run(variants)
}

// parseSweep parses arguments of the form KEY=a,b,c. values[i] holds the values of keys[i].
func parseSweep(args []string) (keys []string, values [][]string, err error) {
	for _, arg := range args {
		key, list, found := strings.Cut(arg, "=")
		if !found || list == "" {
			return nil, nil, fmt.Errorf("%q does not have the form KEY=a,b,c", arg)
		}
		keys = append(keys, key)
		values = append(values, strings.Split(list, ","))
	}
	return keys, values, nil
}
