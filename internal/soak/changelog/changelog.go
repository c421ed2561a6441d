// Package changelog emulates the content of the platform's change log: the worker list as numbered events, which
// dispatchers read by HTTP long polling. Its users serve the polls, and may inject faults.
package changelog

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Log is a change log. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	events  []string      // JSON, numbered from 1
	changed chan struct{} // closed and replaced on each event
}

// New returns a log without events.
func New() *Log { return &Log{changed: make(chan struct{})} }

// Append appends an event. A complete event lists all members; others list changes. Members are JSON, as returned by
// Member.
func (l *Log) Append(complete bool, members ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := len(l.events) + 1
	l.events = append(l.events, fmt.Sprintf(`{"seq":%d,"fleet":{"revision":%d,"complete":%v,"members":[%s]}}`, number, number, complete, strings.Join(members, ",")))
	close(l.changed)
	l.changed = make(chan struct{})
}

// EventsAfter returns the response to a poll for the events after a number.
func (l *Log) EventsAfter(number int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf(`{"seq":%d,"results":[%s]}`, len(l.events), strings.Join(l.events[min(number, len(l.events)):], ","))
}

// Await waits until there is an event after a number or the timeout has passed. It returns false if the context ends
// first.
func (l *Log) Await(ctx context.Context, number int, timeout time.Duration) bool {
	l.mu.Lock()
	changed := l.changed
	hasEvents := len(l.events) > number
	l.mu.Unlock()
	if hasEvents {
		return true
	}
	select {
	case <-changed:
	case <-ctx.Done():
		return false
	case <-time.After(timeout):
	}
	return true
}

// ParsePoll returns the number after which a poll asks for events, and how long it waits for one. Each is 0 if its
// parameter is malformed or missing.
func ParsePoll(r *http.Request) (number int, timeout time.Duration) {
	query := r.URL.Query()
	number, _ = strconv.Atoi(query.Get("since"))
	millis, _ := strconv.Atoi(query.Get("timeout"))
	return number, time.Duration(millis) * time.Millisecond
}

// The phases of a member.
const (
	PhaseActive  = "active"
	PhaseLeaving = "leaving"
	PhaseLeft    = "left"
)

// Place is where a worker stands.
type Place struct {
	Zone string
	Cell int
}

// Member returns a worker as a member of the list, in JSON. upSince is Unix time in ms, 0 for a process that was up
// before the log began.
func Member(id, address string, place Place, phase string, upSince int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"std","cell":%d,"phase":%q,"size":4,"up_since_ms":%d}`,
		id, address, place.Zone, place.Cell, phase, upSince)
}
