package lab

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
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
	c := newCutter(day, e)
	c.calls(day, e)
	c.records(day, e)
	return c.finish()
}

// cutter sums up a day by slice.
type cutter struct {
	begin, width            float64
	slices                  []Slice
	got, asked, total, vain []float64 // value in time and asked for; work done, and that of it for nothing
	hist                    []*hdrhistogram.Histogram
	used                    []map[string]bool // workers that ran something
	wanted                  map[string]bool   // requests whose answer came in time
}

func newCutter(day *Day, e *Evidence) *cutter {
	c := &cutter{begin: math.Inf(1), width: day.Seconds.Seconds / sliceCount, slices: make([]Slice, sliceCount),
		got: make([]float64, sliceCount), asked: make([]float64, sliceCount), total: make([]float64, sliceCount),
		vain: make([]float64, sliceCount), hist: newHistograms(sliceCount), used: make([]map[string]bool, sliceCount),
		wanted: map[string]bool{}}
	for _, t := range e.Tries {
		c.begin = math.Min(c.begin, t.Sent)
	}
	for i := range c.slices {
		c.slices[i].From, c.slices[i].Up = float64(i)*c.width, float64(day.Fleet.Workers)
		c.used[i] = map[string]bool{}
	}
	return c
}

// at is the number of the slice that a time lies in.
func (c *cutter) at(t float64) int {
	return int(math.Max(0, math.Min(sliceCount-1, (t-c.begin)/c.width)))
}

// spread books a span over the slices it lies in.
func (c *cutter) spread(from, to float64, f func(i int, share float64)) {
	for i := range c.slices {
		start := c.slices[i].From
		lo, hi := math.Max(from-c.begin, start), math.Min(to-c.begin, start+c.width)
		if hi > lo {
			f(i, (hi-lo)/c.width)
		}
	}
}

// ends are the first and the last try of a call.
type ends struct{ first, last *Try }

func endsOfCalls(e *Evidence) map[string]*ends {
	calls := map[string]*ends{}
	for i := range e.Tries {
		t := &e.Tries[i]
		call := calls[t.Key]
		if call == nil {
			call = &ends{first: t, last: t}
			calls[t.Key] = call
		}
		if t.Number < call.first.Number {
			call.first = t
		}
		if t.Number >= call.last.Number {
			call.last = t
		}
	}
	return calls
}

// calls books each call in the slice in which it was first sent.
func (c *cutter) calls(day *Day, e *Evidence) {
	value, slo := map[string]float64{}, map[string]float64{}
	for _, g := range day.Settings.Groups {
		value[g.Name], slo[g.Name] = g.Value, g.SLO.Seconds
		if g.Value == 0 {
			value[g.Name] = 1
		}
	}
	calls := endsOfCalls(e)
	for i := range e.Tries { // in order of the tries, so that sums come out the same each time
		call := calls[e.Tries[i].Key]
		if call.last != &e.Tries[i] {
			continue
		}
		k, group := c.at(call.first.Sent), call.first.Group
		s := &c.slices[k]
		s.Asked++
		c.asked[k] += value[group]
		took := call.last.Answered - call.first.Sent
		switch {
		case call.last.Answer == "returned" && took <= slo[group]:
			s.InSLO++
			c.got[k] += value[group]
			c.wanted[call.last.Request] = true
		case call.last.Answer == "returned":
			s.Late++
		case call.last.Answer == "shed":
			s.Shed++
		default:
			s.Lost++
		}
		if call.last.Answer == "returned" {
			c.hist[k].RecordValue(int64(took * 1e6))
		}
	}
}

// sent is an attempt at a worker.
type sent struct {
	request string
	attempt int
	worker  string
}

// records books what the workers wrote down.
func (c *cutter) records(day *Day, e *Evidence) {
	arrived, ran, down := map[sent]float64{}, map[sent]float64{}, map[string]float64{}
	lessUp := func(from, to float64) {
		c.spread(from, to, func(i int, share float64) { c.slices[i].Up -= share })
	}
	for _, r := range e.Records {
		key, k := sent{r.Request, r.Attempt, r.Worker}, c.at(r.T)
		s := &c.slices[k]
		switch r.Event {
		case "arrive":
			s.Attempts++
			arrived[key] = r.T
		case "ran":
			c.over(key, r.T, arrived, ran)
			ran[key] = r.T
			c.used[k][r.Worker] = true
		case "turned":
			s.Turned++
			c.over(key, r.T, arrived, ran)
		case "served", "silent", "stopped", "repeat":
			c.over(key, r.T, arrived, ran)
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
				lessUp(t, r.T)
				delete(down, r.Worker)
			}
		}
	}
	for _, t := range down {
		lessUp(t, c.begin+day.Seconds.Seconds)
	}
}

// over books what an attempt did since it arrived or ran.
func (c *cutter) over(key sent, now float64, arrived, ran map[sent]float64) {
	if t, ok := ran[key]; ok {
		c.spread(t, now, func(i int, share float64) {
			c.slices[i].Running += share
			c.total[i] += share
			if !c.wanted[key.request] {
				c.vain[i] += share
			}
		})
	} else if t, ok := arrived[key]; ok {
		c.spread(t, now, func(i int, share float64) { c.slices[i].Waiting += share })
	}
	delete(ran, key)
	delete(arrived, key)
}

// finish works out the shares of each slice.
func (c *cutter) finish() []Slice {
	for i := range c.slices {
		s := &c.slices[i]
		if s.Used = len(c.used[i]); c.asked[i] > 0 {
			s.Service = c.got[i] / c.asked[i]
		}
		if c.total[i] > 0 {
			s.Vain = c.vain[i] / c.total[i]
		}
		s.P50 = float64(c.hist[i].ValueAtPercentile(50)) / 1e6
		s.P99 = float64(c.hist[i].ValueAtPercentile(99)) / 1e6
	}
	return c.slices
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
