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

// changeLog is the stand-in of the list of workers as numbered events, over HTTP/1.1 long polls. A reload moves
// dispatchers from one of its two addresses to the other.
type changeLog struct {
	s      *stage
	mu     sync.Mutex
	events []string
	more   chan struct{}
	srv    []*http.Server
	addrs  []string
}

func newChangeLog(s *stage) (*changeLog, error) {
	l := &changeLog{s: s, more: make(chan struct{})}
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		srv := &http.Server{Handler: l}
		l.srv, l.addrs = append(l.srv, srv), append(l.addrs, ln.Addr().String())
		go srv.Serve(ln)
	}
	return l, nil
}

func (l *changeLog) close() {
	for _, s := range l.srv {
		s.Close()
	}
}

func (l *changeLog) add(complete bool, members ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.events) + 1
	l.events = append(l.events, fmt.Sprintf(`{"seq":%d,"fleet":{"revision":%d,"complete":%v,"members":[%s]}}`, n, n, complete, strings.Join(members, ",")))
	close(l.more)
	l.more = make(chan struct{})
}

// known is the answer to a question for the events after a number.
func (l *changeLog) known(since int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf(`{"seq":%d,"results":[%s]}`, len(l.events), strings.Join(l.events[min(since, len(l.events)):], ","))
}

// The ways in which the change log fails.
const (
	logRefuses = iota
	logSilent
	logCuts
)

func (l *changeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	l.mu.Lock()
	more, news := l.more, len(l.events) > since
	l.mu.Unlock()
	if !news {
		select {
		case <-more:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	text := l.known(since)
	if t := l.s.find(LogFails, 0); t != nil {
		switch int(t.Amount) {
		case logRefuses:
			if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			return
		case logSilent:
			select {
			case <-r.Context().Done():
			case <-time.After(time.Duration((t.To - l.s.hist.Now()) * 1e9)):
			}
			return
		case logCuts:
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			w.Write([]byte(text[:len(text)/2]))
			return
		}
	}
	w.Write([]byte(text))
}
