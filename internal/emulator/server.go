package emulator

import (
	"encoding/json"
	"io"
	"math"
	"net/netip"
	"slices"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpconn"
)

// Server serves a fleet on one event loop: a listener for each worker, and one that accepts faults. It must be used on
// the loop's goroutine only, except for NewServer before the loop runs, Addr and FaultAddr.
type Server struct {
	Loop *eventloop.Loop

	fleet         *Fleet
	startedAt     float64 // wall clock at the fleet's time 0, in seconds since 1970
	listeners     []*workerListener
	timer         eventloop.Timer // fires at the fleet's next event
	faultListener *httpconn.Server
	records       *json.Encoder // nil for none
}

// NewServer listens for every worker at the given addresses (port 0 selects a free one) and for faults at faultAddr,
// unless that is the zero AddrPort. records receives one JSON line for each event; it may be nil.
func NewServer(l *eventloop.Loop, spec Spec, workerAddrs []netip.AddrPort, faultAddr netip.AddrPort, records io.Writer, slowStart bool) (*Server, error) {
	s := &Server{Loop: l, fleet: NewFleet(spec, slowStart)}
	s.startedAt, _ = l.WallClock()
	if records != nil {
		s.records = json.NewEncoder(records)
	}
	s.fleet.OnEvent = s.record
	s.fleet.OnWorkerDown = func(i int) { l.Defer(func() { s.listeners[i].server.Close() }) }
	s.fleet.OnWorkerUp = func(i int) { l.Defer(func() { s.listeners[i].listen() }) }
	s.timer.Fire = s.advance
	if slowStart {
		for i := range s.fleet.workers {
			s.record(0, s.fleet.Name(i), EventStarted, nil)
		}
	}
	for i, addr := range workerAddrs {
		wl := &workerListener{emulatorServer: s, worker: i, addr: addr}
		if err := wl.listen(); err != nil {
			return nil, err
		}
		wl.addr = wl.server.Addr() // a restarted worker listens on the same port
		s.listeners = append(s.listeners, wl)
	}
	if faultAddr.IsValid() {
		listener, err := httpconn.NewServer(l, faultAddr, &faultService{s}, httpconn.ServerOptions{})
		if err != nil {
			return nil, err
		}
		s.faultListener = listener
	}
	return s, nil
}

// NewLoopbackServer is NewServer with free ports on loopback for all workers and for faults.
func NewLoopbackServer(l *eventloop.Loop, spec Spec, records io.Writer, slowStart bool) (*Server, error) {
	freePort := netip.MustParseAddrPort("127.0.0.1:0")
	return NewServer(l, spec, slices.Repeat([]netip.AddrPort{freePort}, len(spec.Workers)), freePort, records, slowStart)
}

// Addr returns the address of a worker.
func (s *Server) Addr(worker int) netip.AddrPort { return s.listeners[worker].addr }

// FaultAddr returns the address that accepts faults.
func (s *Server) FaultAddr() netip.AddrPort { return s.faultListener.Addr() }

// injectFault starts a fault. It returns false for an unknown kind or worker.
func (s *Server) injectFault(fault Fault) bool {
	ok := s.fleet.InjectFault(s.Loop.Now(), fault)
	s.afterChange()
	return ok
}

// advance processes the fleet's events that are due.
func (s *Server) advance() {
	s.fleet.Advance(s.Loop.Now())
	s.afterChange()
}

// afterChange responds to the requests that ended and sets the timer for the fleet's next event.
func (s *Server) afterChange() {
	for _, r := range s.fleet.TakeFinished() {
		if p, ok := r.Owner.(*pendingRequest); ok {
			s.respond(p)
		}
	}
	next := s.fleet.NextEvent()
	if math.IsInf(next, 1) {
		s.Loop.CancelTimer(&s.timer)
		return
	}
	s.Loop.StartTimer(&s.timer, next-s.Loop.Now())
}

// record writes an event to the records.
func (s *Server) record(now float64, worker string, event Event, r *Request) {
	if s.records == nil {
		return
	}
	rec := Record{T: s.startedAt + now, Worker: worker, Event: event}
	if r != nil {
		rec.SetRequest(r)
		if p, ok := r.Owner.(*pendingRequest); ok {
			rec.Request = p.id
			rec.Attempt = p.attempt
			rec.Dispatcher = p.dispatcher
		}
	}
	s.records.Encode(rec)
}
