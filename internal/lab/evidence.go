package lab

import (
	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

// ClientAttempt is one attempt of a client at a logical call, as recorded at the client's socket. Times are in seconds since
// 1970.
type ClientAttempt struct {
	Key                string  `json:"key"` // idempotency key of the logical call, the same in all its attempts
	Number             int     `json:"try"` // from 0
	Model              string  `json:"model"`
	Group              string  `json:"group"`
	Dispatcher         string  `json:"dispatcher"`
	SentAt             float64 `json:"sent"`
	RespondedAt        float64 `json:"answered,omitempty"` // when the response was received; 0 for none
	Timeout            float64 `json:"timeout"`            // seconds, as stated to the dispatcher
	Status             int     `json:"status,omitempty"`
	Outcome            Outcome `json:"answer,omitempty"`
	Request            string  `json:"inference,omitempty"` // the dispatcher's id of the request
	ClientDisconnected bool    `json:"left,omitempty"`      // the client disconnected early, before its timeout
	NotAccepted        bool    `json:"refused,omitempty"`   // no connection was established
	Error              string  `json:"error,omitempty"`
	UnsolicitedBytes   int     `json:"extra_bytes,omitempty"` // bytes received after the response
}

// Outcome is the final outcome of a request, the value of the Mastchute-Answer header. It is empty for a request that was
// rejected before the dispatcher accepted it.
type Outcome string

const (
	// OutcomeReturned means that a worker's response was returned.
	OutcomeReturned Outcome = "returned"
	// OutcomeShed means that the request had no effect and may be retried.
	OutcomeShed Outcome = "shed"
	// OutcomeFailed means that the request failed and may have had an effect.
	OutcomeFailed Outcome = "failed"
)

// StateChange is a change of a worker's state and the time by which a dispatcher had been notified of it.
type StateChange struct {
	Dispatcher string  `json:"dispatcher"`
	Worker     string  `json:"worker"`
	State      string  `json:"state"`
	NotifiedAt float64 `json:"heard"`
}

// Outage is a span of time during which a dispatcher did not run.
type Outage struct {
	Dispatcher string  `json:"dispatcher"`
	From       float64 `json:"from"`
	To         float64 `json:"to"`
}

// Evidence is everything that was recorded during the run of a scenario.
type Evidence struct {
	Settings       *config.Config
	Zones          map[string]string // by worker
	Cells          map[string]string // by worker
	ClientAttempts []ClientAttempt
	Records        []emulator.Record
	StateChanges   []StateChange
	Outages        []Outage
}

// newEvidence returns evidence with the settings and workers of a scenario and no records.
func newEvidence(s *Scenario) *Evidence {
	e := &Evidence{Settings: &s.Settings, Zones: map[string]string{}, Cells: map[string]string{}}
	for _, w := range s.Spec().Workers {
		e.Zones[w.Name] = w.Zone
		e.Cells[w.Name] = w.Cell
	}
	return e
}

// wasDown reports whether a dispatcher did not run at some time between from and to.
func (e *Evidence) wasDown(dispatcher string, from, to float64) bool {
	for _, outage := range e.Outages {
		if outage.Dispatcher == dispatcher && from <= outage.To+deliveryTolerance && to >= outage.From-deliveryTolerance {
			return true
		}
	}
	return false
}
