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

// LoadOptions describe an open-loop load on a gateway: requests are sent at their intended times, independently of the
// progress of earlier ones. Latency is measured from the intended time, so that a stalled gateway cannot hide delays.
type LoadOptions struct {
	URL                     string
	Models                  []string // by popularity, the most popular first
	Zipf                    float64  // exponent of their popularity; 0 for equal popularity
	FirstModelFraction      float64  // fraction of requests that are for the first model regardless of popularity
	PopularityShiftPeriod   float64  // seconds after which popularity shifts by one model; 0 for never
	UnseenFraction          float64  // fraction of requests for a model not requested before, named after the first model with a number
	Rate                    float64  // requests per second
	Duration                float64  // seconds
	Burst                   float64  // factor by which bursts multiply the rate; 0 or 1 for no bursts
	BurstDuration           float64  // seconds of a burst; bursts start at intervals of ten times as long
	Tenants                 []string
	Timeout                 float64 // seconds that the client waits, and states to the gateway
	EarlyDisconnectFraction float64 // fraction of clients that disconnect after a tenth of the timeout and retry once
	Retries                 int     // maximum number of retries of a shed request
	Seed                    uint64
	Trace                   []Arrival // replayed instead of a generated load; nil for none
	Body                    string    // of each request; empty for a default
	MaxInFlight             int       // concurrent requests; arrivals beyond that are counted as not sent; 0 for a default
	Progress                io.Writer // receives a progress line each second; may be nil
}

// LoadResult holds the results of a load. Latencies are in seconds from the intended time.
type LoadResult struct {
	Requests     int            `json:"asked"`
	Results      map[string]int `json:"answers"`  // requests by the result of their last attempt: an Outcome, left, refused or error
	NotSent      int            `json:"not_sent"` // arrivals that were not sent, as the generator had its maximum of requests in flight
	Attempts     int            `json:"tries"`
	Seconds      float64        `json:"seconds"`
	Returned     Latency        `json:"returned"`
	All          Latency        `json:"all"`
	MaxSendDelay float64        `json:"worst_send_s"` // largest delay of a first attempt after its intended time

	returned *hdrhistogram.Histogram // microseconds
}

// Results of attempts without a final outcome.
const (
	resultDisconnected = "left"    // the client disconnected before the response
	resultRejected     = "refused" // rejected before the dispatcher accepted the request
	resultError        = "error"
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
	return Latency{Mean: h.Mean() / microsPerSecond, P50: percentileSeconds(h, 50), P90: percentileSeconds(h, 90), P99: percentileSeconds(h, 99),
		P999: percentileSeconds(h, 99.9), Max: float64(h.Max()) / microsPerSecond}
}

const (
	defaultMaxInFlight    = 4000
	earlyDisconnectStream = 8                      // stream of the random source
	earlyDisconnectFactor = 0.1                    // fraction of the timeout after which a client disconnects early
	loadRetryDelay        = 0.02                   // s beyond the Retry-After
	maxRecordedLatency    = maxLatency - 1_000_000 // us
)

// ErrNoLoad is returned by GenerateLoad for options without a trace that lack models, a rate or a duration.
var ErrNoLoad = errors.New("a generated load needs at least one model, and a rate and a duration above 0")

// check validates the options and sets defaults.
func (o *LoadOptions) check() error {
	u, err := url.Parse(o.URL)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(u.Host)
	if err != nil || !address.Addr().IsLoopback() || u.Scheme != "http" {
		return fmt.Errorf("gateway URL %s is not of the form http://ADDRESS:PORT with a loopback address", o.URL)
	}
	if o.Trace == nil && (len(o.Models) == 0 || !(o.Rate > 0) || !(o.Duration > 0)) {
		return ErrNoLoad
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	if o.Body == "" {
		o.Body = requestBody
	}
	return nil
}

// GenerateLoad sends a load to a gateway on loopback. When ctx is done, it ends early and returns the results so far with the
// context's error.
func GenerateLoad(ctx context.Context, o LoadOptions) (*LoadResult, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r := &loadRun{options: &o, begin: time.Now(), all: newLatencyHistogram(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.MaxInFlight, DisableCompression: true}},
		result: &LoadResult{Results: map[string]int{}, returned: newLatencyHistogram()}}
	defer r.client.CloseIdleConnections()
	done := make(chan struct{})
	if o.Progress != nil {
		go r.reportProgress(done)
	}
	r.sendAll(ctx)
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

	mu       sync.Mutex // guards the fields below until all requests have ended
	inFlight int
	result   *LoadResult
	all      *hdrhistogram.Histogram // latencies of all requests, in microseconds
}

// sendAll starts the requests at their intended times and waits until all have ended.
func (r *loadRun) sendAll(ctx context.Context) {
	defer r.requests.Wait()
	rnd := rand.New(rand.NewPCG(r.options.Seed, earlyDisconnectStream))
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
		disconnectsEarly := rnd.Float64() < r.options.EarlyDisconnectFraction
		if !r.admit(a) {
			continue
		}
		r.requests.Add(1)
		go func() {
			defer r.requests.Done()
			result, attempts := r.sendWithRetries(ctx, a, disconnectsEarly)
			r.record(a, result, attempts)
		}()
	}
}

func (r *loadRun) intendedTime(a Arrival) time.Time { return r.begin.Add(seconds(a.At)) }

// admit counts an arrival. It returns false if the limit of concurrent requests is reached.
func (r *loadRun) admit(a Arrival) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	if r.inFlight >= r.options.MaxInFlight {
		r.result.NotSent++
		return false
	}
	r.inFlight++
	r.result.MaxSendDelay = math.Max(r.result.MaxSendDelay, time.Since(r.intendedTime(a)).Seconds())
	return true
}

// record counts a request that has ended.
func (r *loadRun) record(a Arrival, lastResult string, attempts int) {
	latency := min(time.Since(r.intendedTime(a)).Microseconds(), maxRecordedLatency)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.result.Results[lastResult]++
	r.result.Attempts += attempts
	r.all.RecordValue(latency)
	if lastResult == string(OutcomeReturned) {
		r.result.returned.RecordValue(latency)
	}
}

// reportProgress writes a line each second until done is closed.
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
		fmt.Fprintf(r.options.Progress, "%5.0f s  requests %d, in flight %d, returned %d, shed %d, p99 %.1f ms\n", time.Since(r.begin).Seconds(), r.result.Requests, r.inFlight,
			r.result.Results[string(OutcomeReturned)], r.result.Results[string(OutcomeShed)], 1e3*percentileSeconds(r.result.returned, 99))
		r.mu.Unlock()
	}
}

// sendWithRetries sends attempts until one is not to be retried. It returns the result of the last attempt and the number of
// attempts.
func (r *loadRun) sendWithRetries(ctx context.Context, a Arrival, disconnectsEarly bool) (result string, attempts int) {
	for {
		attempts++
		timeout := r.options.Timeout
		isFirst := attempts == 1
		if disconnectsEarly && isFirst {
			timeout *= earlyDisconnectFactor
		}
		result, retryAfter := r.attempt(ctx, a, timeout, !isFirst)
		retriesShed := result == string(OutcomeShed) && attempts <= r.options.Retries
		retriesDisconnect := result == resultDisconnected && disconnectsEarly && isFirst
		if ctx.Err() != nil || !retriesShed && !retriesDisconnect {
			return result, attempts
		}
		time.Sleep(seconds(retryAfter + loadRetryDelay))
	}
}

// attempt sends one attempt and waits up to timeout seconds for its response.
func (r *loadRun) attempt(ctx context.Context, a Arrival, timeout float64, isRetry bool) (result string, retryAfter float64) {
	attemptCtx, cancel := context.WithTimeout(ctx, seconds(timeout))
	defer cancel()
	request, err := r.newRequest(attemptCtx, a, isRetry)
	if err != nil {
		return resultError, 0
	}
	response, err := r.client.Do(request)
	if err != nil {
		if attemptCtx.Err() != nil && ctx.Err() == nil {
			return resultDisconnected, 0
		}
		return resultError, 0
	}
	defer response.Body.Close()
	retryAfter, _ = strconv.ParseFloat(response.Header.Get(retryAfterHeader), 64)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return resultError, retryAfter
	}
	result = response.Header.Get(outcomeHeader)
	if result == "" {
		return resultRejected, retryAfter
	}
	return result, retryAfter
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

// WriteCSV writes the latency distribution of returned requests: seconds, percentile, cumulative count.
func (r *LoadResult) WriteCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	w.Write([]string{"seconds", "percentile", "count"})
	for _, b := range r.returned.CumulativeDistribution() {
		w.Write([]string{strconv.FormatFloat(float64(b.ValueAt)/microsPerSecond, 'f', 6, 64), strconv.FormatFloat(b.Quantile, 'f', 4, 64), strconv.FormatInt(b.Count, 10)})
	}
	w.Flush()
	return w.Error()
}
