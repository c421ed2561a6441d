// Package admin serves health, metrics, status and the workers' states beside the loop, by net/http. It never shares
// state with the loop: each request posts a question to it and waits for the answer, within a time.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mastchute/control"
	"mastchute/internal/gateway"
	"mastchute/internal/membership"
)

const askTimeout = 2 * time.Second // for the loop to answer; past that it is not well

// Admin is the interface of one gateway.
type Admin struct {
	g    *gateway.Gateway
	http *http.Server
	ln   net.Listener
}

// New listens at an address; Serve serves.
func New(g *gateway.Gateway, at string) (*Admin, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	a := &Admin{g: g, ln: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/health/live", a.live)
	mux.HandleFunc("GET /v2/health/ready", a.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(g.Metrics.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /status", a.status)
	mux.HandleFunc("POST /workers", a.worker)
	a.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, WriteTimeout: 30 * time.Second}
	return a, nil
}

// Addr is the address listened on.
func (a *Admin) Addr() net.Addr { return a.ln.Addr() }

// Serve serves until Close.
func (a *Admin) Serve() error {
	if err := a.http.Serve(a.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends serving.
func (a *Admin) Close() { a.http.Close() }

var errLoop = errors.New("the loop does not answer")

// ask runs f on the loop and waits for its result.
func ask[T any](ctx context.Context, a *Admin, f func() T) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	out := make(chan T, 1)
	a.g.Loop.Post(func() { out <- f() })
	select {
	case v := <-out:
		return v, nil
	case <-ctx.Done():
		var none T
		return none, errLoop
	}
}

func (a *Admin) live(w http.ResponseWriter, r *http.Request) {
	if _, err := ask(r.Context(), a, func() bool { return true }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (a *Admin) ready(w http.ResponseWriter, r *http.Request) {
	if ok, err := ask(r.Context(), a, a.g.Ready); err != nil || !ok {
		http.Error(w, "not ready: no worker is listed as ready, or the dispatcher is stopping", http.StatusServiceUnavailable)
	}
}

func (a *Admin) status(w http.ResponseWriter, r *http.Request) {
	s, err := ask(r.Context(), a, a.g.Status)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}

// worker takes what an operator says of a worker: {"name": ..., "state": "ready|draining|gone"}, and for one that is
// not listed its address, zone, cell, kind and weight too.
func (a *Admin) worker(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Name, State, Address, Zone, Cell, Kind string
		Weight                                 float64
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		http.Error(w, "not understood: "+err.Error(), http.StatusBadRequest)
		return
	}
	e := membership.Entry{Name: in.Name, Zone: in.Zone, Cell: in.Cell, Kind: in.Kind, Weight: in.Weight}
	switch in.State {
	case "ready":
		e.State = control.Ready
	case "draining":
		e.State = control.Draining
	case "gone":
		e.State = control.Gone
	default:
		http.Error(w, "write state: ready, draining or gone", http.StatusBadRequest)
		return
	}
	if in.Address != "" {
		at, err := netip.ParseAddrPort(in.Address)
		if err != nil {
			http.Error(w, "write address as IP:PORT", http.StatusBadRequest)
			return
		}
		e.Addr = at
	}
	type result struct {
		err     error
		version uint32
		state   string
	}
	v, err := ask(r.Context(), a, func() (v result) {
		if v.err = a.g.SetAdminState(e); v.err == nil {
			v.state = a.g.Members.ByName(e.Name).StateName() // a stricter word of another source holds
		}
		v.version = a.g.Members.Version
		return v
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if v.err != nil {
		http.Error(w, v.err.Error(), http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"name": in.Name, "state": v.state, "version": v.version})
}
