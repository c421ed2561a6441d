// Package admin serves health checks, metrics, status and changes of worker states over HTTP, on the goroutines of
// net/http. It shares no state with the event loop: a handler posts a function to the loop and waits for its result,
// with a timeout.
package admin

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mastchute/internal/gateway"
)

// Limits on a request, so that a stalled client does not hold a connection forever. The limit for the response is the
// longest, since a response may be large and the connection to its client slow.
const (
	headTimeout     = 5 * time.Second  // to receive the request head
	requestTimeout  = 10 * time.Second // to receive the whole request
	responseTimeout = 30 * time.Second // from the end of the head to the end of the response
)

// Admin is the admin interface of one gateway.
type Admin struct {
	gateway  *gateway.Gateway // only its Loop and Metrics are safe to use outside the loop
	server   *http.Server
	listener net.Listener
}

// New listens on an address and returns an Admin that handles requests once Serve is called.
func New(gw *gateway.Gateway, address string) (*Admin, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &Admin{gateway: gw, listener: listener}
	a.server = &http.Server{
		Handler:           a.routes(),
		ReadHeaderTimeout: headTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      responseTimeout,
	}
	return a, nil
}

func (a *Admin) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/health/live", a.getLive)
	mux.HandleFunc("GET /v2/health/ready", a.getReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.gateway.Metrics.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /status", a.getStatus)
	mux.HandleFunc("POST /workers", a.postWorker)
	return mux
}

// Addr returns the address that the admin interface listens on.
func (a *Admin) Addr() net.Addr { return a.listener.Addr() }

// Serve serves until Close. It returns nil after Close.
func (a *Admin) Serve() error {
	err := a.server.Serve(a.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close closes the listener and all connections. It does not wait for requests in flight.
func (a *Admin) Close() { a.server.Close() }
