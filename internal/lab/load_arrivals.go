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
	At     float64 `json:"at"` // s from the start of the trace
	Model  string  `json:"model"`
	Tenant string  `json:"tenant,omitempty"`
}

// ReadTrace reads a trace: arrivals as lines of JSON, in order of time.
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
			return nil, fmt.Errorf("line %d: an arrival needs a model, and a time \"at\" that is neither negative nor before that of the line above", line)
		}
		trace = append(trace, a)
	}
}

const (
	loadArrivalStream = 7  // stream of the random source
	burstPeriodFactor = 10 // bursts start at intervals of this many times their duration
)

// arrivals returns a function that returns the arrivals of the load in order of time, and false at the end.
func (o *LoadOptions) arrivals() func() (Arrival, bool) {
	if o.Trace != nil {
		return replay(o.Trace)
	}
	s := &arrivalSampler{options: o, rnd: rand.New(rand.NewPCG(o.Seed, loadArrivalStream))}
	for i := range o.Models {
		s.totalWeight += zipfWeight(i, o.Zipf)
		s.cumulativeWeights = append(s.cumulativeWeights, s.totalWeight)
	}
	return s.next
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

// arrivalSampler samples the arrivals of a load: Poisson, with models by popularity.
type arrivalSampler struct {
	options           *LoadOptions
	rnd               *rand.Rand
	at                float64 // of the last arrival
	unseenModels      int     // number of models so far that were not requested before
	cumulativeWeights []float64
	totalWeight       float64
}

func (s *arrivalSampler) next() (Arrival, bool) {
	o := s.options
	s.at += s.rnd.ExpFloat64() / s.rate()
	if s.at >= o.Duration {
		return Arrival{}, false
	}
	a := Arrival{At: s.at, Model: s.sampleModel()}
	if len(o.Tenants) > 0 {
		a.Tenant = o.Tenants[s.rnd.IntN(len(o.Tenants))]
	}
	return a, true
}

// rate returns the rate of arrivals after the last one.
func (s *arrivalSampler) rate() float64 {
	o := s.options
	if o.Burst > 1 && o.BurstDuration > 0 && math.Mod(s.at, burstPeriodFactor*o.BurstDuration) < o.BurstDuration {
		return o.Rate * o.Burst
	}
	return o.Rate
}

func (s *arrivalSampler) sampleModel() string {
	o := s.options
	i := min(sort.SearchFloat64s(s.cumulativeWeights, s.rnd.Float64()*s.totalWeight), len(o.Models)-1)
	if o.PopularityShiftPeriod > 0 {
		i = (i + int(s.at/o.PopularityShiftPeriod)) % len(o.Models)
	}
	if s.rnd.Float64() < o.FirstModelFraction {
		return o.Models[0]
	}
	if s.rnd.Float64() < o.UnseenFraction {
		s.unseenModels++
		return fmt.Sprintf("%s-unseen-%d", o.Models[0], s.unseenModels)
	}
	return o.Models[i]
}
