package soak

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"mastchute/internal/soak/changelog"
)

// changeLog serves a change log. It listens at two addresses with the same content, so that a reload can move a dispatcher
// from one to the other.
type changeLog struct {
	*changelog.Log
	run     *runner
	servers []*http.Server
	addrs   []string
}

// changeLogAddresses is the number of addresses, each with a server of its own.
const changeLogAddresses = 2

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

// ServeHTTP answers a long poll, or fails while a fault of the change log is active.
func (l *changeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	number, timeout := changelog.ParsePoll(r)
	if !l.Await(r.Context(), number, timeout) {
		return
	}
	text := l.EventsAfter(number)
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
