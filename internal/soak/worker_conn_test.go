package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"mastchute/internal/soak/changelog"
)

// newTestRunner returns a runner without dispatchers.
func newTestRunner(faults ...Fault) *runner {
	return &runner{plan: Plan{Seed: 1, Site: Site{ConnIdle: 5, Deadline: 1}, Faults: faults}, history: newHistory(),
		harnessDelays: map[int]float64{}, stopped: make(chan struct{})}
}

// workerSession is a connection to a worker, used as by a dispatcher.
type workerSession struct {
	t      *testing.T
	worker *worker
	conn   net.Conn
	reader *bufio.Reader
}

func newWorkerSession(t *testing.T, r *runner) *workerSession {
	t.Helper()
	w, err := newWorker(r, 3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.close)
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return &workerSession{t: t, worker: w, conn: conn, reader: bufio.NewReader(conn)}
}

// roundTrip sends a message and returns the first line and the body of the response.
func (s *workerSession) roundTrip(message string) (line, body string) {
	s.t.Helper()
	if _, err := io.WriteString(s.conn, message); err != nil {
		s.t.Fatal(err)
	}
	line, err := s.reader.ReadString('\n')
	if err != nil {
		s.t.Fatalf("%q: %v", message, err)
	}
	words := strings.Fields(line)
	var size int
	fmt.Sscan(words[len(words)-1], &size)
	text := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(s.reader, text); err != nil {
		s.t.Fatal(err)
	}
	return strings.TrimSpace(line), string(text[:size])
}

func TestWorkerRespondsAndRecordsMessages(t *testing.T) {
	r := newTestRunner()
	s := newWorkerSession(t, r)
	if line, _ := s.roundTrip("alive 1\r\n"); line != "1 green use=inflight:1;queue:0 0" {
		t.Errorf("health check: %q", line)
	}
	if line, _ := s.roundTrip("prewarm 2 path=m\r\n"); line != "2 served replicas=1 0" {
		t.Errorf("load request: %q", line)
	}
	results := map[string]int{}
	for i := range 30 {
		id := fmt.Sprintf("r%d", i)
		line, body := s.roundTrip("invoke " + id + " budget=250,uniq=k,path=m 5\r\nhello\r\n")
		result := strings.Fields(line)[1]
		results[result]++
		if result == resultServed && (body != responseBody(id) || !strings.Contains(line, "detail=resident")) {
			t.Errorf("%q with %q", line, body)
		}
		r.history.update(func() {
			list := r.history.Attempts[id]
			if len(list) != 1 {
				t.Fatalf("%s: %d attempts", id, len(list))
			}
			a := list[0]
			if a.Worker != "s-03-0" || a.Key != "k" || a.Timeout != 0.25 || a.Result != result || a.FirstByteAt <= 0 || a.ReceivedAt < a.FirstByteAt ||
				a.RespondedAt < a.ReceivedAt {
				t.Errorf("%+v", a)
			}
		})
	}
	if results[resultServed] < 20 {
		t.Errorf("%v", results)
	}
	if len(r.history.LoadRequests) != 1 || len(r.history.Unexpected) > 0 {
		t.Errorf("%+v %q", r.history.LoadRequests, r.history.Unexpected)
	}
}

func TestDrainingWorkerRejectsUntilReplaced(t *testing.T) {
	s := newWorkerSession(t, newTestRunner())
	id, ok := s.worker.beginDrain()
	if _, again := s.worker.beginDrain(); id != "s-03-0" || !ok || again {
		t.Errorf("drain of %q: %v, again: %v", id, ok, again)
	}
	if line, _ := s.roundTrip("invoke r budget=250,path=m 0\r\n\r\n"); line != "r overload - 0" {
		t.Errorf("%q", line)
	}
	if oldID, newID := s.worker.replace(0); oldID != "s-03-0" || newID != "s-03-1" {
		t.Errorf("%q, %q", oldID, newID)
	}
	if _, err := s.reader.ReadByte(); err == nil {
		t.Error("a connection is open after its worker was replaced")
	}
	if member := s.worker.member(changelog.PhaseActive); !strings.Contains(member, `"id":"s-03-1"`) || strings.Contains(member, `"up_since_ms":0}`) {
		t.Error(member)
	}
}

// TestPausedWorkerRecordsArrivalRange checks that a worker that had stopped reading records the earliest and the latest
// time at which the bytes may have arrived.
func TestPausedWorkerRecordsArrivalRange(t *testing.T) {
	r := newTestRunner(Fault{Kind: WorkerStopsReading, Target: 3, From: 0, To: 0.6})
	s := newWorkerSession(t, r)
	s.roundTrip("invoke r budget=250,path=m 0\r\n\r\n")
	r.history.update(func() {
		a := r.history.Attempts["r"][0]
		if a.ReceivedAt >= 0.6 || a.LatestReceivedAt < 0.6 {
			t.Errorf("received between %.3f and %.3f", a.ReceivedAt, a.LatestReceivedAt)
		}
	})
}
