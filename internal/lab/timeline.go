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

// TimelineBucket summarizes one span of a scenario. A call counts in the bucket in which its first attempt was sent.
type TimelineBucket struct {
	From         float64 `json:"from"` // s from the start of the scenario
	Calls        int     `json:"asked"`
	InSLO        int     `json:"in_slo"`
	Late         int     `json:"late"`
	Shed         int     `json:"shed"` // calls whose last attempt was shed
	Lost         int     `json:"lost"` // calls whose last attempt failed or was not accepted, or whose client disconnected
	Service      float64 `json:"service"`
	Attempts     int     `json:"forwards"`
	Rejected     int     `json:"turned"`
	Loads        int     `json:"loads"`
	LoadRequests int     `json:"orders"`
	Fetches      int     `json:"fetches"`      // of images from the store
	WorkersUsed  int     `json:"workers_used"` // that ran at least one request
	WorkersUp    float64 `json:"workers_up"`   // mean
	Running      float64 `json:"running"`      // mean number of running requests
	Waiting      float64 `json:"waiting"`      // mean number of requests that wait at workers for a load or a free slot
	Wasted       float64 `json:"vain"`         // fraction of the run time whose responses were late or not returned
	P50          float64 `json:"p50_s"`
	P99          float64 `json:"p99_s"`
}

// timelineBuckets is the number of buckets of a scenario.
const timelineBuckets = 20

// newTimeline returns the buckets of a scenario, or nil without attempts.
func newTimeline(s *Scenario, e *Evidence) []TimelineBucket {
	if len(e.ClientAttempts) == 0 {
		return nil
	}
	b := newTimelineBuilder(s, e)
	b.addCalls(s, e)
	b.addRecords(s, e)
	return b.finish()
}

// bucketBuilder accumulates the figures of a bucket.
type bucketBuilder struct {
	TimelineBucket
	weightInSLO, totalWeight float64
	runTime, wastedTime      float64 // as fractions of the bucket
	latencies                *hdrhistogram.Histogram
	workersUsed              map[string]bool
}

// timelineBuilder accumulates the buckets of a scenario.
type timelineBuilder struct {
	begin, bucketWidth float64 // s
	buckets            []bucketBuilder
	returnedInSLO      map[string]bool // requests whose response came within the latency objective
	arrivedAt          map[workerAttemptID]float64
	startedAt          map[workerAttemptID]float64
}

// workerAttemptID identifies an attempt at a worker.
type workerAttemptID struct {
	request string
	attempt int
	worker  string
}

func newTimelineBuilder(s *Scenario, e *Evidence) *timelineBuilder {
	b := &timelineBuilder{begin: math.Inf(1), bucketWidth: s.Length.Seconds / timelineBuckets, buckets: make([]bucketBuilder, timelineBuckets),
		returnedInSLO: map[string]bool{}, arrivedAt: map[workerAttemptID]float64{}, startedAt: map[workerAttemptID]float64{}}
	for _, a := range e.ClientAttempts {
		b.begin = math.Min(b.begin, a.SentAt)
	}
	for i := range b.buckets {
		b.buckets[i] = bucketBuilder{TimelineBucket: TimelineBucket{From: float64(i) * b.bucketWidth, WorkersUp: float64(s.Fleet.Workers)},
			latencies: newLatencyHistogram(), workersUsed: map[string]bool{}}
	}
	return b
}

// bucketFor returns the bucket of a time; for a time outside the scenario, the first or the last one.
func (b *timelineBuilder) bucketFor(at float64) *bucketBuilder {
	return &b.buckets[int(math.Max(0, math.Min(timelineBuckets-1, (at-b.begin)/b.bucketWidth)))]
}

// spread calls add for each bucket that a span overlaps, with the fraction of the bucket that the span covers.
func (b *timelineBuilder) spread(from, to float64, add func(bucket *bucketBuilder, fraction float64)) {
	for i := range b.buckets {
		start := b.buckets[i].From
		low := math.Max(from-b.begin, start)
		high := math.Min(to-b.begin, start+b.bucketWidth)
		if high > low {
			add(&b.buckets[i], (high-low)/b.bucketWidth)
		}
	}
}

// callEnds are the first and the last attempt of a logical call.
type callEnds struct{ first, last *ClientAttempt }

func callEndsByKey(e *Evidence) map[string]*callEnds {
	calls := map[string]*callEnds{}
	for i := range e.ClientAttempts {
		a := &e.ClientAttempts[i]
		call := calls[a.Key]
		if call == nil {
			call = &callEnds{first: a, last: a}
			calls[a.Key] = call
		}
		if a.Number < call.first.Number {
			call.first = a
		}
		if a.Number >= call.last.Number {
			call.last = a
		}
	}
	return calls
}

// addCalls counts each call in the bucket of its first attempt. It adds calls in the order of the attempts, not of a map, so
// that floating-point sums are reproducible.
func (b *timelineBuilder) addCalls(s *Scenario, e *Evidence) {
	groups := s.groups()
	calls := callEndsByKey(e)
	for i := range e.ClientAttempts {
		call := calls[e.ClientAttempts[i].Key]
		if call.last == &e.ClientAttempts[i] {
			group := groups[call.first.Group]
			b.addCall(call, weightOrDefault(group.ServiceWeight), group.SLO.Seconds)
		}
	}
}

func (b *timelineBuilder) addCall(call *callEnds, weight, objective float64) {
	bucket := b.bucketFor(call.first.SentAt)
	bucket.Calls++
	bucket.totalWeight += weight
	elapsed := call.last.RespondedAt - call.first.SentAt
	switch {
	case call.last.Outcome == OutcomeReturned && elapsed <= objective:
		bucket.InSLO++
		bucket.weightInSLO += weight
		b.returnedInSLO[call.last.Request] = true
	case call.last.Outcome == OutcomeReturned:
		bucket.Late++
	case call.last.Outcome == OutcomeShed:
		bucket.Shed++
	default:
		bucket.Lost++
	}
	if call.last.Outcome == OutcomeReturned {
		bucket.latencies.RecordValue(int64(elapsed * microsPerSecond))
	}
}

// addRecords counts the events that the workers recorded.
func (b *timelineBuilder) addRecords(s *Scenario, e *Evidence) {
	downSince := map[string]float64{} // by worker
	for _, r := range e.Records {
		switch r.Event {
		case emulator.EventCrashed:
			downSince[r.Worker] = r.T
		case emulator.EventStarted:
			if since, ok := downSince[r.Worker]; ok {
				b.subtractWorker(since, r.T)
				delete(downSince, r.Worker)
			}
		default:
			b.addRecord(r)
		}
	}
	for _, since := range downSince {
		b.subtractWorker(since, b.begin+s.Length.Seconds)
	}
}

// subtractWorker counts a worker as down during a span of time.
func (b *timelineBuilder) subtractWorker(from, to float64) {
	b.spread(from, to, func(bucket *bucketBuilder, fraction float64) { bucket.WorkersUp -= fraction })
}

func (b *timelineBuilder) addRecord(r emulator.Record) {
	id := workerAttemptID{r.Request, r.Attempt, r.Worker}
	bucket := b.bucketFor(r.T)
	switch r.Event {
	case emulator.EventArrived:
		bucket.Attempts++
		b.arrivedAt[id] = r.T
	case emulator.EventRunning:
		b.endPhase(id, r.T)
		b.startedAt[id] = r.T
		bucket.workersUsed[r.Worker] = true
	case emulator.EventRejected:
		bucket.Rejected++
		b.endPhase(id, r.T)
	case emulator.EventServed, emulator.EventSilenced, emulator.EventStopped, emulator.EventDuplicate:
		b.endPhase(id, r.T)
	case emulator.EventLoadStarted:
		bucket.Loads++
	case emulator.EventLoadRequested:
		bucket.LoadRequests++
	case emulator.EventFetchStarted:
		bucket.Fetches++
	}
}

// endPhase counts the time for which an attempt ran, or for which it waited if it never ran.
func (b *timelineBuilder) endPhase(id workerAttemptID, now float64) {
	if since, ok := b.startedAt[id]; ok {
		b.spread(since, now, func(bucket *bucketBuilder, fraction float64) {
			bucket.Running += fraction
			bucket.runTime += fraction
			if !b.returnedInSLO[id.request] {
				bucket.wastedTime += fraction
			}
		})
	} else if since, ok := b.arrivedAt[id]; ok {
		b.spread(since, now, func(bucket *bucketBuilder, fraction float64) { bucket.Waiting += fraction })
	}
	delete(b.startedAt, id)
	delete(b.arrivedAt, id)
}

// finish computes the figures that depend on complete buckets and returns the buckets.
func (b *timelineBuilder) finish() []TimelineBucket {
	var out []TimelineBucket
	for i := range b.buckets {
		bucket := &b.buckets[i]
		bucket.WorkersUsed = len(bucket.workersUsed)
		if bucket.totalWeight > 0 {
			bucket.Service = bucket.weightInSLO / bucket.totalWeight
		}
		if bucket.runTime > 0 {
			bucket.Wasted = bucket.wastedTime / bucket.runTime
		}
		bucket.P50 = percentileSeconds(bucket.latencies, 50)
		bucket.P99 = percentileSeconds(bucket.latencies, 99)
		out = append(out, bucket.TimelineBucket)
	}
	return out
}

// WorkerReport summarizes a worker's activity and lists the models that were loaded at the end.
type WorkerReport struct {
	Worker string `json:"worker"`
	Served int    `json:"served"`
	Loads  int    `json:"loads"`
	Models string `json:"models"`
}

// maxListedModels is the number of models that are listed by name for a worker.
const maxListedModels = 12

func workerReports(s *Scenario, e *Evidence) (out []WorkerReport) {
	indexes := map[string]int{}
	replicas := map[string]map[string]int{} // by worker and model
	for i, name := range s.workerNames() {
		out = append(out, WorkerReport{Worker: name})
		indexes[name] = i
		replicas[name] = map[string]int{}
	}
	for _, r := range e.Records {
		report := &out[indexes[r.Worker]]
		switch r.Event {
		case emulator.EventServed:
			report.Served++
		case emulator.EventLoadStarted:
			report.Loads++
		case emulator.EventLoaded:
			replicas[r.Worker][r.Model]++
		case emulator.EventUnloaded:
			replicas[r.Worker][r.Model]--
		case emulator.EventCrashed:
			clear(replicas[r.Worker])
		}
	}
	for i := range out {
		out[i].Models = listModels(replicas[out[i].Worker])
	}
	return out
}

// listModels lists the models that have replicas.
func listModels(replicas map[string]int) string {
	var names []string
	for name, n := range replicas {
		if n > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	if more := len(names) - maxListedModels; more > 0 {
		names = append(names[:maxListedModels], fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, ", ")
}

// WriteTimeline prints the buckets of the scenario as a table.
func (r *Report) WriteTimeline(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "from s\tservice\tcalls\tin SLO\tlate\tshed\tlost\tattempts\trejected\tloads\tworkers up\tworkers used\trunning\twaiting\twasted\tp50 ms\tp99 ms\t")
	for _, b := range r.Timeline {
		fmt.Fprintf(w, "%.1f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\t\n", b.From, b.Service, b.Calls, b.InSLO,
			b.Late, b.Shed, b.Lost, b.Attempts, b.Rejected, b.Loads, b.WorkersUp, b.WorkersUsed, b.Running, b.Waiting, b.Wasted, b.P50*1e3, b.P99*1e3)
	}
	w.Flush()
}
