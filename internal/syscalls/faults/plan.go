package faults

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls"
)

// Span is a fault of a plan: for some time a system call fails or is shortened, or the wall clock is wrong.
type Span struct {
	Call        Call          `json:"call,omitempty"`
	Errno       syscall.Errno `json:"errno,omitempty"`
	From        float64       `json:"from"` // s since the plan's origin
	To          float64       `json:"to"`
	Probability float64       `json:"chance,omitempty"` // probability that a call fails
	MaxBytes    int           `json:"short,omitempty"`  // greatest number of bytes that a Read or Write transfers; 0 for no limit
	ClockOffset float64       `json:"step,omitempty"`   // error of the wall clock, s
}

// contains reports whether the fault is active at a time of the plan.
func (s Span) contains(at float64) bool { return at >= s.From && at < s.To }

// Plan is a list of faults and the times at which they are active.
type Plan struct {
	Origin int64  `json:"origin"` // second 0 of the plan: MonotonicNow at that moment
	Seed   uint64 `json:"seed"`   // of the random choice of calls that fail
	Spans  []Span `json:"spans"`
}

// MonotonicNow returns the system's monotonic clock in ns. It is the same in all processes.
func MonotonicNow() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // documented to fail for invalid arguments only
	}
	return t.Nano()
}

// Install parses a plan in JSON and makes it syscalls.Default. It must be called before that is used.
func Install(text string) error {
	var p Plan
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return fmt.Errorf("plan of faults: %w", err)
	}
	syscalls.Default = p.Kernel(syscalls.Linux{})
	return nil
}

// Kernel returns a Kernel that injects the faults of the plan into another one.
func (p Plan) Kernel(underlying syscalls.Kernel) *Kernel {
	injector := &planInjector{plan: p, random: rand.New(rand.NewPCG(p.Seed, 0))}
	return &Kernel{
		Kernel:      underlying,
		Fail:        injector.fail,
		MaxBytes:    injector.limitLength,
		ClockOffset: injector.clockOffset,
	}
}

// planInjector implements the functions of a Kernel by a plan.
type planInjector struct {
	plan   Plan
	mutex  sync.Mutex // guards random
	random *rand.Rand
}

// now returns the time of the plan, in s.
func (i *planInjector) now() float64 { return float64(MonotonicNow()-i.plan.Origin) / 1e9 }

func (i *planInjector) fail(c Call, _ int) error {
	now := i.now()
	for _, span := range i.plan.Spans {
		if span.Call == c && span.contains(now) && i.draw(span.Probability) {
			return span.Errno
		}
	}
	return nil
}

// draw returns true with the given probability.
func (i *planInjector) draw(probability float64) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.random.Float64() < probability
}

func (i *planInjector) limitLength(c Call, _, n int) int {
	now := i.now()
	for _, span := range i.plan.Spans {
		if span.MaxBytes > 0 && span.Call == c && span.contains(now) {
			n = min(n, span.MaxBytes)
		}
	}
	return n
}

func (i *planInjector) clockOffset() time.Duration {
	now := i.now()
	offset := time.Duration(0)
	for _, span := range i.plan.Spans {
		if span.ClockOffset != 0 && span.contains(now) {
			offset += time.Duration(span.ClockOffset * 1e9)
		}
	}
	return offset
}
