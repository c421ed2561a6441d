package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"

	"mastchute/control"
	"mastchute/internal/membership"
)

const maxWorkerBody = 64 << 10 // bytes: much more than any worker's description needs

// Errors for invalid values in a POST /workers.
var (
	errUnknownState = errors.New("write state: ready, draining or gone")
	errBadAddress   = errors.New("write address as IP:PORT")
)

var workerStates = map[string]control.WorkerState{
	"ready":    control.Ready,
	"draining": control.Draining,
	"gone":     control.Gone,
}

// workerUpdate is the body of POST /workers. Name and State are required; the other fields are for a worker that is not
// listed yet.
type workerUpdate struct {
	Name    string  `json:"name"`
	State   string  `json:"state"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Cell    string  `json:"cell"`
	Kind    string  `json:"kind"`
	Weight  float64 `json:"weight"`
}

// entry returns the update as an entry of the endpoint list.
func (u *workerUpdate) entry() (membership.Entry, error) {
	entry := membership.Entry{Name: u.Name, Zone: u.Zone, Cell: u.Cell, Kind: u.Kind, Weight: u.Weight}
	state, known := workerStates[u.State]
	if !known {
		return entry, errUnknownState
	}
	entry.State = state
	if u.Address == "" {
		return entry, nil
	}
	address, err := netip.ParseAddrPort(u.Address)
	if err != nil {
		return entry, errBadAddress
	}
	entry.Addr = address
	return entry, nil
}

// workerResult is the response to POST /workers.
type workerResult struct {
	Name    string `json:"name"`
	State   string `json:"state"` // in effect: the posted state, or a stricter one from another source of the list
	Version uint32 `json:"version"`
}

// postWorker sets the state of a worker, and adds it if it is not listed.
func (a *Admin) postWorker(w http.ResponseWriter, r *http.Request) {
	var update workerUpdate
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWorkerBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&update)
	if err != nil {
		http.Error(w, "not understood: "+err.Error(), http.StatusBadRequest)
		return
	}
	entry, err := update.entry()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	change, err := onLoop(r.Context(), a, func() stateChange { return a.setState(entry) })
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case change.err != nil:
		http.Error(w, change.err.Error(), http.StatusConflict)
	default:
		writeJSON(w, change.worker)
	}
}

// stateChange is the result of setState.
type stateChange struct {
	worker workerResult
	err    error // the entry was rejected
}

// setState applies the entry and returns the resulting state. It runs on the event loop.
func (a *Admin) setState(entry membership.Entry) stateChange {
	err := a.gateway.SetAdminState(entry)
	if err != nil {
		return stateChange{err: err}
	}
	members := a.gateway.Members
	state := members.ByName(entry.Name).StateName()
	return stateChange{worker: workerResult{Name: entry.Name, State: state, Version: members.Version}}
}
