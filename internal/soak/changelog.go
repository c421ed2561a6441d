package soak

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// changeLog emulates the change log: the worker list as numbered events, over HTTP/1.1 long polls. It listens at two
// addresses with the same content, so that a reload can move a dispatcher from one to the other.
type changeLog struct {
	run     *runner
	servers []*http.Server
	addrs   []string

	mu      sync.Mutex
	events  []string
	changed chan struct{} // closed and replaced on each event
}

// changeLogAddresses is the number of addresses, each with a server of its own.
const changeLogAddresses = 2

func newChangeLog(run *runner) (*changeLog, error) {
	l := &changeLog{run: run, changed: make(chan struct{})}
	for range changeLogAddresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			l.close()
			return nil, fmt.Errorf("listen for the change log: %w", err)
		}
		server := &http.Server{Handler: l}
		l.servers = append(l.servers, server)
		l.addrs = append(l.addrs, listener.Addr().String())
		go server.Serve(listener)
	}
	return l, nil
}

func (l *changeLog) close() {
	for _, server := range l.servers {
		server.Close()
	}
}

// add appends an event. A complete one lists all members; others list changes.
func (l *changeLog) add(complete bool, members ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := len(l.events) + 1
	l.events = append(l.events, fmt.Sprintf(`{"seq":%d,"fleet":{"revision":%d,"complete":%v,"members":[%s]}}`, number, number, complete, strings.Join(members, ",")))
	close(l.changed)
	l.changed = make(chan struct{})
}

// eventsAfter returns the response to a poll for the events after a number.
func (l *changeLog) eventsAfter(number int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf(`{"seq":%d,"results":[%s]}`, len(l.events), strings.Join(l.events[min(number, len(l.events)):], ","))
}

// awaitEvent waits until there is an event after a number or the poll's time is over. It returns false if the client
// disconnected.
func (l *changeLog) awaitEvent(r *http.Request, number int, timeout time.Duration) bool {
	l.mu.Lock()
	changed := l.changed
	hasEvents := len(l.events) > number
	l.mu.Unlock()
	if hasEvents {
		return true
	}
	select {
	case <-changed:
	case <-r.Context().Done():
		return false
	case <-time.After(timeout):
	}
	return true
}

// ServeHTTP answers a long poll, or fails while a fault of the change log is active.
func (l *changeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	timeout, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	if !l.awaitEvent(r, since, time.Duration(timeout)*time.Millisecond) {
		return
	}
	text := l.eventsAfter(since)
	if f := l.run.activeFault(LogFails, 0); f != nil {
		l.fail(w, r, f, text)
		return
	}
	w.Write([]byte(text))
}

// fail plays a fault of the change log on one poll.
func (l *changeLog) fail(w http.ResponseWriter, r *http.Request, f *Fault, text string) {
	switch int(f.Amount) {
	case logRefuses:
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			reset(conn)
		}
	case logSilent:
		select {
		case <-r.Context().Done():
		case <-time.After(seconds(f.To - l.run.history.now())):
		}
	case logTruncates:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.Write([]byte(text[:len(text)/2]))
	}
}

// reset closes a TCP connection with a reset.
func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}
