package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

const loopTimeout = 2 * time.Second // a loop that takes longer to run a posted function is unhealthy

// errLoopTimeout is returned if the event loop did not run a posted function in time.
var errLoopTimeout = errors.New("the loop does not answer")

// onLoop runs f on the event loop and returns its result. If it returns errLoopTimeout, f may still run later.
func onLoop[T any](ctx context.Context, a *Admin, f func() T) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, loopTimeout)
	defer cancel()
	result := make(chan T, 1) // buffered: the loop never blocks on it
	a.gateway.Loop.Post(func() { result <- f() })
	select {
	case value := <-result:
		return value, nil
	case <-ctx.Done():
		var zero T
		return zero, errLoopTimeout
	}
}

// getLive responds 200 if the event loop runs.
func (a *Admin) getLive(w http.ResponseWriter, r *http.Request) {
	_, err := onLoop(r.Context(), a, func() bool { return true })
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// getReady responds 200 if the dispatcher accepts requests and has a ready worker.
func (a *Admin) getReady(w http.ResponseWriter, r *http.Request) {
	ready, err := onLoop(r.Context(), a, a.gateway.Ready)
	if err != nil || !ready {
		http.Error(w, "not ready: no worker is listed as ready, or the dispatcher is stopping", http.StatusServiceUnavailable)
	}
}

func (a *Admin) getStatus(w http.ResponseWriter, r *http.Request) {
	status, err := onLoop(r.Context(), a, a.gateway.Status)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, status)
}

// writeJSON writes a response. A write fails only if the client has disconnected, so its error is ignored.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
