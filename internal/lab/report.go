package lab

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastchute/internal/emulator"
)

// Report summarizes the evidence of a scenario. Service and latency are by logical call: from a client's first attempt to
// the response that was returned to it.
type Report struct {
	Scenario       string             `json:"day"`
	Clock          string             `json:"clock"` // sockets or simulated
	Seed           uint64             `json:"seed"`
	Partial        bool               `json:"partial,omitempty"` // the run was interrupted
	Findings       []Finding          `json:"rules"`
	Groups         []GroupReport      `json:"groups"`
	Service        float64            `json:"service"`          // priority weight of the calls returned within their latency objective, as a fraction of that of all calls
	Warm           float64            `json:"warm"`             // fraction of served attempts that found a warm replica of the model
	WarmSecondHalf float64            `json:"warm_second_half"` // Warm of the attempts served in the second half of the scenario
	Served         int                `json:"served"`
	Attempts       int                `json:"forwards"`
	LoadRequests   int                `json:"orders"`
	Loads          int                `json:"loads"`
	Rejected       int                `json:"turned"`
	Duplicates     int                `json:"repeats"` // dropped by workers
	Guards         map[string]float64 `json:"guards"`  // counts by guard; each count indicates a bug in a dispatcher's decisions or in its host
	Exits          []int              `json:"exits"`   // exit codes of the dispatchers
	Timeline       []TimelineBucket   `json:"timeline"`
	FaultSpans     []FaultSpan        `json:"troubles"`
	Workers        []WorkerReport     `json:"workers"`
}

// GroupReport summarizes one model group. Calls, InSLO and Late count logical calls, the other counts are of attempts.
type GroupReport struct {
	Name               string  `json:"name"`
	Calls              int     `json:"asked"`
	InSLO              int     `json:"in_slo"`
	Late               int     `json:"late"`
	Attempts           int     `json:"tries"`
	Shed               int     `json:"shed"`
	Failed             int     `json:"failed"`
	ClientDisconnected int     `json:"left"`
	NotAccepted        int     `json:"refused"`
	P50                float64 `json:"p50_s"`
	P99                float64 `json:"p99_s"`
}

const (
	microsPerSecond = 1e6
	maxLatency      = 3_600_000_000 // us, the largest latency that a histogram holds
)

// newLatencyHistogram returns a histogram of latencies in microseconds.
func newLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

// percentileSeconds returns a percentile of a latency histogram, in seconds.
func percentileSeconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / microsPerSecond
}

// fill computes the report from the evidence.
func (r *Report) fill(s *Scenario, e *Evidence) {
	r.Scenario = s.Name
	r.Findings = CheckInvariants(e)
	r.Timeline = newTimeline(s, e)
	r.FaultSpans = s.faultSpans()
	r.Workers = workerReports(s, e)
	r.fillGroups(s, e)
	secondHalf := math.Inf(1)
	if len(e.ClientAttempts) > 0 {
		secondHalf = e.ClientAttempts[0].SentAt + s.Length.Seconds/2
	}
	r.fillWorkerCounts(e, secondHalf)
}

// callResult is the result of a logical call over all its attempts.
type callResult struct {
	group      string
	sentAt     float64 // of its first attempt
	returnedAt float64 // 0 if no response was returned
}

// fillGroups counts calls and attempts by model group, and computes the service from the groups' priority weights.
func (r *Report) fillGroups(s *Scenario, e *Evidence) {
	reports := map[string]*GroupReport{}
	latencies := map[string]*hdrhistogram.Histogram{}
	objectives := map[string]float64{}
	for _, g := range s.Settings.Groups {
		reports[g.Name] = &GroupReport{Name: g.Name}
		latencies[g.Name] = newLatencyHistogram()
		objectives[g.Name] = g.SLO.Seconds
	}
	for _, call := range countAttempts(e, reports) {
		if call.returnedAt == 0 {
			continue
		}
		elapsed := call.returnedAt - call.sentAt
		latencies[call.group].RecordValue(int64(elapsed * microsPerSecond))
		if elapsed <= objectives[call.group] {
			reports[call.group].InSLO++
		} else {
			reports[call.group].Late++
		}
	}
	weightInSLO, totalWeight := 0.0, 0.0
	for _, g := range s.Settings.Groups {
		report := reports[g.Name]
		report.P50 = percentileSeconds(latencies[g.Name], 50)
		report.P99 = percentileSeconds(latencies[g.Name], 99)
		weightInSLO += weightOrDefault(g.ServiceWeight) * float64(report.InSLO)
		totalWeight += weightOrDefault(g.ServiceWeight) * float64(report.Calls)
		r.Groups = append(r.Groups, *report)
	}
	if totalWeight > 0 {
		r.Service = weightInSLO / totalWeight
	}
}

// weightOrDefault returns the priority weight of a model group, which is 1 if none is set.
func weightOrDefault(weight float64) float64 {
	if weight == 0 {
		return 1
	}
	return weight
}

// countAttempts counts calls and attempts by model group, and returns the calls by key.
func countAttempts(e *Evidence, reports map[string]*GroupReport) map[string]*callResult {
	calls := map[string]*callResult{}
	for _, a := range e.ClientAttempts {
		report := reports[a.Group]
		call := calls[a.Key]
		if call == nil {
			call = &callResult{group: a.Group, sentAt: a.SentAt}
			calls[a.Key] = call
			report.Calls++
		}
		call.sentAt = min(call.sentAt, a.SentAt)
		report.Attempts++
		switch {
		case a.Outcome == OutcomeReturned:
			call.returnedAt = a.RespondedAt
		case a.Outcome == OutcomeShed:
			report.Shed++
		case a.Outcome == OutcomeFailed:
			report.Failed++
		case a.ClientDisconnected:
			report.ClientDisconnected++
		default:
			report.NotAccepted++
		}
	}
	return calls
}

// fillWorkerCounts counts the events that the workers recorded. The second half of the scenario starts at secondHalf.
func (r *Report) fillWorkerCounts(e *Evidence, secondHalf float64) {
	warm, servedSecondHalf, warmSecondHalf := 0, 0, 0
	for _, record := range e.Records {
		switch record.Event {
		case emulator.EventArrived:
			r.Attempts++
		case emulator.EventServed:
			r.Served++
			isWarm := record.ModelState == emulator.ModelWarm
			if isWarm {
				warm++
			}
			if record.T > secondHalf {
				servedSecondHalf++
				if isWarm {
					warmSecondHalf++
				}
			}
		case emulator.EventLoadRequested:
			r.LoadRequests++
		case emulator.EventLoadStarted:
			r.Loads++
		case emulator.EventRejected:
			r.Rejected++
		case emulator.EventDuplicate:
			r.Duplicates++
		}
	}
	if r.Served > 0 {
		r.Warm = float64(warm) / float64(r.Served)
		r.WarmSecondHalf = float64(warmSecondHalf) / math.Max(1, float64(servedSecondHalf))
	}
}

// HasViolations reports whether any rule was violated.
func (r *Report) HasViolations() bool { return len(violatedFindings(r)) > 0 }

// WriteText prints the report as text: a line for each rule, a table of the model groups, and the totals.
func (r *Report) WriteText(out io.Writer) {
	if r.Partial {
		fmt.Fprintln(out, "interrupted: this report is partial")
	}
	for _, f := range r.Findings {
		f.write(out)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "group\tcalls\tin SLO\tlate\tshed\tfailed\tdisconnected\tnot accepted\tp50 ms\tp99 ms\t")
	for _, g := range r.Groups {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", g.Name, g.Calls, float64(g.InSLO)/max(1, float64(g.Calls)),
			g.Late, g.Shed, g.Failed, g.ClientDisconnected, g.NotAccepted, g.P50*1e3, g.P99*1e3)
	}
	w.Flush()
	fmt.Fprintf(out, "service %.3f; warm replica found by %.3f of %d served attempts (second half %.3f); %d attempts, %d rejected, %d duplicates dropped, %d load requests, %d loads; guard counts: %s; dispatcher exits: %s\n",
		r.Service, r.Warm, r.Served, r.WarmSecondHalf, r.Attempts, r.Rejected, r.Duplicates, r.LoadRequests, r.Loads, formatGuards(r.Guards), formatExits(r.Exits))
}

// write prints a finding: one line for the rule, and one for each violation that is described.
func (f Finding) write(out io.Writer) {
	limitUsage := ""
	if f.LimitUsage > 0 {
		limitUsage = fmt.Sprintf("; at most %.0f%% of the limit", 100*f.LimitUsage)
	}
	fmt.Fprintf(out, "rule %d  %-9s  %5d tests  %s%s\n", f.Rule, f.Verdict(), f.Tests, f.Name, limitUsage)
	for _, violation := range f.Examples {
		fmt.Fprintf(out, "        %s\n", violation)
	}
	if f.Violations > len(f.Examples) {
		fmt.Fprintf(out, "        and %d more\n", f.Violations-len(f.Examples))
	}
}

func formatGuards(counts map[string]float64) string {
	if len(counts) == 0 {
		return "none"
	}
	var out []string
	for name, n := range counts {
		out = append(out, fmt.Sprintf("%s %.0f", name, n))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// formatExits returns the number of dispatchers by exit code as text.
func formatExits(codes []int) string {
	counts := map[int]int{}
	for _, code := range codes {
		counts[code]++
	}
	var out []string
	for code, n := range counts {
		out = append(out, fmt.Sprintf("%d with code %d", n, code))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}
