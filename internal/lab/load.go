package lab

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadOptions describe the load that is put on a gateway. Arrivals are open loop: they come at their times whatever becomes
// of those before, and latency counts from the intended time, so that a gateway that stalls cannot hide what it delayed.
type LoadOptions struct {
	URL           string
	Models        []string // by popularity, the most popular first
	Zipf          float64  // exponent of their popularity; 0 for equal popularity
	Hot           float64  // fraction of requests that are for the first model instead
	Shift         float64  // seconds after which popularity moves on by one model; 0 for never
	Unseen        float64  // fraction for a model that was not requested before: the first model's name with a number
	Rate          float64  // requests a second
	Duration      float64
	Burst         float64 // factor of the rate in bursts; 0 or 1 for none
	BurstDuration float64 // seconds of a burst, one in every ten times as long
	Tenants       []string
	Timeout       float64 // seconds that the client states and waits
	Impatient     float64 // fraction that leaves after a tenth of the timeout, and retries
	Retries       int     // after a shed answer
	Seed          uint64
	Trace         []Arrival // replayed instead of a drawn load; nil for none
	Body          string    // empty for a default
	Most          int       // concurrent requests; arrivals beyond it are counted as not sent; 0 for a default
	Progress      io.Writer // a progress line each second; may be nil
}

// LoadResult is what came of a load. Latencies are in seconds from the intended time.
type LoadResult struct {
	Asked        int            `json:"asked"`
	Answers      map[string]int `json:"answers"`  // of last attempts: the dispatcher's answers, left, refused, error
	NotSent      int            `json:"not_sent"` // the generator itself had too many in flight
	Attempts     int            `json:"tries"`
	Seconds      float64        `json:"seconds"`
	Returned     Latency        `json:"returned"`
	All          Latency        `json:"all"`
	MaxSendDelay float64        `json:"worst_send_s"` // worst delay of a first attempt after its intended time

	returned *hdrhistogram.Histogram // microseconds
}

// Results of attempts that are no answers of a dispatcher.
const (
	resultLeft     = "left"    // the client left before an answer
	resultRejected = "refused" // rejected before the request was taken
	resultError    = "error"
)

// Latency holds percentiles in seconds.
type Latency struct {
	Mean float64 `json:"mean_s"`
	P50  float64 `json:"p50_s"`
	P90  float64 `json:"p90_s"`
	P99  float64 `json:"p99_s"`
	P999 float64 `json:"p999_s"`
	Max  float64 `json:"max_s"`
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{Mean: h.Mean() / microsPerSecond, P50: secondsAt(h, 50), P90: secondsAt(h, 90), P99: secondsAt(h, 99),
		P999: secondsAt(h, 99.9), Max: float64(h.Max()) / microsPerSecond}
}

const (
	defaultMaxInFlight = 4000
	impatientStream    = 8    // of the random source
	earlyLeaveFactor   = 0.1  // of the timeout after which impatient clients leave
	loadRetryDelay     = 0.02 // s beyond the Retry-After
	maxRecordedLatency = maxLatency - 1_000_000
)

// ErrNoLoad is returned by Load for options without models, rate or duration.
var ErrNoLoad = errors.New("write at least one model, and a rate and span above 0")

// check checks the options and fills in defaults.
func (o *LoadOptions) check() error {
	u, err := url.Parse(o.URL)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(u.Host)
	if err != nil || !address.Addr().IsLoopback() || u.Scheme != "http" {
		return fmt.Errorf("%s: write http://ADDRESS:PORT with a loopback address", o.URL)
	}
	if o.Trace == nil && (len(o.Models) == 0 || !(o.Rate > 0) || !(o.Duration > 0)) {
		return ErrNoLoad
	}
	if o.Most <= 0 {
		o.Most = defaultMaxInFlight
	}
	if o.Body == "" {
		o.Body = inferenceBody
	}
	return nil
}

// GenerateLoad puts a load on a gateway on loopback. It ends early when ctx does; what was measured by then is returned with the
// context's error.
func GenerateLoad(ctx context.Context, o LoadOptions) (*LoadResult, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r := &loadRun{options: &o, begin: time.Now(), all: newLatencyHistogram(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Most, DisableCompression: true}},
		result: &LoadResult{Answers: map[string]int{}, returned: newLatencyHistogram()}}
	defer r.client.CloseIdleConnections()
	done := make(chan struct{})
	if o.Progress != nil {
		go r.reportProgress(done)
	}
	r.play(ctx)
	close(done)
	r.result.Seconds = time.Since(r.begin).Seconds()
	r.result.Returned = newLatency(r.result.returned)
	r.result.All = newLatency(r.all)
	return r.result, ctx.Err()
}

// loadRun is a load in progress.
type loadRun struct {
	options  *LoadOptions
	client   *http.Client
	begin    time.Time
	requests sync.WaitGroup

	mu       sync.Mutex // guards what is below, until all requests have ended
	inFlight int
	result   *LoadResult
	all      *hdrhistogram.Histogram // latencies of all answers, in microseconds
}

// play begins the requests at their times and waits for their ends.
func (r *loadRun) play(ctx context.Context) {
	defer r.requests.Wait()
	rnd := rand.New(rand.NewPCG(r.options.Seed, impatientStream))
	next := r.options.arrivals()
	for {
		a, ok := next()
		if !ok {
			return
		}
		select {
		case <-time.After(time.Until(r.intendedTime(a))):
		case <-ctx.Done():
			return
		}
		leavesEarly := rnd.Float64() < r.options.Impatient
		if !r.admit(a) {
			continue
		}
		r.requests.Add(1)
		go func() {
			defer r.requests.Done()
			answer, attempts := r.request(ctx, a, leavesEarly)
			r.record(a, answer, attempts)
		}()
	}
}

func (r *loadRun) intendedTime(a Arrival) time.Time { return r.begin.Add(seconds(a.At)) }

// admit counts an arrival. It returns false if too many requests are in flight.
func (r *loadRun) admit(a Arrival) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Asked++
	if r.inFlight >= r.options.Most {
		r.result.NotSent++
		return false
	}
	r.inFlight++
	r.result.MaxSendDelay = math.Max(r.result.MaxSendDelay, time.Since(r.intendedTime(a)).Seconds())
	return true
}

// record counts a request that ended.
func (r *loadRun) record(a Arrival, answer string, attempts int) {
	latency := min(time.Since(r.intendedTime(a)).Microseconds(), maxRecordedLatency)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.result.Answers[answer]++
	r.result.Attempts += attempts
	r.all.RecordValue(latency)
	if answer == string(AnswerReturned) {
		r.result.returned.RecordValue(latency)
	}
}

// reportProgress writes a line each second until done.
func (r *loadRun) reportProgress(done <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		fmt.Fprintf(r.options.Progress, "%5.0f s  asked %d, in flight %d, returned %d, shed %d, p99 %.1f ms\n", time.Since(r.begin).Seconds(), r.result.Asked, r.inFlight,
			r.result.Answers[string(AnswerReturned)], r.result.Answers[string(AnswerShed)], 1e3*secondsAt(r.result.returned, 99))
		r.mu.Unlock()
	}
}

// request makes attempts until one has an answer that is not to be retried.
func (r *loadRun) request(ctx context.Context, a Arrival, leavesEarly bool) (answer string, attempts int) {
	for {
		attempts++
		timeout := r.options.Timeout
		isFirst := attempts == 1
		if leavesEarly && isFirst {
			timeout *= earlyLeaveFactor
		}
		answer, retryAfter := r.attempt(ctx, a, timeout, !isFirst)
		shedRetry := answer == string(AnswerShed) && attempts <= r.options.Retries
		leftRetry := answer == resultLeft && leavesEarly && isFirst
		if ctx.Err() != nil || !shedRetry && !leftRetry {
			return answer, attempts
		}
		time.Sleep(seconds(retryAfter + loadRetryDelay))
	}
}

// attempt makes one attempt and waits for its response for some seconds.
func (r *loadRun) attempt(ctx context.Context, a Arrival, timeout float64, isRetry bool) (answer string, retryAfter float64) {
	attemptCtx, cancel := context.WithTimeout(ctx, seconds(timeout))
	defer cancel()
	request, err := r.newRequest(attemptCtx, a, isRetry)
	if err != nil {
		return resultError, 0
	}
	response, err := r.client.Do(request)
	if err != nil {
		if attemptCtx.Err() != nil && ctx.Err() == nil {
			return resultLeft, 0
		}
		return resultError, 0
	}
	defer response.Body.Close()
	retryAfter, _ = strconv.ParseFloat(response.Header.Get(retryAfterHeader), 64)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return resultError, retryAfter
	}
	answer = response.Header.Get(answerHeader)
	if answer == "" {
		return resultRejected, retryAfter
	}
	return answer, retryAfter
}

func (r *loadRun) newRequest(ctx context.Context, a Arrival, isRetry bool) (*http.Request, error) {
	target := r.options.URL + "/v2/models/" + url.PathEscape(a.Model) + "/infer"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(r.options.Body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(timeoutHeader, strconv.FormatFloat(r.options.Timeout, 'f', 3, 64))
	if a.Tenant != "" {
		request.Header.Set(tenantHeader, a.Tenant)
	}
	if isRetry {
		request.Header.Set(retryHeader, "true")
	}
	return request, nil
}

// WriteCSV writes the distribution of the latencies of returned answers: seconds, percentile, count so far.
func (r *LoadResult) WriteCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	w.Write([]string{"seconds", "percentile", "count"})
	for _, b := range r.returned.CumulativeDistribution() {
		w.Write([]string{strconv.FormatFloat(float64(b.ValueAt)/microsPerSecond, 'f', 6, 64), strconv.FormatFloat(b.Quantile, 'f', 4, 64), strconv.FormatInt(b.Count, 10)})
	}
	w.Flush()
	return w.Error()
}
