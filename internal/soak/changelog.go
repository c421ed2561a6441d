package soak

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"mastchute/internal/soak/changelog"
)

// changeLog serves a change log over HTTP. It listens on two addresses with the same content, so that a reload can switch
// a dispatcher from one to the other.
type changeLog struct {
	*changelog.Log
	run     *runner
	servers []*http.Server
	addrs   []string
}

// changeLogAddresses is the number of addresses, each with a server of its own.
const changeLogAddresses = 2

// trickleInterval is the time between two bytes of a response in OutageTrickles.
const trickleInterval = 40 * time.Millisecond

func newChangeLog(run *runner) (*changeLog, error) {
	l := &changeLog{Log: changelog.New(), run: run}
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

// ServeHTTP responds to a long poll, or fails it while a fault of the change log is active.
func (l *changeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	number, timeout := changelog.ParsePoll(r)
	if f := l.run.activeFault(DiscoveryOutage, 0); f != nil {
		l.failInOutage(w, r, f, number)
		return
	}
	if !l.Await(r.Context(), number, timeout) {
		return
	}
	if f := l.run.activeFault(DiscoveryOutage, 0); f != nil {
		l.failInOutage(w, r, f, number)
		return
	}
	text := l.EventsAfter(number)
	if f := l.run.activeFault(ChangeLogFails, 0); f != nil {
		l.fail(w, r, f, text)
		return
	}
	w.Write([]byte(text))
}

// fail applies a ChangeLogFails fault to one poll.
func (l *changeLog) fail(w http.ResponseWriter, r *http.Request, f *Fault, text string) {
	switch int(f.Amount) {
	case changeLogRefuses:
		refusePoll(w)
	case changeLogSilent:
		l.awaitEnd(r, f)
	case changeLogTruncates:
		truncate(w, text)
	}
}

// failInOutage applies a DiscoveryOutage fault to one poll for the events after a number. Responses contain none of
// the events that occur during the outage.
func (l *changeLog) failInOutage(w http.ResponseWriter, r *http.Request, f *Fault, number int) {
	const text = `{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":false,"members":[]}}]}`
	switch int(f.Amount) {
	case OutageRefuses:
		refusePoll(w)
	case OutageSilent:
		l.awaitEnd(r, f)
	case OutageUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case OutageTruncates:
		truncate(w, text)
	case OutageTrickles:
		l.trickle(w, r, f, text)
	case OutageStale:
		fmt.Fprintf(w, `{"seq":%d,"results":[]}`, max(0, number-1))
	}
}

// refusePoll resets the connection of a poll.
func refusePoll(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		reset(conn)
	}
}

// awaitEnd waits for the end of a fault or of the poll.
func (l *changeLog) awaitEnd(r *http.Request, f *Fault) {
	select {
	case <-r.Context().Done():
	case <-time.After(seconds(f.To - l.run.history.now())):
	}
}

// truncate sends the first half of a response that declares its full length.
func truncate(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write([]byte(text[:len(text)/2]))
}

// trickle sends a response byte by byte, without its last byte.
func (l *changeLog) trickle(w http.ResponseWriter, r *http.Request, f *Fault, text string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	for i := 0; i < len(text)-1 && l.run.history.now() < f.To; i++ {
		if _, err := w.Write([]byte{text[i]}); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(trickleInterval):
		}
	}
	l.awaitEnd(r, f)
}

// reset closes a TCP connection with RST.
func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}
