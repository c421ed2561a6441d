package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an entry of the change log.
type member struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Locality string `json:"locality"`
	Flavor   string `json:"flavor"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
	Size     int    `json:"size"`
	UpSince  int64  `json:"up_since_ms"`
}

// changeLog is the stand-in of the change log.
type changeLog struct {
	rec    *record
	addr   string
	mu     sync.Mutex
	events []map[string]any
	toldAt []float64
	grown  chan struct{}
	polled chan float64 // gets the time of a poll, if somebody waits for one
	hold   func() bool  // a poll that arrives while it returns true is never answered
}

// newChangeLog starts a change log whose first event is a complete list.
func (w *world) newChangeLog(members []member) *changeLog {
	c := &changeLog{rec: w.rec, grown: make(chan struct{})}
	c.add(true, members...)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	c.addr = ln.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(c.serve)}
	go server.Serve(ln)
	w.closers = append(w.closers, func() { server.Close() })
	return c
}

// tell adds an event with what has changed.
func (c *changeLog) tell(members ...member) { c.add(false, members...) }

func (c *changeLog) add(complete bool, members ...member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seq := len(c.events) + 1
	c.events = append(c.events, map[string]any{"seq": seq,
		"fleet": map[string]any{"revision": seq, "complete": complete, "members": members}})
	c.toldAt = append(c.toldAt, c.rec.now())
	for _, m := range members {
		c.rec.printf("change log event %d: %s at %s is %s, cell %d, up since %d", seq, m.ID, m.HostPort, m.Phase, m.Cell, m.UpSince)
	}
	close(c.grown)
	c.grown = make(chan struct{})
}

// since returns the answer with the events after a number, and whether there are any.
func (c *changeLog) since(seq int) (answer json.RawMessage, some bool, grown chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	later := c.events[min(seq, len(c.events)):]
	if later == nil {
		later = []map[string]any{}
	}
	answer, err := json.Marshal(map[string]any{"seq": len(c.events), "results": later})
	must(err)
	return answer, len(later) > 0, c.grown
}

// known returns all events, for a configuration.
func (c *changeLog) known() json.RawMessage {
	answer, _, _ := c.since(0)
	return answer
}

// serve answers a poll.
func (c *changeLog) serve(out http.ResponseWriter, in *http.Request) {
	seq, _ := strconv.Atoi(in.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(in.URL.Query().Get("timeout"))
	if c.hold != nil && c.hold() {
		c.rec.printf("change log: poll since=%d timeout=%d is not answered", seq, wait)
		<-in.Context().Done()
		return
	}
	select {
	case c.polled <- c.rec.now():
	default:
	}
	deadline := time.After(time.Duration(min(wait, 5000)) * time.Millisecond)
	for {
		answer, some, grown := c.since(seq)
		if (some || wait <= 0) && (c.hold == nil || !c.hold()) {
			c.write(out, answer)
			return
		}
		select {
		case <-grown:
		case <-deadline:
			if c.hold != nil && c.hold() {
				<-in.Context().Done()
				return
			}
			c.write(out, answer)
			return
		case <-in.Context().Done():
			return
		}
	}
}

func (c *changeLog) write(out http.ResponseWriter, answer json.RawMessage) {
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	fmt.Fprintf(out, "%s", answer)
}
