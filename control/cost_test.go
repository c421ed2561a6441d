package control

import (
	"fmt"
	"testing"
)

// answering swallows actions but those that are to be answered.
type answering struct {
	now  Seconds
	sent []AttemptResult
	at   []Seconds
	n    int
}

func (q *answering) SendAttempt(i RequestID, w WorkerID, _ Seconds) {
	q.at = append(q.at, q.now+0.05)
	q.sent = append(q.sent, AttemptResult{ID: i, Worker: w, Duration: 0.05, ModelState: ModelWarm, SameModelInFlight: -1, RequestAnswered: true})
}
func (q *answering) Shed(RequestID, Seconds)          { q.n++ }
func (q *answering) Fail(RequestID)                   { q.n++ }
func (q *answering) CancelAttempt(RequestID, int)     {}
func (q *answering) LoadModel(WorkerID, ModelID, int) {}
func (q *answering) UnloadModel(WorkerID, ModelID)    {}
func (q *answering) ProbeWorker(WorkerID)             {}
func (q *answering) CloseIdleConnections(WorkerID)    {}
func (q *answering) SendPeerMessage(PeerID, []byte)   {}
func (q *answering) SubscribeWorkerList(bool)         {}
func (q *answering) FetchWorkerList()                 {}
func (q *answering) SetTimer(Seconds, TimerID)        {}
func (q *answering) Log(string)                       {}

// BenchmarkRequest is one request from arrival to its answer, without trouble, by number of workers.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ n, fellows int }{{16, 1}, {90, 1}, {1000, 1}, {16, 2}, {90, 2}, {1000, 2}, {90, 300}, {1000, 300}} {
		n := c.n
		share := 1.0 // of the load that this dispatcher takes
		if c.fellows > 2 {
			share = 0.01
		}
		b.Run(fmt.Sprintf("%d workers, %d dispatchers", n, c.fellows), func(b *testing.B) {
			a := &answering{}
			d := New(1, Settings{Tick: Some(0.001), Dispatchers: float64(c.fellows),
				SlowStart:        SlowStartSettings{InitialCapacity: Some(0.2), Duration: 10},
				Loads:            LoadSettings{KeepAlive: Some(8.0)},
				Attempts:         AttemptSettings{Max: 3, Hedging: true},
				LoadReportFields: []string{"inflight"},
				Groups:           []GroupSettings{{Effect: Retriable, SLO: Some(1.0), Timeout: Some(5.0)}}}, a)
			var list []WorkerInfo
			for i := range n {
				list = append(list, WorkerInfo{ID: WorkerID(i + 1), State: Ready, Weight: 1, StartedAt: -1e6})
			}
			now, id, first := 0.0, RequestID(0), 0
			d.SetNow(0)
			d.UpdateWorkers(ListSnapshot, 1, list)
			d.Reconcile()
			one := func() {
				id++
				now += 0.05 / (2 * float64(n)) / share // two in flight at each worker, of all dispatchers
				a.now = now
				d.SetNow(now)
				d.RequestArrived(Request{ID: id, Model: ModelID(id % RequestID(2*n)), Deadline: now + 5})
				d.Reconcile()
				for first < len(a.at) && a.at[first] <= now {
					d.AttemptFinished(a.sent[first])
					d.Reconcile()
					first++
				}
				if first > 4*n { // what has been answered makes room
					a.sent, a.at = a.sent[:copy(a.sent, a.sent[first:])], a.at[:copy(a.at, a.at[first:])]
					first = 0
				}
				if id%64 == 0 {
					d.TimerFired(0)
					d.Reconcile()
				}
			}
			for range 20 * n {
				one()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				one()
			}
			b.ReportMetric(float64(a.n)/float64(b.N), "shed/op")
		})
	}
}
