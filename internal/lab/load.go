package lab

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadOptions say what load is put on a gateway. Arrivals are open loop: they come at their times whatever becomes of
// those before, and latency counts from the time one was meant to be sent, so that a gateway which stalls cannot hide
// what it kept waiting.
type LoadOptions struct {
	URL       string
	Models    []string // by popularity, the first asked for most
	Zipf      float64  // how unequal their popularity is; 0 for equal
	Hot       float64  // share of all that asks for the first model besides
	Shift     float64  // s after which popularity moves on by one model; 0 for never
	Unseen    float64  // share that asks for a model not asked for before: the first model's name with a number
	Rate      float64  // a second
	Seconds   float64
	Burst     float64 // factor of the rate within bursts; 0 or 1 for none
	BurstOf   float64 // s, one in every ten times as long
	Tenants   []string
	Timeout   float64 // s told and waited
	Impatient float64 // share that leaves after a tenth of it, and asks again
	Retries   int     // after a shed answer
	Seed      uint64
	Trace     []Arrival // played in place of Rate, Models and Zipf
	Body      string
	Most      int       // in flight at a time; beyond it arrivals are counted as not sent
	Say       io.Writer // a progress line a second; may be nil
}

// Arrival is one line of a trace: when, and for which model.
type Arrival struct {
	At     float64 `json:"at"` // s from its begin
	Model  string  `json:"model"`
	Tenant string  `json:"tenant,omitempty"`
}

// LoadResult is what came of a load. Latencies are seconds from the intended time.
type LoadResult struct {
	Asked    int            `json:"asked"`
	Answers  map[string]int `json:"answers"`  // of last tries: returned, shed, failed, left, refused, error
	NotSent  int            `json:"not_sent"` // the generator itself had too many in flight
	Tries    int            `json:"tries"`
	Seconds  float64        `json:"seconds"`
	Returned Latency        `json:"returned"`
	All      Latency        `json:"all"`
	Late     float64        `json:"worst_send_s"` // the latest that a try went out after its intended time
	hist     *hdrhistogram.Histogram
}

// Latency are percentiles, in seconds.
type Latency struct {
	Mean float64 `json:"mean_s"`
	P50  float64 `json:"p50_s"`
	P90  float64 `json:"p90_s"`
	P99  float64 `json:"p99_s"`
	P999 float64 `json:"p999_s"`
	Max  float64 `json:"max_s"`
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1e6 }
	return Latency{h.Mean() / 1e6, at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1e6}
}

// ReadTrace reads a trace: a JSON line for each arrival, in order of time.
func ReadTrace(in io.Reader) (out []Arrival, err error) {
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	for {
		var a Arrival
		if err := d.Decode(&a); err == io.EOF {
			return out, nil
		} else if err != nil {
			return nil, fmt.Errorf("line %d: %w", len(out)+1, err)
		}
		if !(a.At >= 0) || a.Model == "" || len(out) > 0 && a.At < out[len(out)-1].At {
			return nil, fmt.Errorf("line %d: write at, not before the line above, and model", len(out)+1)
		}
		out = append(out, a)
	}
}

// plan draws the arrivals of a load, one after the other; pure.
func (o *LoadOptions) plan() func() (Arrival, bool) {
	if o.Trace != nil {
		i := 0
		return func() (Arrival, bool) {
			if i++; i > len(o.Trace) {
				return Arrival{}, false
			}
			return o.Trace[i-1], true
		}
	}
	rnd := rand.New(rand.NewPCG(o.Seed, 7))
	up := make([]float64, len(o.Models))
	sum := 0.0
	for i := range up {
		sum += math.Pow(float64(i+1), -o.Zipf)
		up[i] = sum
	}
	at, unseen := 0.0, 0
	return func() (Arrival, bool) {
		rate := o.Rate
		if o.Burst > 1 && o.BurstOf > 0 && math.Mod(at, 10*o.BurstOf) < o.BurstOf {
			rate *= o.Burst
		}
		if at += rnd.ExpFloat64() / rate; at >= o.Seconds {
			return Arrival{}, false
		}
		a := Arrival{At: at}
		i := min(sort.SearchFloat64s(up, rnd.Float64()*sum), len(up)-1)
		if o.Shift > 0 {
			i = (i + int(at/o.Shift)) % len(up)
		}
		if a.Model = o.Models[i]; rnd.Float64() < o.Hot {
			a.Model = o.Models[0]
		} else if rnd.Float64() < o.Unseen {
			unseen++
			a.Model = fmt.Sprintf("%s-unseen-%d", o.Models[0], unseen)
		}
		if len(o.Tenants) > 0 {
			a.Tenant = o.Tenants[rnd.IntN(len(o.Tenants))]
		}
		return a, true
	}
}

// Load puts a load on a gateway on loopback. It ends early when ctx does; what was seen by then is returned.
func Load(ctx context.Context, o LoadOptions) (*LoadResult, error) {
	u, err := url.Parse(o.URL)
	if err != nil {
		return nil, err
	}
	at, err := netip.ParseAddrPort(u.Host)
	if err != nil || !at.Addr().IsLoopback() || u.Scheme != "http" {
		return nil, fmt.Errorf("%s: write http://ADDRESS:PORT with a loopback address", o.URL)
	}
	if o.Trace == nil && (len(o.Models) == 0 || !(o.Rate > 0) || !(o.Seconds > 0)) {
		return nil, fmt.Errorf("write at least one model, and a rate and span above 0")
	}
	if o.Most <= 0 {
		o.Most = 4000
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Most, MaxConnsPerHost: 0, DisableCompression: true}}
	defer client.CloseIdleConnections()
	res := &LoadResult{Answers: map[string]int{}, hist: newHistograms(1)[0]}
	all := newHistograms(1)[0]
	var mu sync.Mutex
	var wait sync.WaitGroup
	open, begin := 0, time.Now()
	due := func(s float64) time.Time { return begin.Add(time.Duration(s * 1e9)) }
	done := make(chan struct{})
	if o.Say != nil {
		go func() {
			t := time.NewTicker(time.Second)
			defer t.Stop()
			for {
				select {
				case <-done:
					return
				case <-t.C:
					mu.Lock()
					fmt.Fprintf(o.Say, "%5.0f s  asked %d, in hand %d, returned %d, shed %d, p99 %.1f ms\n", time.Since(begin).Seconds(), res.Asked, open,
						res.Answers["returned"], res.Answers["shed"], float64(res.hist.ValueAtPercentile(99))/1e3)
					mu.Unlock()
				}
			}
		}()
	}
	rnd := rand.New(rand.NewPCG(o.Seed, 8))
	for next := o.plan(); ctx.Err() == nil; {
		a, ok := next()
		if !ok {
			break
		}
		select {
		case <-time.After(time.Until(due(a.At))):
		case <-ctx.Done():
			continue
		}
		leaves := rnd.Float64() < o.Impatient
		mu.Lock()
		res.Asked++
		full := open >= o.Most
		if full {
			res.NotSent++
		} else {
			open++
			res.Late = math.Max(res.Late, time.Since(due(a.At)).Seconds())
		}
		mu.Unlock()
		if full {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			answer, tries := o.call(ctx, client, a, leaves)
			took := min(time.Since(due(a.At)).Microseconds(), 3_599_000_000)
			mu.Lock()
			defer mu.Unlock()
			open--
			res.Answers[answer]++
			res.Tries += tries
			all.RecordValue(took)
			if answer == "returned" {
				res.hist.RecordValue(took)
			}
		}()
	}
	wait.Wait()
	close(done)
	res.Seconds = time.Since(begin).Seconds()
	res.Returned, res.All = latency(res.hist), latency(all)
	return res, ctx.Err()
}

// call asks until it has an answer that is not to be tried again.
func (o *LoadOptions) call(ctx context.Context, client *http.Client, a Arrival, leaves bool) (answer string, tries int) {
	for {
		tries++
		span := o.Timeout
		if leaves && tries == 1 {
			span /= 10
		}
		c, cancel := context.WithTimeout(ctx, time.Duration(span*1e9))
		body := o.Body
		if body == "" {
			body = `{"inputs":[]}`
		}
		req, err := http.NewRequestWithContext(c, "POST", o.URL+"/v2/models/"+url.PathEscape(a.Model)+"/infer", strings.NewReader(body))
		if err != nil {
			cancel()
			return "error", tries
		}
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Mastchute-Timeout", strconv.FormatFloat(o.Timeout, 'f', 3, 64))
		if a.Tenant != "" {
			req.Header.Set("Mastchute-Tenant", a.Tenant)
		}
		if tries > 1 {
			req.Header.Set("Mastchute-Repeat", "true")
		}
		resp, err := client.Do(req)
		again := 0.0
		switch {
		case err != nil && c.Err() != nil && ctx.Err() == nil:
			answer = "left"
		case err != nil:
			answer = "error"
		default:
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if answer = resp.Header.Get("Mastchute-Answer"); err != nil {
				answer = "error"
			} else if answer == "" {
				answer = "refused"
			}
			again, _ = strconv.ParseFloat(resp.Header.Get("Mastchute-Retry-After"), 64)
		}
		cancel()
		if ctx.Err() != nil || !(answer == "shed" && tries <= o.Retries || answer == "left" && leaves && tries == 1) {
			return answer, tries
		}
		time.Sleep(time.Duration((again + 0.02) * 1e9))
	}
}

// WriteCSV writes the distribution of returned answers: seconds, percentile, count so far.
func (r *LoadResult) WriteCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	w.Write([]string{"seconds", "percentile", "count"})
	for _, b := range r.hist.CumulativeDistribution() {
		w.Write([]string{strconv.FormatFloat(float64(b.ValueAt)/1e6, 'f', 6, 64), strconv.FormatFloat(b.Quantile, 'f', 4, 64), strconv.FormatInt(b.Count, 10)})
	}
	w.Flush()
	return w.Error()
}
