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

// Fault is a fault that is active for some time: calls of a system call fail or transfer fewer bytes, or the wall clock is
// wrong.
type Fault struct {
	Call        Call          `json:"call,omitempty"`
	Errno       syscall.Errno `json:"errno,omitempty"`
	From        float64       `json:"from"`             // s since the origin of the plan
	To          float64       `json:"to"`               // s since the origin of the plan, exclusive
	Probability float64       `json:"chance,omitempty"` // probability that a call fails
	MaxBytes    int           `json:"short,omitempty"`  // maximum number of bytes that a Read or Write transfers; 0 for no limit
	ClockOffset float64       `json:"step,omitempty"`   // offset of the wall clock, s
}

// isActive reports whether the fault is active at the given time of the plan.
func (f Fault) isActive(at float64) bool { return at >= f.From && at < f.To }

// Plan is a list of faults.
type Plan struct {
	Origin int64   `json:"origin"` // start of the plan as of MonotonicNow, ns
	Seed   uint64  `json:"seed"`   // seed of the random choice of calls that fail
	Faults []Fault `json:"spans"`
	Trace  string  `json:"trace,omitempty"` // file to which the results of system calls are appended; empty for none
}

// MonotonicNow returns the time of the system's monotonic clock in ns. All processes share this clock.
func MonotonicNow() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // documented to fail only for invalid arguments
	}
	return t.Nano()
}

// Install parses a plan in JSON and sets syscalls.Default to a Kernel that injects its faults. It must be called before
// syscalls.Default is used.
func Install(text string) error {
	var p Plan
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return fmt.Errorf("parse fault plan: %w", err)
	}
	syscalls.Default = p.Kernel(syscalls.Linux{})
	if p.Trace == "" {
		return nil
	}
	return installTrace(p.Trace, p.Origin)
}

// Kernel returns a Kernel that injects the faults of the plan into the underlying one.
func (p Plan) Kernel(underlying syscalls.Kernel) *Kernel {
	injector := &planInjector{plan: p, random: rand.New(rand.NewPCG(p.Seed, 0))}
	return &Kernel{
		Kernel:      underlying,
		Fail:        injector.fail,
		MaxBytes:    injector.maxBytes,
		ClockOffset: injector.clockOffset,
	}
}

// planInjector provides the functions of a Kernel that injects the faults of a plan.
type planInjector struct {
	plan   Plan
	mutex  sync.Mutex // guards random
	random *rand.Rand
}

// now returns the seconds since the origin of the plan.
func (i *planInjector) now() float64 { return float64(MonotonicNow()-i.plan.Origin) / 1e9 }

func (i *planInjector) fail(c Call, _ int) error {
	now := i.now()
	for _, fault := range i.plan.Faults {
		if fault.Call == c && fault.isActive(now) && i.draw(fault.Probability) {
			return fault.Errno
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

func (i *planInjector) maxBytes(c Call, _, n int) int {
	now := i.now()
	for _, fault := range i.plan.Faults {
		if fault.MaxBytes > 0 && fault.Call == c && fault.isActive(now) {
			n = min(n, fault.MaxBytes)
		}
	}
	return n
}

func (i *planInjector) clockOffset() time.Duration {
	now := i.now()
	offset := time.Duration(0)
	for _, fault := range i.plan.Faults {
		if fault.ClockOffset != 0 && fault.isActive(now) {
			offset += time.Duration(fault.ClockOffset * 1e9)
		}
	}
	return offset
}
