package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
)

// Arrival is one line of a trace: a request for a model at a time.
type Arrival struct {
	At     float64 `json:"at"` // s from the begin of the trace
	Model  string  `json:"model"`
	Tenant string  `json:"tenant,omitempty"`
}

// ReadTrace reads a trace: one arrival in JSON on each line, in order of time.
func ReadTrace(in io.Reader) ([]Arrival, error) {
	decoder := json.NewDecoder(in)
	decoder.DisallowUnknownFields()
	var trace []Arrival
	for line := 1; ; line++ {
		var a Arrival
		err := decoder.Decode(&a)
		if errors.Is(err, io.EOF) {
			return trace, nil
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		isOrdered := len(trace) == 0 || a.At >= trace[len(trace)-1].At
		if !(a.At >= 0) || a.Model == "" || !isOrdered {
			return nil, fmt.Errorf("line %d: write at, not before the line above, and model", line)
		}
		trace = append(trace, a)
	}
}

const (
	loadStream   = 7  // of the random source
	burstsPeriod = 10 // times the length of a burst from one to the next
)

// arrivals returns a function that returns the arrivals of the load one after the other, and false at the end.
func (o *LoadOptions) arrivals() func() (Arrival, bool) {
	if o.Trace != nil {
		return replay(o.Trace)
	}
	d := &loadDrawer{options: o, rnd: rand.New(rand.NewPCG(o.Seed, loadStream))}
	for i := range o.Models {
		d.totalWeight += zipfWeight(i, o.Zipf)
		d.cumulativeWeights = append(d.cumulativeWeights, d.totalWeight)
	}
	return d.next
}

func replay(trace []Arrival) func() (Arrival, bool) {
	return func() (Arrival, bool) {
		if len(trace) == 0 {
			return Arrival{}, false
		}
		a := trace[0]
		trace = trace[1:]
		return a, true
	}
}

// loadDrawer draws the arrivals of a load.
type loadDrawer struct {
	options           *LoadOptions
	rnd               *rand.Rand
	at                float64 // of the last arrival
	unseen            int     // models that were not requested before, so far
	cumulativeWeights []float64
	totalWeight       float64
}

func (d *loadDrawer) next() (Arrival, bool) {
	o := d.options
	d.at += d.rnd.ExpFloat64() / d.rate()
	if d.at >= o.Duration {
		return Arrival{}, false
	}
	a := Arrival{At: d.at, Model: d.drawModel()}
	if len(o.Tenants) > 0 {
		a.Tenant = o.Tenants[d.rnd.IntN(len(o.Tenants))]
	}
	return a, true
}

// rate is the rate of arrivals after the last one.
func (d *loadDrawer) rate() float64 {
	o := d.options
	if o.Burst > 1 && o.BurstDuration > 0 && math.Mod(d.at, burstsPeriod*o.BurstDuration) < o.BurstDuration {
		return o.Rate * o.Burst
	}
	return o.Rate
}

func (d *loadDrawer) drawModel() string {
	o := d.options
	i := min(sort.SearchFloat64s(d.cumulativeWeights, d.rnd.Float64()*d.totalWeight), len(o.Models)-1)
	if o.Shift > 0 {
		i = (i + int(d.at/o.Shift)) % len(o.Models)
	}
	if d.rnd.Float64() < o.Hot {
		return o.Models[0]
	}
	if d.rnd.Float64() < o.Unseen {
		d.unseen++
		return fmt.Sprintf("%s-unseen-%d", o.Models[0], d.unseen)
	}
	return o.Models[i]
}
