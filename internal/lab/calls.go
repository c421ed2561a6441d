package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// The behavior of clients, independent of a clock: when logical calls start, what they request, and when they are retried.
// RunScenario and Simulate both use it.

// Streams of the random source. Each use of the seed of a scenario or a load has a stream of its own, so that the uses draw
// independently.
const (
	arrivalStream = 2
	callStream    = 3
)

const (
	minAttemptTimeout    = 0.05 // s, least remaining time for another attempt
	minShedRetryDelay    = 0.02 // s after a shed request, beyond its Retry-After
	minFailureRetryDelay = 0.05 // s after a failed request
	retryDelayJitter     = 0.1  // s, the maximum; uniformly distributed
)

// callArrival is the start of a logical call.
type callArrival struct {
	at    float64 // s from the start of the scenario
	key   string  // idempotency key
	model model
	seed  uint64
}

// arrivals returns a function that samples the starts of the scenario's logical calls in order of time: Poisson arrivals at
// the scenario's rate, with models by popularity. The function returns false at the end of the scenario.
func (s *Scenario) arrivals() func() (callArrival, bool) {
	rnd := rand.New(rand.NewPCG(s.Seed, arrivalStream))
	models := s.modelsByShare()
	at := 0.0
	number := -1
	return func() (callArrival, bool) {
		at += rnd.ExpFloat64() / s.rateAt(at)
		if at >= s.Length.Seconds {
			return callArrival{}, false
		}
		share := rnd.Float64()
		i := sort.Search(len(models)-1, func(i int) bool { return share <= models[i].cumulativeShare })
		number++
		return callArrival{at, fmt.Sprintf("k%d-%d", s.Seed, number), models[i], rnd.Uint64()}, true
	}
}

// rateAt returns the rate of arrivals at a time.
func (s *Scenario) rateAt(at float64) float64 {
	rate := s.Clients.Rate
	for _, b := range s.Clients.Bursts {
		if b.contains(at) {
			rate *= b.Factor
		}
	}
	return rate
}

// logicalCall is a first attempt and its retries. A shed request had no effect, so that any call may be retried; a failed
// request may have had an effect, so that only a retriable call is retried.
type logicalCall struct {
	callArrival
	scenario    *Scenario
	rnd         *rand.Rand
	dispatchers int // number of dispatchers that the client can connect to
	tenant      string
	attempts    int

	// These fields belong to the attempt that nextAttempt returned last.
	firstDispatcher int     // index of the dispatcher to which the client connects first
	disconnectAfter float64 // seconds until the client disconnects, at most the timeout
}

func newLogicalCall(s *Scenario, a callArrival, dispatchers int) *logicalCall {
	c := &logicalCall{callArrival: a, scenario: s, dispatchers: dispatchers, rnd: rand.New(rand.NewPCG(a.seed, callStream))}
	if tenants := s.Settings.Tenants; len(tenants) > 0 {
		c.tenant = tenants[c.rnd.IntN(len(tenants))].Name
	}
	return c
}

// nextAttempt returns the next attempt, age seconds after the start of the call. It returns false if the call is over.
func (c *logicalCall) nextAttempt(age float64) (*ClientAttempt, bool) {
	timeout := c.model.group.Timeout.Seconds
	remaining := timeout - age
	if c.attempts > c.scenario.Clients.Retries || remaining < minAttemptTimeout {
		return nil, false
	}
	a := &ClientAttempt{Key: c.key, Number: c.attempts, Model: c.model.name, Group: c.model.group.Name,
		Timeout: math.Min(remaining, timeout*(0.5+c.rnd.Float64()/2))}
	c.disconnectAfter = a.Timeout
	if c.rnd.Float64() < c.scenario.Clients.EarlyDisconnectFraction {
		c.disconnectAfter *= 0.05 + 0.6*c.rnd.Float64()
	}
	c.firstDispatcher = c.rnd.IntN(c.dispatchers)
	c.attempts++
	return a, true
}

// disconnectsEarly reports whether the client disconnects before the timeout of the attempt.
func (c *logicalCall) disconnectsEarly(a *ClientAttempt) bool { return c.disconnectAfter < a.Timeout }

// waitTime returns how long the client waits for a response to the attempt, in seconds: past the timeout, so that a late
// response is recorded, unless it disconnects early.
func (c *logicalCall) waitTime(a *ClientAttempt) float64 {
	if c.disconnectsEarly(a) {
		return c.disconnectAfter
	}
	return a.Timeout + 2*responseTolerance
}

// retryDelay returns how long the client waits after an attempt before it retries, in seconds, and false if it does not
// retry.
func (c *logicalCall) retryDelay(a *ClientAttempt, retryAfter float64) (delay float64, retries bool) {
	rejected := a.RespondedAt > 0 && a.Outcome == ""
	switch {
	case a.Outcome == OutcomeReturned || a.ClientDisconnected:
		return 0, false
	case a.Outcome == OutcomeShed || a.NotAccepted || rejected:
		return retryAfter + minShedRetryDelay + retryDelayJitter*c.rnd.Float64(), true
	case c.model.group.Effect == effectRetriable:
		return minFailureRetryDelay + retryDelayJitter*c.rnd.Float64(), true
	}
	return 0, false // the request may have run, and a retry might run it again
}
