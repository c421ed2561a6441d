package changelog

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"
)

const (
	memberJSON = `{"id":"s-1","host_port":"127.0.0.1:9001","locality":"z","flavor":"std","cell":1,"phase":"active","size":4,"up_since_ms":7}`
	firstJSON  = `{"seq":1,"fleet":{"revision":1,"complete":true,"members":[` + memberJSON + `]}}`
	secondJSON = `{"seq":2,"fleet":{"revision":2,"complete":false,"members":[]}}`
)

func TestEventsAfter(t *testing.T) {
	log := New()
	if got, want := log.EventsAfter(0), `{"seq":0,"results":[]}`; got != want {
		t.Errorf("%s, want %s", got, want)
	}
	log.Append(true, Member("s-1", "127.0.0.1:9001", Place{Zone: "z", Cell: 1}, PhaseActive, 7))
	log.Append(false)
	for number, want := range []string{
		`{"seq":2,"results":[` + firstJSON + `,` + secondJSON + `]}`,
		`{"seq":2,"results":[` + secondJSON + `]}`,
		`{"seq":2,"results":[]}`,
		`{"seq":2,"results":[]}`, // a number without an event yet
	} {
		if got := log.EventsAfter(number); got != want {
			t.Errorf("after %d: %s, want %s", number, got, want)
		}
	}
}

func TestAwaitReturnsOnEvent(t *testing.T) {
	log := New()
	awaited := make(chan bool, 1)
	go func() { awaited <- log.Await(context.Background(), 0, time.Minute) }()
	log.Append(false)
	select {
	case ok := <-awaited:
		if !ok {
			t.Error("Await returned false before the end of the context")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Await did not return after an event")
	}
	if !log.Await(context.Background(), 0, time.Minute) {
		t.Error("Await returned false for an existing event")
	}
}

func TestAwaitReturnsOnTimeoutOrContextEnd(t *testing.T) {
	log := New()
	if !log.Await(context.Background(), 0, time.Millisecond) {
		t.Error("Await returned false after the timeout")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if log.Await(ctx, 0, time.Minute) {
		t.Error("Await returned true after the end of the context")
	}
}

func TestParsePoll(t *testing.T) {
	for _, test := range []struct {
		target  string
		number  int
		timeout time.Duration
	}{
		{"/?since=3&timeout=250", 3, 250 * time.Millisecond},
		{"/?since=x&timeout=", 0, 0},
		{"/", 0, 0},
	} {
		number, timeout := ParsePoll(httptest.NewRequest("GET", test.target, nil))
		if number != test.number || timeout != test.timeout {
			t.Errorf("%s: %d, %s", test.target, number, timeout)
		}
	}
}
