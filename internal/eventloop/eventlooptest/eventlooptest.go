// Package eventlooptest gives tests access to state that belongs to an event loop.
package eventlooptest

import (
	"testing"
	"time"

	"mastchute/internal/eventloop"
)

const (
	runTimeout   = 10 * time.Second
	pollInterval = 2 * time.Millisecond
	maxPolls     = 2500
)

// On runs f on the loop and returns when it has run. It fails the test if the loop does not run it in time.
func On(t testing.TB, l *eventloop.Loop, f func()) {
	t.Helper()
	done := make(chan struct{})
	l.Post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
	case <-time.After(runTimeout):
		t.Fatal("the loop does not run posted functions")
	}
}

// Until calls condition on the loop until it returns true, and fails the test if that takes too long. description
// completes the sentence "it never happened that ...".
func Until(t testing.TB, l *eventloop.Loop, description string, condition func() bool) {
	t.Helper()
	for range maxPolls {
		met := false
		On(t, l, func() { met = condition() })
		if met {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("it never happened that %s", description)
}
