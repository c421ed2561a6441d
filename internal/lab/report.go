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

// Report is what a day came to. Service and latency are by logical call: from a client's first try to the answer
// that was returned to it.
type Report struct {
	Day      string             `json:"day"`
	Clock    string             `json:"clock"` // sockets or simulated
	Seed     uint64             `json:"seed"`
	Partial  bool               `json:"partial,omitempty"` // it was interrupted
	Findings []Finding          `json:"rules"`
	Groups   []GroupReport      `json:"groups"`
	Service  float64            `json:"service"`          // value returned within the SLO time over value asked for
	Warm     float64            `json:"warm"`             // share of served attempts that found a warm copy
	WarmLate float64            `json:"warm_second_half"` // the same in the second half of the day
	Served   int                `json:"served"`
	Attempts int                `json:"forwards"`
	Orders   int                `json:"orders"`
	Loads    int                `json:"loads"`
	Turned   int                `json:"turned"`
	Repeats  int                `json:"repeats"` // dropped by workers
	Guards   map[string]float64 `json:"guards"`
	Exits    []int              `json:"exits"`
	Slices   []Slice            `json:"timeline"`
	Marks    []Mark             `json:"troubles"`
	Held     []Held             `json:"workers"`
}

// GroupReport is one model group's.
type GroupReport struct {
	Name    string  `json:"name"`
	Asked   int     `json:"asked"`
	InSLO   int     `json:"in_slo"`
	Late    int     `json:"late"`
	Tries   int     `json:"tries"`
	Shed    int     `json:"shed"`
	Failed  int     `json:"failed"`
	Left    int     `json:"left"`
	Refused int     `json:"refused"`
	P50     float64 `json:"p50_s"`
	P99     float64 `json:"p99_s"`
}

// newHistograms makes histograms of times in us, up to an hour.
func newHistograms(n int) (out []*hdrhistogram.Histogram) {
	for range n {
		out = append(out, hdrhistogram.New(1, 3_600_000_000, 3))
	}
	return out
}

func (rep *Report) fill(day *Day, e *Evidence) {
	rep.Day, rep.Findings, rep.Slices = day.Name, Judge(e), timeline(day, e)
	rep.Marks, rep.Held = day.marks(), held(day, e)
	rep.fillGroups(day, e)
	half := math.Inf(1)
	if len(e.Tries) > 0 {
		half = e.Tries[0].Sent + day.Seconds.Seconds/2
	}
	rep.fillRecords(e, half)
}

// callOf is a call over all its tries.
type callOf struct {
	group    string
	first    float64 // when its first try was sent
	returned float64 // when it was answered well, 0 if it was not
}

// fillGroups counts calls and their answers by model group, and weighs them by value.
func (rep *Report) fillGroups(day *Day, e *Evidence) {
	by, hist := map[string]*GroupReport{}, map[string]*hdrhistogram.Histogram{}
	slo := map[string]float64{}
	for i, h := range newHistograms(len(day.Settings.Groups)) {
		g := day.Settings.Groups[i]
		by[g.Name], hist[g.Name], slo[g.Name] = &GroupReport{Name: g.Name}, h, g.SLO.Seconds
	}
	for _, c := range countTries(e, by) {
		if c.returned == 0 {
			continue
		}
		took := c.returned - c.first
		hist[c.group].RecordValue(int64(took * 1e6))
		if took <= slo[c.group] {
			by[c.group].InSLO++
		} else {
			by[c.group].Late++
		}
	}
	got, asked := 0.0, 0.0
	for _, g := range day.Settings.Groups {
		r, v := by[g.Name], g.Value
		if v == 0 {
			v = 1
		}
		r.P50 = float64(hist[g.Name].ValueAtPercentile(50)) / 1e6
		r.P99 = float64(hist[g.Name].ValueAtPercentile(99)) / 1e6
		got += v * float64(r.InSLO)
		asked += v * float64(r.Asked)
		rep.Groups = append(rep.Groups, *r)
	}
	if asked > 0 {
		rep.Service = got / asked
	}
}

// countTries counts tries by model group, and returns the calls they belong to.
func countTries(e *Evidence, by map[string]*GroupReport) map[string]*callOf {
	calls := map[string]*callOf{}
	for _, t := range e.Tries {
		g, c := by[t.Group], calls[t.Key]
		if c == nil {
			c = &callOf{group: t.Group, first: t.Sent}
			calls[t.Key] = c
			g.Asked++
		}
		c.first = min(c.first, t.Sent)
		g.Tries++
		switch {
		case t.Answer == "returned":
			c.returned = t.Answered
		case t.Answer == "shed":
			g.Shed++
		case t.Answer == "failed":
			g.Failed++
		case t.Left:
			g.Left++
		default:
			g.Refused++
		}
	}
	return calls
}

// fillRecords counts what the workers did; what was found warm is also counted from a time on.
func (rep *Report) fillRecords(e *Evidence, half float64) {
	warm, servedLate, warmLate := 0, 0, 0
	for _, r := range e.Records {
		switch r.Event {
		case "arrive":
			rep.Attempts++
		case "served":
			if rep.Served++; r.ModelState == emulator.ModelWarm {
				warm++
			}
			if r.T > half {
				if servedLate++; r.ModelState == emulator.ModelWarm {
					warmLate++
				}
			}
		case "order":
			rep.Orders++
		case "load":
			rep.Loads++
		case "turned":
			rep.Turned++
		case "repeat":
			rep.Repeats++
		}
	}
	if rep.Served > 0 {
		rep.Warm = float64(warm) / float64(rep.Served)
		rep.WarmLate = float64(warmLate) / math.Max(1, float64(servedLate))
	}
}

// Broken tells whether a rule was broken.
func (rep *Report) Broken() bool {
	for _, f := range rep.Findings {
		if f.Broken > 0 {
			return true
		}
	}
	return false
}

// Write prints the report for people: a line a rule, then service by model group.
func (rep *Report) Write(out io.Writer) {
	if rep.Partial {
		fmt.Fprintln(out, "interrupted: what follows is partial")
	}
	for _, f := range rep.Findings {
		near := ""
		if f.Nearest > 0 {
			near = fmt.Sprintf("; %.0f%% of the limit at the nearest", 100*f.Nearest)
		}
		fmt.Fprintf(out, "rule %d  %-9s  %5d tests  %s%s\n", f.Rule, f.Verdict(), f.Tests, f.Name, near)
		for _, b := range f.Breaks {
			fmt.Fprintf(out, "        %s\n", b)
		}
		if f.Broken > len(f.Breaks) {
			fmt.Fprintf(out, "        and %d more\n", f.Broken-len(f.Breaks))
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "group\tasked\tin SLO\tlate\tshed\tfailed\tleft\trefused\tp50 ms\tp99 ms\t")
	for _, g := range rep.Groups {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", g.Name, g.Asked, float64(g.InSLO)/max(1, float64(g.Asked)),
			g.Late, g.Shed, g.Failed, g.Left, g.Refused, g.P50*1e3, g.P99*1e3)
	}
	w.Flush()
	var guards []string
	for k, v := range rep.Guards {
		guards = append(guards, fmt.Sprintf("%s %.0f", k, v))
	}
	sort.Strings(guards)
	fmt.Fprintf(out, "service %.3f; found warm %.3f of %d served (second half %.3f); %d forwards, %d turned away, %d repeats dropped, %d orders, %d loads; guards: %s; exits: %s\n",
		rep.Service, rep.Warm, rep.Served, rep.WarmLate, rep.Attempts, rep.Turned, rep.Repeats, rep.Orders, rep.Loads, strings.Join(append(guards, "none")[:max(1, len(guards))], ", "), exits(rep.Exits))
}

// exits tells how many dispatchers ended with each exit code.
func exits(codes []int) string {
	n := map[int]int{}
	for _, c := range codes {
		n[c]++
	}
	var out []string
	for c, n := range n {
		out = append(out, fmt.Sprintf("%d of code %d", n, c))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}
