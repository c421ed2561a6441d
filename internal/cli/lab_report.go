package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"mastchute/internal/lab"
)

type labReportCmd struct {
	Reports []string `arg:"" type:"existingfile" help:"Reports written by lab day --json; several are shown side by side."`
	Out     string   `short:"o" default:"report.html" help:"HTML file to write."`
}

func (c *labReportCmd) Run() error {
	var reports []*lab.Report
	for _, file := range c.Reports {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		report := &lab.Report{}
		if err := json.Unmarshal(text, report); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		reports = append(reports, report)
	}
	return writePage(c.Out, reports)
}

// writePage writes the reports with plots as one HTML page.
func writePage(file string, reports []*lab.Report) error {
	return createFile(file, func(w io.Writer) error { return lab.WritePage(w, reports) })
}
