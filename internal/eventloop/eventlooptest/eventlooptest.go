// Package eventlooptest runs event loops in tests and lets tests access state that belongs to a loop.
package eventlooptest

import (
	"testing"
	"time"

	"mastchute/internal/eventloop"
)

const (
	runTimeout   = 10 * time.Second
	pollInterval = 2 * time.Millisecond // between two checks of WaitUntil
	maxPolls     = 2500                 // checks of WaitUntil, over 5 s or more
)

// Start returns a loop that runs until the test ends.
func Start(t testing.TB) *eventloop.Loop {
	t.Helper()
	l, err := eventloop.New(0)
	if err != nil {
		t.Fatal(err)
	}
	Run(t, l)
	return l
}

// Run runs a loop on a goroutine of its own until the test or the loop ends. The test fails if the loop ends with an
// error.
func Run(t testing.TB, l *eventloop.Loop) *Running {
	r := &Running{ended: make(chan struct{})}
	go func() {
		r.err = l.Run()
		close(r.ended)
	}()
	t.Cleanup(func() {
		r.stop(l)
		err := r.Wait()
		if err != nil {
			t.Error(err)
		}
	})
	return r
}

// Running is a loop started by Run.
type Running struct {
	ended chan struct{} // closed after err is set
	err   error
}

// Wait waits until the loop has ended and returns its error. It is safe for concurrent use and may be called repeatedly.
func (r *Running) Wait() error {
	<-r.ended
	return r.err
}

// stop stops the loop unless it has ended. Stopping an ended loop would write to its closed wake-up descriptor, whose
// number may have been reused for a connection of another test.
func (r *Running) stop(l *eventloop.Loop) {
	select {
	case <-r.ended:
	default:
		l.Stop()
	}
}

// RunOnLoop runs f on the loop and returns when it has run. It fails the test if that takes longer than runTimeout.
func RunOnLoop(t testing.TB, l *eventloop.Loop, f func()) {
	t.Helper()
	done := make(chan struct{})
	l.Post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
	case <-time.After(runTimeout):
		t.Fatal("the loop did not run a posted function in time")
	}
}

// WaitUntil calls condition on the loop until it returns true, and fails the test if that takes too long. description names
// the condition and completes the message "timed out waiting until ...".
func WaitUntil(t testing.TB, l *eventloop.Loop, description string, condition func() bool) {
	t.Helper()
	for range maxPolls {
		met := false
		RunOnLoop(t, l, func() { met = condition() })
		if met {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("timed out waiting until %s", description)
}
