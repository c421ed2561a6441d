package lab

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"text/tabwriter"
)

// Slice is what happened in one span of a day. Calls count in the slice in which their first try was sent.
type Slice struct {
	From     float64 `json:"from"` // s from the day's begin
	Asked    int     `json:"asked"`
	InSLO    int     `json:"in_slo"`
	Late     int     `json:"late"`
	Shed     int     `json:"shed"` // calls whose last try was shed
	Lost     int     `json:"lost"` // failed, left or refused at last
	Service  float64 `json:"service"`
	Attempts int     `json:"forwards"`
	Turned   int     `json:"turned"`
	Loads    int     `json:"loads"`
	Orders   int     `json:"orders"`
	Fetches  int     `json:"fetches"`      // of a model from the store
	Used     int     `json:"workers_used"` // that ran something
	Up       float64 `json:"workers_up"`   // mean
	Running  float64 `json:"running"`      // mean requests running at a time
	Waiting  float64 `json:"waiting"`      // mean requests taken by workers that wait there: for a load or a lane
	Vain     float64 `json:"vain"`         // share of the run time that went to answers late or not wanted any more
	P50      float64 `json:"p50_s"`
	P99      float64 `json:"p99_s"`
}

// sliceCount is how many parts a day is cut into.
const sliceCount = 20

// timeline cuts a day into slices.
func timeline(day *Day, e *Evidence) []Slice {
	if len(e.Tries) == 0 {
		return nil
	}
	begin, width := math.Inf(1), day.Seconds.Seconds/sliceCount
	for _, t := range e.Tries {
		begin = math.Min(begin, t.Sent)
	}
	out := make([]Slice, sliceCount)
	for i := range out {
		out[i].From = float64(i) * width
	}
	at := func(t float64) *Slice { return &out[int(math.Max(0, math.Min(sliceCount-1, (t-begin)/width)))] }
	// spread books a span over the slices it lies in.
	spread := func(from, to float64, f func(s *Slice, share float64)) {
		for i := range out {
			lo, hi := math.Max(from-begin, out[i].From), math.Min(to-begin, out[i].From+width)
			if hi > lo {
				f(&out[i], (hi-lo)/width)
			}
		}
	}
	value, slo := map[string]float64{}, map[string]float64{}
	for _, g := range day.Settings.Groups {
		value[g.Name], slo[g.Name] = g.Value, g.SLO.Seconds
		if g.Value == 0 {
			value[g.Name] = 1
		}
	}
	type callOf struct {
		first *Try
		last  *Try
	}
	calls, wanted := map[string]*callOf{}, map[string]bool{} // wanted: requests whose answer came in time
	for i := range e.Tries {
		t := &e.Tries[i]
		c := calls[t.Key]
		if c == nil {
			c = &callOf{first: t, last: t}
			calls[t.Key] = c
		}
		if t.Number < c.first.Number {
			c.first = t
		}
		if t.Number >= c.last.Number {
			c.last = t
		}
	}
	got, asked := make([]float64, sliceCount), make([]float64, sliceCount)
	hist := newHistograms(sliceCount)
	for i := range e.Tries { // in order of the tries, so that sums come out the same each time
		c := calls[e.Tries[i].Key]
		if c.last != &e.Tries[i] {
			continue
		}
		s, v := at(c.first.Sent), value[c.first.Group]
		k := int(math.Round(s.From / width))
		s.Asked++
		asked[k] += v
		took := c.last.Answered - c.first.Sent
		switch {
		case c.last.Answer == "returned" && took <= slo[c.first.Group]:
			s.InSLO++
			got[k] += v
			wanted[c.last.Request] = true
		case c.last.Answer == "returned":
			s.Late++
		case c.last.Answer == "shed":
			s.Shed++
		default:
			s.Lost++
		}
		if c.last.Answer == "returned" {
			hist[k].RecordValue(int64(took * 1e6))
		}
	}
	type sending struct {
		request string
		attempt int
		worker  string
	}
	arrived, ran, used := map[sending]float64{}, map[sending]float64{}, make([]map[string]bool, sliceCount)
	for i := range used {
		used[i] = map[string]bool{}
	}
	down, end, total, vain := map[string]float64{}, begin+day.Seconds.Seconds, make([]float64, sliceCount), make([]float64, sliceCount)
	for i := range out {
		out[i].Up = float64(day.Fleet.Workers)
	}
	goes := func(w string, from, to float64) {
		spread(from, to, func(s *Slice, share float64) { s.Up -= share })
	}
	for _, r := range e.Records {
		k, s := sending{r.Request, r.Attempt, r.Worker}, at(r.T)
		over := func() {
			if t, ok := ran[k]; ok {
				spread(t, r.T, func(s *Slice, share float64) {
					s.Running += share
					j := int(math.Round(s.From / width))
					total[j] += share
					if !wanted[r.Request] {
						vain[j] += share
					}
				})
			} else if t, ok := arrived[k]; ok {
				spread(t, r.T, func(s *Slice, share float64) { s.Waiting += share })
			}
			delete(ran, k)
			delete(arrived, k)
		}
		switch r.Event {
		case "arrive":
			s.Attempts++
			arrived[k] = r.T
		case "ran":
			over()
			ran[k] = r.T
			used[int(math.Round(s.From/width))][r.Worker] = true
		case "turned":
			s.Turned++
			over()
		case "served", "silent", "stopped", "repeat":
			over()
		case "load":
			s.Loads++
		case "order":
			s.Orders++
		case "fetch":
			s.Fetches++
		case "vanish":
			down[r.Worker] = r.T
		case "start":
			if t, ok := down[r.Worker]; ok {
				goes(r.Worker, t, r.T)
				delete(down, r.Worker)
			}
		}
	}
	for w, t := range down {
		goes(w, t, end)
	}
	for i := range out {
		s := &out[i]
		if s.Used = len(used[i]); asked[i] > 0 {
			s.Service = got[i] / asked[i]
		}
		if total[i] > 0 {
			s.Vain = vain[i] / total[i]
		}
		s.P50, s.P99 = float64(hist[i].ValueAtPercentile(50))/1e6, float64(hist[i].ValueAtPercentile(99))/1e6
	}
	return out
}

// Held is what a worker did in a day, and what it held in the end.
type Held struct {
	Worker string `json:"worker"`
	Served int    `json:"served"`
	Loads  int    `json:"loads"`
	Models string `json:"models"`
}

// held works out what each worker held in the end.
func held(day *Day, e *Evidence) (out []Held) {
	at, copies := map[string]int{}, map[string]map[string]int{}
	for i, n := range day.workerNames() {
		out, at[n], copies[n] = append(out, Held{Worker: n}), i, map[string]int{}
	}
	for _, r := range e.Records {
		h, c := &out[at[r.Worker]], copies[r.Worker]
		switch r.Event {
		case "served":
			h.Served++
		case "load":
			h.Loads++
		case "loaded":
			c[r.Model]++
		case "unload":
			c[r.Model]--
		case "vanish":
			clear(c)
		}
	}
	for i := range out {
		var list []string
		for m, n := range copies[out[i].Worker] {
			if n > 0 {
				list = append(list, m)
			}
		}
		sort.Strings(list)
		if n := len(list); n > 12 {
			list = append(list[:12], fmt.Sprintf("and %d more", n-12))
		}
		out[i].Models = strings.Join(list, ", ")
	}
	return out
}

// WriteTimeline prints the slices of a day.
func (rep *Report) WriteTimeline(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "from\tservice\tasked\tin SLO\tlate\tshed\tlost\tforwards\tturned\tloads\tup\tused\trunning\twaiting\tin vain\tp50 ms\tp99 ms\t")
	for _, s := range rep.Slices {
		fmt.Fprintf(w, "%.1f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t\n", s.From, s.Service, s.Asked, s.InSLO,
			s.Late, s.Shed, s.Lost, s.Attempts, s.Turned, s.Loads, s.Up, s.Used, s.Running, s.Waiting, s.Vain, s.P50*1e3, s.P99*1e3)
	}
	w.Flush()
}
