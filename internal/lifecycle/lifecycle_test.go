package lifecycle

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"
)

func TestPassing(t *testing.T) {
	for err, want := range map[error]bool{fmt.Errorf("listen: %w", syscall.ENOBUFS): true, syscall.EACCES: false, errors.New("x"): false, nil: false} {
		if IsTransient(err) != want {
			t.Errorf("%v: %v", err, !want)
		}
	}
}

func TestRetryEnds(t *testing.T) {
	now := time.Now()
	r := NewRetry(now, 1)
	tries := 0
	for ; tries < 100; tries++ {
		wait, ok := r.Next(now)
		if !ok {
			break
		}
		now = now.Add(wait)
	}
	if tries < 5 || tries > 15 {
		t.Errorf("%d tries in a second", tries)
	}
	if _, ok := (&Retry{}).Next(now); ok {
		t.Error("the zero value tries")
	}
}

// Whatever the deadline, clients are served while they come, and the end is before the kill where that is possible.
func TestPlanStop(t *testing.T) {
	times := StopTimes{ClientArrivalSpan: 0.6, MaxServeSpan: 0.75, MaxDeadline: 3, KillDelay: 0.7, KillMargin: 0.15}
	for _, c := range []struct{ deadline, serve, end float64 }{{2, 0.75, 2.55}, {60, 0.75, 3.55}, {0.08, 0.63, 0.63}, {0.01, 0.6, 0.56}} {
		p := PlanStop(times, c.deadline)
		if d := p.ServeUntil - c.serve; d > 1e-9 || d < -1e-9 {
			t.Errorf("deadline %g: serves %g s, want %g", c.deadline, p.ServeUntil, c.serve)
		}
		if d := p.AnswerBy - c.end; d > 1e-9 || d < -1e-9 {
			t.Errorf("deadline %g: ends at %g s, want %g", c.deadline, p.AnswerBy, c.end)
		}
	}
}
