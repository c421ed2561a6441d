// Package eventlooptest runs event loops for tests and gives tests access to state that belongs to a loop.
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

// Run runs a loop on a goroutine of its own until the test ends, unless it ends earlier. The test fails if the loop ends
// with an error.
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

// Running is a loop that Run has started.
type Running struct {
	ended chan struct{} // closed after err was set
	err   error
}

// Wait waits until the loop has ended, and returns its error. It may be called from any goroutine and more than once.
func (r *Running) Wait() error {
	<-r.ended
	return r.err
}

// stop stops the loop unless it has ended. Stopping it then would write to its wake-up descriptor, which is closed and
// whose number may stand for a connection of another test by now.
func (r *Running) stop(l *eventloop.Loop) {
	select {
	case <-r.ended:
	default:
		l.Stop()
	}
}

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
