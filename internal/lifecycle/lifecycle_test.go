package lifecycle

import (
	"errors"
	"fmt"
	"math"
	"syscall"
	"testing"
	"time"
)

func TestIsTransient(t *testing.T) {
	for err, want := range map[error]bool{
		fmt.Errorf("listen: %w", syscall.ENOBUFS): true,
		syscall.EACCES:  false,
		errors.New("x"): false,
		nil:             false,
	} {
		if got := IsTransient(err); got != want {
			t.Errorf("IsTransient(%v) = %v, want %v", err, got, want)
		}
	}
}

func TestBackoffEnds(t *testing.T) {
	now := time.Now()
	backoff := NewBackoff(now, 1)
	retries := 0
	for ; retries < 100; retries++ {
		delay, ok := backoff.Next(now)
		if !ok {
			break
		}
		now = now.Add(delay)
	}
	if retries < 5 || retries > 15 {
		t.Errorf("%d retries in a second, want 5 to 15", retries)
	}
	if _, ok := (&Backoff{}).Next(now); ok {
		t.Error("the zero value has a retry left")
	}
}

// With any deadline, clients are served while they still connect, and the process ends before the kill where possible.
func TestPlanStop(t *testing.T) {
	times := StopTimes{ClientArrivalDuration: 0.6, MaxServeDuration: 0.75, MaxDeadline: 3, KillDelay: 0.7, KillMargin: 0.15, CloseDuration: 0.4, EndMargin: 0.06}
	for deadline, want := range map[float64]StopPlan{
		2:    {ServeUntil: 0.75, RespondBy: 2.55, CloseFrom: 2.3, EndBy: 2.64},
		60:   {ServeUntil: 0.75, RespondBy: 3.55, CloseFrom: 3.3, EndBy: 3.64},
		0.08: {ServeUntil: 0.6, RespondBy: 0.63, CloseFrom: 0.6, EndBy: 0.72},
		0.01: {ServeUntil: 0.6, RespondBy: 0.56, CloseFrom: 0.6, EndBy: 0.65},
	} {
		plan := PlanStop(times, deadline)
		for i, got := range []float64{plan.ServeUntil - want.ServeUntil, plan.RespondBy - want.RespondBy, plan.CloseFrom - want.CloseFrom, plan.EndBy - want.EndBy} {
			if math.Abs(got) > 1e-9 {
				t.Errorf("deadline %g: %+v, want %+v (time %d)", deadline, plan, want, i)
			}
		}
	}
}

// A failure is logged once for all retries of a reload, and a success ends the retries.
func TestReloaderRetries(t *testing.T) {
	failure := errors.New("half written")
	var logged []error
	r := Reloader{
		Reload:     func() error { return failure },
		LogFailure: func(err error) { logged = append(logged, err) },
	}
	r.Start()
	if r.RetryDue == nil {
		t.Error("no retry is scheduled after a failure")
	}
	r.Retry()
	if len(logged) != 1 || logged[0] != failure {
		t.Errorf("logged %v", logged)
	}
	failure = nil
	r.Retry()
	if r.RetryDue != nil {
		t.Error("a retry is scheduled after a success")
	}
	failure = errors.New("half written")
	r.Retry()
	if len(logged) != 2 {
		t.Errorf("logged %v, want two failures: the success in between makes the second one new", logged)
	}
}

// Once the retry duration is over there are no retries, and the next reload logs the same failure again.
func TestReloaderAfterRetries(t *testing.T) {
	logged := 0
	r := Reloader{
		Reload:     func() error { return errors.New("half written") },
		LogFailure: func(error) { logged++ },
	}
	r.Start()
	r.backoff = Backoff{} // the retry duration is over
	r.Retry()
	if r.RetryDue != nil {
		t.Error("a retry is scheduled after the retry duration")
	}
	r.Start()
	if logged != 2 {
		t.Errorf("logged %d times, want 2", logged)
	}
}
