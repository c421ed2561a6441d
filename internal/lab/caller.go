package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// What clients do, without a clock: when they come, what they ask for, and what they do after an answer. The players
// of both clocks drive it.

// arrival is one logical call as it comes in.
type arrival struct {
	at   float64 // s from the day's begin
	key  string
	m    named
	seed uint64
}

// arrivals draws the calls of the day: Poisson at the day's rate, models by their popularity.
func (d *Day) arrivals() func() (arrival, bool) {
	rnd := rand.New(rand.NewPCG(d.Seed, 2))
	models := d.popularity()
	at, n := 0.0, 0
	return func() (arrival, bool) {
		rate := d.Clients.Rate
		for _, b := range d.Clients.Bursts {
			if at >= b.At.Seconds && at < b.At.Seconds+b.For.Seconds {
				rate *= b.Factor
			}
		}
		if at += rnd.ExpFloat64() / rate; at >= d.Seconds.Seconds {
			return arrival{}, false
		}
		x := rnd.Float64()
		i := sort.Search(len(models)-1, func(i int) bool { return x <= models[i].upTo })
		n++
		return arrival{at, fmt.Sprintf("k%d-%d", d.Seed, n-1), models[i], rnd.Uint64()}, true
	}
}

// caller is one logical call: a first try, and further ones after a shed answer, which promises that trying again is
// harmless; after a failure only where the model group may run again.
type caller struct {
	day *Day
	arrival
	rnd      *rand.Rand
	gateways int
	tenant   string
	n        int
	// of the try that next returned last
	first    int     // the gateway to ask first
	patience float64 // s the client stays, at most the timeout it tells
}

func newCaller(d *Day, a arrival, gateways int) *caller {
	c := &caller{day: d, arrival: a, gateways: gateways, rnd: rand.New(rand.NewPCG(a.seed, 3))}
	if n := len(d.Settings.Tenants); n > 0 {
		c.tenant = d.Settings.Tenants[c.rnd.IntN(n)].Name
	}
	return c
}

// next makes the next try, age seconds after the first; false once the call is over.
func (c *caller) next(age float64) (*Try, bool) {
	left := c.m.group.Timeout.Seconds - age
	if c.n > c.day.Clients.Retries || left < 0.05 {
		return nil, false
	}
	t := &Try{Key: c.key, Number: c.n, Model: c.m.name, Group: c.m.group.Name,
		Timeout: math.Min(left, c.m.group.Timeout.Seconds*(0.5+c.rnd.Float64()/2))}
	if c.patience = t.Timeout; c.rnd.Float64() < c.day.Clients.Impatient {
		c.patience *= 0.05 + 0.6*c.rnd.Float64()
	}
	c.first = c.rnd.IntN(c.gateways)
	c.n++
	return t, true
}

// after tells how long the client waits before it tries again, having been told retryAfter; false if it does not.
func (c *caller) after(t *Try, retryAfter float64) (wait float64, more bool) {
	switch {
	case t.Answer == "returned" || t.Left:
		return 0, false
	case t.Answer == "shed" || t.Refused || t.Answered > 0 && t.Answer == "":
		return retryAfter + 0.02 + 0.1*c.rnd.Float64(), true
	case c.m.group.Effect == "retriable":
		return 0.05 + 0.1*c.rnd.Float64(), true
	}
	return 0, false // it may have run, and nobody promised anything
}
