package cli

import (
	"fmt"
	"io"
	"os"
	"strings"

	"mastchute/internal/lab"
)

const maxModelRange = 100_000 // maximum of LAST-FIRST in NAME-FIRST..LAST

type labLoadCmd struct {
	URL       string   `arg:"" help:"URL of the gateway, such as http://127.0.0.1:8700."`
	Model     []string `required:"" help:"Models, the most popular first; NAME-1..20 stands for 20 models."`
	Rate      float64  `default:"100" help:"Requests per second, open loop."`
	For       float64  `default:"10" help:"Duration in seconds."`
	Zipf      float64  `default:"1" help:"Exponent of the Zipf distribution of the models' popularity; 0 for equal popularity."`
	Hot       float64  `help:"Fraction of requests that are for the first model regardless of popularity."`
	Shift     float64  `help:"Interval in seconds at which popularity moves to the next model in the list; 0 for never."`
	Unseen    float64  `help:"Fraction of requests for models that were not requested before."`
	Burst     float64  `help:"Factor by which bursts multiply the rate; 0 for no bursts."`
	BurstOf   float64  `default:"1" help:"Duration of a burst in seconds; the interval between the starts of bursts is 10 times as long."`
	Tenant    []string `help:"Tenants; each request has a random one."`
	Timeout   float64  `default:"3" help:"Timeout in seconds, applied by the client and sent with each request."`
	Impatient float64  `help:"Fraction of requests whose client disconnects once after a tenth of the timeout, and retries."`
	Retries   int      `default:"1" help:"Retries of a shed request."`
	Seed      uint64   `default:"1" help:"Seed; the same seed sends the same requests at the same times."`
	Trace     string   `type:"existingfile" help:"Replay this trace instead of a generated load: JSON lines with at, model and tenant."`
	JSON      bool     `name:"json" help:"Print JSON."`
	CSV       string   `name:"csv" help:"Write the distribution of latencies to this file."`
}

func (c *labLoadCmd) Run() error {
	ctx, stop := signalContext()
	defer stop()
	options := c.options()
	if c.Trace != "" {
		trace, err := os.Open(c.Trace)
		if err != nil {
			return err
		}
		options.Trace, err = lab.ReadTrace(trace)
		trace.Close()
		if err != nil {
			return failed(fmt.Errorf("%s: %w", c.Trace, err))
		}
	}
	result, err := lab.GenerateLoad(ctx, options)
	if result == nil {
		return failed(err)
	}
	return c.output(result)
}

func (c *labLoadCmd) options() lab.LoadOptions {
	options := lab.LoadOptions{
		URL:                     strings.TrimRight(c.URL, "/"),
		Zipf:                    c.Zipf,
		FirstModelFraction:      c.Hot,
		PopularityShiftPeriod:   c.Shift,
		UnseenFraction:          c.Unseen,
		Rate:                    c.Rate,
		Duration:                c.For,
		Burst:                   c.Burst,
		BurstDuration:           c.BurstOf,
		Tenants:                 c.Tenant,
		Timeout:                 c.Timeout,
		EarlyDisconnectFraction: c.Impatient,
		Retries:                 c.Retries,
		Seed:                    c.Seed,
		Progress:                os.Stderr,
	}
	for _, model := range c.Model {
		options.Models = append(options.Models, expandModel(model)...)
	}
	return options
}

// expandModel returns the names that NAME-FIRST..LAST stands for. Any other text is a single name.
func expandModel(model string) []string {
	start, end, isRange := strings.Cut(model, "..")
	dash := strings.LastIndexByte(start, '-')
	if !isRange || dash < 0 {
		return []string{model}
	}
	var first, last int
	_, err := fmt.Sscanf(start[dash+1:]+" "+end, "%d %d", &first, &last)
	if err != nil || last < first || last-first > maxModelRange {
		return []string{model}
	}
	var names []string
	for i := first; i <= last; i++ {
		names = append(names, fmt.Sprintf("%s-%d", start[:dash], i))
	}
	return names
}

func (c *labLoadCmd) output(result *lab.LoadResult) error {
	if c.CSV != "" {
		err := createFile(c.CSV, func(w io.Writer) error { return result.WriteCSV(w) })
		if err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSONLine(result)
	}
	fmt.Printf("%d requests in %.1f s, %d attempts, %d requests not sent, sent at most %.1f ms late; results %v\n",
		result.Requests, result.Seconds, result.Attempts, result.NotSent, result.MaxSendDelay*1e3, result.Results)
	printLatency("returned", result.Returned)
	printLatency("all", result.All)
	return nil
}

func printLatency(name string, l lab.Latency) {
	fmt.Printf("%-9s mean %.1f  p50 %.1f  p90 %.1f  p99 %.1f  p99.9 %.1f  max %.1f ms from the intended send time\n",
		name, l.Mean*1e3, l.P50*1e3, l.P90*1e3, l.P99*1e3, l.P999*1e3, l.Max*1e3)
}
