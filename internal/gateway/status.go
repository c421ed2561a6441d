package gateway

import (
	"math"

	"mastchute/control"
)

const maxListedRequests = 1000 // maximum number of requests in flight in a Status

// Status is a snapshot of a dispatcher for operators, served at /status.
type Status struct {
	Name             string          `json:"name"`
	Now              float64         `json:"now_s"` // seconds since the dispatcher's start
	Stopping         bool            `json:"stopping"`
	PanicMessage     string          `json:"crash,omitempty"`
	ListVersion      uint32          `json:"roster_version"`
	ListAge          *float64        `json:"list_age_s,omitempty"`        // s since the list was known to be complete; nil if its lease is not limited
	ListLeaseLeft    *float64        `json:"list_lease_left_s,omitempty"` // s until the end of the list's lease, negative after it
	AcceptedRequests uint64          `json:"taken"`
	InFlight         int             `json:"in_flight"`
	Connections      int64           `json:"connections"`
	BufferedBytes    int64           `json:"buffered_bytes"`
	Workers          []WorkerStatus  `json:"workers"`
	Requests         []RequestStatus `json:"requests_in_flight"`

	// Former keys with the same values, to be removed in the next version.
	DeprecatedInHand          int             `json:"in_hand"`           // Deprecated: in_flight
	DeprecatedBodiesHeldBytes int64           `json:"bodies_held_bytes"` // Deprecated: buffered_bytes
	DeprecatedHand            []RequestStatus `json:"hand"`              // Deprecated: requests_in_flight
}

// WorkerStatus is a worker of the endpoint list.
type WorkerStatus struct {
	Name                      string   `json:"name"`
	Address                   string   `json:"address"`
	State                     string   `json:"state"`
	Source                    string   `json:"from"`
	Version                   uint32   `json:"version"`
	ChangedAt                 float64  `json:"heard_s"`         // s from the dispatcher's start to the worker's latest change
	Announced                 bool     `json:"announced"`       // the control module has been notified of the worker
	Age                       *float64 `json:"age_s,omitempty"` // s since its start; nil if not known
	Connections               int      `json:"connections"`
	Queued                    int      `json:"queued"` // attempts and worker commands that wait for a connection
	InFlight                  int      `json:"in_flight"`
	QueuedWork                float64  `json:"work_s"`
	FailureRate               float64  `json:"failure_rate"`
	Ejected                   bool     `json:"ejected"`
	LeaseLeft                 *float64 `json:"lease_left_s,omitempty"` // s until the end of its own lease, negative after it; nil if it has not had one
	ReportedInFlight          float64  `json:"reported_inflight"`
	Rejections                uint64   `json:"rejections"`                  // attempts that it rejected for lack of capacity
	RejectionsWithOwnInFlight uint64   `json:"rejections_beside_own"`       // those during which other attempts of this dispatcher were in flight at the worker
	ConcurrencyLimit          *float64 `json:"concurrency_limit,omitempty"` // limit of this dispatcher's attempts in flight, derived from its rejections; nil for none
	BackoffTotal              float64  `json:"backoff_total_s"`             // total length of the backoffs after rejections
	BackoffLeft               float64  `json:"backoff_left_s"`              // until the end of the latest backoff
	LoadedModels              []string `json:"warm"`                        // names of the models assumed to be loaded

	// Former keys with the same values, to be removed in the next version.
	DeprecatedTold  bool    `json:"told"`  // Deprecated: announced
	DeprecatedOut   int     `json:"out"`   // Deprecated: in_flight
	DeprecatedBad   float64 `json:"bad"`   // Deprecated: failure_rate
	DeprecatedAside bool    `json:"aside"` // Deprecated: ejected
}

// RequestStatus is a request in flight.
type RequestStatus struct {
	ID       string  `json:"request_id"`
	Model    string  `json:"model"`
	Group    string  `json:"group"`
	Age      float64 `json:"age_s"`
	TimeLeft float64 `json:"left_s"`
	Attempts int     `json:"attempts"`
	InFlight int     `json:"in_flight"` // attempts
	State    string  `json:"why"`
	Worker   string  `json:"at,omitempty"`

	// Former keys with the same values, to be removed in the next version.
	DeprecatedInference string `json:"inference"` // Deprecated: request_id
	DeprecatedForwards  int    `json:"forwards"`  // Deprecated: attempts
	DeprecatedOut       int    `json:"out"`       // Deprecated: in_flight
}

// inspector is implemented by control modules that report their state.
type inspector interface {
	View(maxRequests int) ([]control.WorkerView, []control.RequestView)
}

// Status returns a snapshot of the dispatcher.
func (g *Gateway) Status() Status {
	var workers []control.WorkerView
	var requests []control.RequestView
	g.callModule(func(module control.Module) {
		if m, ok := module.(inspector); ok {
			workers, requests = m.View(maxListedRequests)
		}
	})
	s := Status{
		Name:             g.cfg.Name,
		Now:              g.Loop.Now(),
		Stopping:         g.stopping,
		PanicMessage:     g.exitStatus.PanicMessage,
		ListVersion:      g.Members.Version,
		AcceptedRequests: g.lastSeq,
		InFlight:         g.inFlight,
		Connections:      g.Loop.Stats.Connections.Load(),
		BufferedBytes:    g.clients.BufferedBytes(),
		Workers:          g.workerStatuses(workers),
		Requests:         g.requestStatuses(requests),
	}
	if g.listLease.Limited() {
		age := s.Now - g.listLease.ConfirmedAt()
		left := g.listLease.Until() - s.Now
		s.ListAge = &age
		s.ListLeaseLeft = &left
	}
	s.DeprecatedInHand = s.InFlight
	s.DeprecatedBodiesHeldBytes = s.BufferedBytes
	s.DeprecatedHand = s.Requests
	return s
}

func (g *Gateway) workerStatuses(views []control.WorkerView) []WorkerStatus {
	viewByID := map[control.WorkerID]control.WorkerView{}
	for _, view := range views {
		viewByID[view.ID] = view
	}
	statuses := []WorkerStatus{}
	for _, member := range g.Members.All() {
		w := g.workers[member.ID]
		if w != nil {
			statuses = append(statuses, g.workerStatus(w, viewByID[member.ID]))
		}
	}
	return statuses
}

func (g *Gateway) workerStatus(w *Worker, view control.WorkerView) WorkerStatus {
	s := WorkerStatus{
		Name:                      w.Name,
		Address:                   w.Addr.String(),
		State:                     w.StateName(),
		Source:                    w.Source.String(),
		Version:                   w.Version,
		ChangedAt:                 w.ChangedAt,
		Announced:                 w.announced,
		Connections:               w.transport.ConnectionCount(),
		Queued:                    w.transport.QueuedCount(),
		InFlight:                  view.InFlight,
		QueuedWork:                view.QueuedWork,
		FailureRate:               view.FailureRate,
		Ejected:                   view.Ejected,
		ReportedInFlight:          view.ReportedInFlight,
		Rejections:                view.Rejections,
		RejectionsWithOwnInFlight: view.RejectionsWithOwnInFlight,
		BackoffTotal:              view.BackoffTotal,
		BackoffLeft:               view.BackoffLeft,
		LoadedModels:              []string{},
	}
	s.DeprecatedTold = s.Announced
	s.DeprecatedOut = s.InFlight
	s.DeprecatedBad = s.FailureRate
	s.DeprecatedAside = s.Ejected
	if !math.IsInf(view.ConcurrencyLimit, 1) {
		s.ConcurrencyLimit = &view.ConcurrencyLimit
	}
	if until := w.lease.Until(); until > 0 {
		left := until - g.Loop.Now()
		s.LeaseLeft = &left
	}
	if w.Worker.StartEpoch > 0 {
		age := g.Loop.Now() - w.Worker.StartedAt
		s.Age = &age
	}
	for _, id := range view.LoadedModels {
		model := g.models.byID[id]
		if model != nil {
			s.LoadedModels = append(s.LoadedModels, model.Name)
		}
	}
	return s
}

func (g *Gateway) requestStatuses(views []control.RequestView) []RequestStatus {
	statuses := []RequestStatus{}
	for _, view := range views {
		r := g.findRequest(view.ID)
		if r == nil {
			continue
		}
		s := RequestStatus{
			ID:       string(g.appendRequestID(nil, r)),
			Model:    r.model.Name,
			Group:    r.group.Name,
			Age:      view.Age,
			TimeLeft: view.TimeLeft,
			Attempts: r.attemptCount,
			InFlight: view.InFlight,
			State:    view.State,
		}
		s.DeprecatedInference = s.ID
		s.DeprecatedForwards = s.Attempts
		s.DeprecatedOut = s.InFlight
		w := g.workers[view.Worker]
		if w != nil {
			s.Worker = w.Name
		}
		statuses = append(statuses, s)
	}
	return statuses
}

// Ready reports whether requests can be attempted: at least one announced worker is ready, and the dispatcher is not stopping.
func (g *Gateway) Ready() bool {
	if g.stopping || g.module == nil {
		return false
	}
	for _, w := range g.workers {
		if w.announced && w.isReady() {
			return true
		}
	}
	return false
}
