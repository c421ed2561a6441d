package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// What clients do, without a clock: when logical calls begin, what they ask for, and when they are retried. Play and
// Simulate both drive it.

// Streams of the random source.
const (
	arrivalStream = 2
	callStream    = 3
)

const (
	minCallTimeout   = 0.05 // s that have to be left for another attempt
	minRetryDelay    = 0.02 // s after a shed answer, beyond its Retry-After
	minFailedDelay   = 0.05 // s after a failed answer
	retryDelayJitter = 0.1  // s
)

// arrival is the begin of a logical call.
type arrival struct {
	at    float64 // s of the scenario
	key   string  // idempotency key
	model model
	seed  uint64
}

// arrivals returns a function that draws the logical calls of the scenario in order of time: Poisson at the scenario's
// rate, models by their popularity. It returns false at the end.
func (s *Scenario) arrivals() func() (arrival, bool) {
	rnd := rand.New(rand.NewPCG(s.Seed, arrivalStream))
	models := s.modelsByShare()
	at := 0.0
	number := -1
	return func() (arrival, bool) {
		at += rnd.ExpFloat64() / s.rateAt(at)
		if at >= s.Length.Seconds {
			return arrival{}, false
		}
		share := rnd.Float64()
		i := sort.Search(len(models)-1, func(i int) bool { return share <= models[i].cumulativeShare })
		number++
		return arrival{at, fmt.Sprintf("k%d-%d", s.Seed, number), models[i], rnd.Uint64()}, true
	}
}

// rateAt is the rate of arrivals at a time.
func (s *Scenario) rateAt(at float64) float64 {
	rate := s.Clients.Rate
	for _, b := range s.Clients.Bursts {
		if b.contains(at) {
			rate *= b.Factor
		}
	}
	return rate
}

// logicalCall is a first attempt and its retries. A shed answer promises that a retry is harmless; after a failure only
// retriable calls are retried.
type logicalCall struct {
	arrival
	scenario    *Scenario
	rnd         *rand.Rand
	dispatchers int
	tenant      string
	attempts    int

	// Of the attempt that nextAttempt returned last:
	firstDispatcher int     // tried first
	patience        float64 // seconds until the client leaves, at most the timeout
}

func newLogicalCall(s *Scenario, a arrival, dispatchers int) *logicalCall {
	c := &logicalCall{arrival: a, scenario: s, dispatchers: dispatchers, rnd: rand.New(rand.NewPCG(a.seed, callStream))}
	if tenants := s.Settings.Tenants; len(tenants) > 0 {
		c.tenant = tenants[c.rnd.IntN(len(tenants))].Name
	}
	return c
}

// nextAttempt returns the next attempt, age seconds after the begin of the call. It returns false if the call is over.
func (c *logicalCall) nextAttempt(age float64) (*ClientAttempt, bool) {
	timeout := c.model.group.Timeout.Seconds
	left := timeout - age
	if c.attempts > c.scenario.Clients.Retries || left < minCallTimeout {
		return nil, false
	}
	a := &ClientAttempt{Key: c.key, Number: c.attempts, Model: c.model.name, Group: c.model.group.Name,
		Timeout: math.Min(left, timeout*(0.5+c.rnd.Float64()/2))}
	c.patience = a.Timeout
	if c.rnd.Float64() < c.scenario.Clients.Impatient {
		c.patience *= 0.05 + 0.6*c.rnd.Float64()
	}
	c.firstDispatcher = c.rnd.IntN(c.dispatchers)
	c.attempts++
	return a, true
}

// leavesEarly reports whether the client leaves before the timeout of the attempt.
func (c *logicalCall) leavesEarly(a *ClientAttempt) bool { return c.patience < a.Timeout }

// waitTime is how long the client waits for a response to the attempt, in seconds.
func (c *logicalCall) waitTime(a *ClientAttempt) float64 {
	if c.leavesEarly(a) {
		return c.patience
	}
	return a.Timeout + 2*answerSlack
}

// retryDelay returns how long the client waits after an attempt until it retries. It returns false if it does not retry.
func (c *logicalCall) retryDelay(a *ClientAttempt, retryAfter float64) (delay float64, retries bool) {
	rejected := a.AnsweredAt > 0 && a.Answer == ""
	switch {
	case a.Answer == AnswerReturned || a.ClientLeft:
		return 0, false
	case a.Answer == AnswerShed || a.NotAccepted || rejected:
		return retryAfter + minRetryDelay + retryDelayJitter*c.rnd.Float64(), true
	case c.model.group.Effect == effectRetriable:
		return minFailedDelay + retryDelayJitter*c.rnd.Float64(), true
	}
	return 0, false // it may have run, and a retry may run it again
}
