package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is one runner in an event of the change log.
type member struct {
	ID        string `json:"id"`
	HostPort  string `json:"host_port"`
	Locality  string `json:"locality"`
	Flavor    string `json:"flavor"`
	Cell      int    `json:"cell"`
	Phase     string `json:"phase"`
	Size      int    `json:"size"`
	UpSinceMS int64  `json:"up_since_ms"`
}

type fleet struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type event struct {
	Seq   int   `json:"seq"`
	Fleet fleet `json:"fleet"`
}

// events is an answer of the change log.
type events struct {
	Seq     int     `json:"seq"`
	Results []event `json:"results"`
}

// changeLog is the change log: an HTTP server that answers GET /changes.
type changeLog struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	events  []event
	changed chan struct{} // closed when an event is added
}

// newChangeLog starts a change log whose first event is the complete list.
func newChangeLog(members []member) (*changeLog, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	log := &changeLog{listener: listener, changed: make(chan struct{})}
	log.add(true, members)
	log.server = &http.Server{Handler: log}
	go log.server.Serve(listener)
	return log, nil
}

// takeDown ends the open connections; new ones are refused.
func (l *changeLog) takeDown() { l.server.Close() }

func (l *changeLog) address() string { return l.listener.Addr().String() }

// add adds an event.
func (l *changeLog) add(complete bool, members []member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seq := len(l.events) + 1
	l.events = append(l.events, event{Seq: seq, Fleet: fleet{Revision: seq, Complete: complete, Members: members}})
	close(l.changed)
	l.changed = make(chan struct{})
}

// since returns the events after the one with the given number, and a channel that is closed at the next event.
func (l *changeLog) since(seq int) (events, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := events{Seq: len(l.events), Results: []event{}}
	if seq < len(l.events) {
		result.Results = append(result.Results, l.events[max(0, seq):]...)
	}
	return result, l.changed
}

// ServeHTTP implements http.Handler.
func (l *changeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	seq, _ := strconv.Atoi(r.URL.Query().Get("since"))
	timeout, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	deadline := time.After(time.Duration(min(timeout, 5000)) * time.Millisecond)
	result, changed := l.since(seq)
	if len(result.Results) == 0 {
		select {
		case <-changed:
		case <-deadline:
		case <-r.Context().Done():
			return
		}
		result, _ = l.since(seq)
	}
	json.NewEncoder(w).Encode(result)
}
