package gateway

import (
	"github.com/rs/zerolog"

	"mastchute/control"
)

// Status is what a dispatcher knows at one moment, for operators.
type Status struct {
	Name        string          `json:"name"`
	Now         float64         `json:"now_s"` // seconds since its start
	Stopping    bool            `json:"stopping"`
	Crash       string          `json:"crash,omitempty"`
	Version     uint32          `json:"roster_version"`
	Taken       uint64          `json:"taken"`
	InHand      int             `json:"in_hand"`
	Connections int64           `json:"connections"`
	Memory      int64           `json:"bodies_held_bytes"`
	Workers     []WorkerStatus  `json:"workers"`
	Hand        []RequestStatus `json:"hand"`
}

// WorkerStatus is one worker.
type WorkerStatus struct {
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	State       string   `json:"state"`
	From        string   `json:"from"`
	Version     uint32   `json:"version"`
	Heard       float64  `json:"heard_s"`
	Told        bool     `json:"told"`            // the decisions know of it
	Age         *float64 `json:"age_s,omitempty"` // since its start, where told
	Connections int      `json:"connections"`
	Queued      int      `json:"queued"` // attempts that wait for a connection
	Out         int      `json:"out"`
	Work        float64  `json:"work_s"`
	Bad         float64  `json:"bad"`
	Aside       bool     `json:"aside"`
	Report      float64  `json:"reported_inflight"`
	Warm        []string `json:"warm"`
}

// HandStatus is one request in flight.
type RequestStatus struct {
	Request  string  `json:"inference"`
	Model    string  `json:"model"`
	Group    string  `json:"group"`
	Age      float64 `json:"age_s"`
	Left     float64 `json:"left_s"`
	Attempts int     `json:"forwards"`
	Out      int     `json:"out"`
	Why      string  `json:"why"`
	At       string  `json:"at,omitempty"`
}

// inspector is what a module offers where it can be looked into.
type inspector interface {
	View(most int) ([]control.WorkerView, []control.RequestView)
}

// Status takes a snapshot. On the loop.
func (g *Gateway) Status() Status {
	s := Status{Name: g.cfg.Name, Now: g.Loop.Now(), Stopping: g.stopping, Crash: g.exitStatus.PanicMessage, Version: g.Members.Version,
		Taken: g.lastSeq, InHand: g.inFlight, Connections: g.Loop.Stats.Connections.Load(), Memory: g.clients.BufferedBytes(),
		Workers: []WorkerStatus{}, Hand: []RequestStatus{}}
	views := map[control.WorkerID]control.WorkerView{}
	var hand []control.RequestView
	if v, ok := g.module.(inspector); ok && g.module != nil {
		var list []control.WorkerView
		g.callModule(func() { list, hand = v.View(maxListedRequests) })
		for _, w := range list {
			views[w.ID] = w
		}
	}
	for _, r := range g.Members.All() {
		w := g.workers[r.ID]
		if w == nil {
			continue
		}
		v := views[r.ID]
		ws := WorkerStatus{Name: r.Name, Address: r.Addr.String(), State: r.StateName(), From: r.Source.String(), Version: r.Version,
			Heard: r.ChangedAt, Told: w.announced, Connections: w.transport.ConnectionCount(), Queued: w.transport.QueuedCount(), Out: v.InFlight, Work: v.QueuedWork, Bad: v.FailureRate,
			Aside: v.Ejected, Report: v.ReportedInFlight, Warm: []string{}}
		if r.Epoch > 0 {
			age := s.Now - r.StartedAt
			ws.Age = &age
		}
		for _, m := range v.WarmModels {
			if k := g.models.byID[m]; k != nil {
				ws.Warm = append(ws.Warm, k.Name)
			}
		}
		s.Workers = append(s.Workers, ws)
	}
	for _, h := range hand {
		q := g.findRequest(h.ID)
		if q == nil {
			continue
		}
		hs := RequestStatus{Request: string(g.appendRequestID(nil, q)), Model: q.model.Name, Group: q.group.Name, Age: h.Age, Left: h.TimeLeft,
			Attempts: q.attemptCount, Out: h.InFlight, Why: h.State}
		if w := g.workers[h.Worker]; w != nil {
			hs.At = w.Name
		}
		s.Hand = append(s.Hand, hs)
	}
	return s
}

// Ready tells whether there is a worker to attempt to. On the loop.
func (g *Gateway) Ready() bool { return g.hasReadyWorker() }

// logFinished writes one line for a final answer: each at debug level, one of so many at info level. The time split is
// in seconds: held until its last attempt, connect until that was handed to a connection, worker until the answer.
func (g *Gateway) logFinished(q *Request, a outcome, now float64) {
	level := zerolog.DebugLevel
	if n := g.cfg.Log.Sample; n > 0 && q.seq%uint64(n) == 0 {
		level = zerolog.InfoLevel
	}
	if g.log.GetLevel() > level {
		return
	}
	e := g.log.WithLevel(level).Str("inference", string(g.appendRequestID(nil, q))).Str("model", q.model.Name).
		Str("group", q.group.Name).Stringer("answer", a).Int("forwards", q.attemptCount)
	if q.tenant >= 0 {
		e = e.Str("tenant", g.cfg.Tenants[q.tenant].Name)
	}
	held := now - q.arrivedAt
	if q.attemptCount > 0 {
		f := q.attempts[q.attemptCount-1]
		held = f.createdAt - q.arrivedAt
		e = e.Str("worker", f.Worker.Name)
		if at := f.Worker.transport.SentAt(f); at > 0 {
			e = e.Float64("connect_s", at-f.createdAt).Float64("worker_s", now-at)
		}
	}
	e.Float64("held_s", held).Float64("total_s", now-q.arrivedAt).Msg("final answer")
}
