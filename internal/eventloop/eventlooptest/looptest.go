// Package eventlooptest lets tests look at what lives on a loop.
package eventlooptest

import (
	"testing"
	"time"

	"mastchute/internal/eventloop"
)

// On runs f on the loop and waits for it.
func On(t testing.TB, l *eventloop.Loop, f func()) {
	t.Helper()
	ok := make(chan struct{})
	l.Post(func() { f(); close(ok) })
	select {
	case <-ok:
	case <-time.After(10 * time.Second):
		t.Fatal("the loop hangs")
	}
}

// Until waits for something that is to come about, as seen on the loop.
func Until(t testing.TB, l *eventloop.Loop, what string, f func() bool) {
	t.Helper()
	for range 2500 {
		ok := false
		On(t, l, func() { ok = f() })
		if ok {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("it never came about that %s", what)
}
