package httpconn

import (
	"net/netip"

	"mastchute/internal/eventloop"
	"mastchute/internal/httpcodec"
)

// Timeouts while the server is draining, in seconds.
const (
	drainIdleTimeout = 0.06 // time without a byte after which an idle connection is closed
	drainHeadTimeout = 1.0  // time to receive the first head on a connection accepted while draining
)

// closeRetryDelay is the time, in seconds, until the next check of a connection whose timeout has passed while reads fail.
const closeRetryDelay = 0.05

// ServerOptions are the options of a Server. Zero values select the defaults.
type ServerOptions struct {
	Limits          httpcodec.Limits // of requests; default httpcodec.DefaultLimits
	IdleTimeout     float64          // s after which an idle connection is closed; default 60
	HeadTimeout     float64          // s to receive a complete head; default 10
	BodyTimeout     float64          // s between two pieces of a request body or of a streamed response; default 30
	MemoryBudget    *MemoryBudget    // limits the memory of request bodies; nil for no limit
	MaxStreamBuffer int              // unsent bytes of a streamed response that may be buffered; default 256 KiB
}

func (o ServerOptions) withDefaults() ServerOptions {
	if o.Limits == (httpcodec.Limits{}) {
		o.Limits = httpcodec.DefaultLimits
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 60
	}
	if o.HeadTimeout <= 0 {
		o.HeadTimeout = 10
	}
	if o.BodyTimeout <= 0 {
		o.BodyTimeout = 30
	}
	if o.MaxStreamBuffer <= 0 {
		o.MaxStreamBuffer = 256 << 10
	}
	if o.MemoryBudget == nil {
		o.MemoryBudget = &MemoryBudget{}
	}
	return o
}

// Service handles the requests of a server. Its methods are called on the loop.
type Service interface {
	// HeadReceived is called when the head of a request has been received. It returns true if it has responded, or false
	// to make the server read the body.
	HeadReceived(exchange *Exchange) (responded bool)
	// RequestReceived is called when the whole request has been received. The service must respond exactly once, during
	// the call or later.
	RequestReceived(exchange *Exchange)
	// ClientDisconnected is called when the client has disconnected before the response was complete. exchange must not be
	// used afterwards.
	ClientDisconnected(exchange *Exchange)
	// StreamWritable is called when the service may continue a streamed response after WriteStream has returned false.
	StreamWritable(exchange *Exchange)
	// RequestRejected is called for each message that the server itself rejects, so that the service can count it.
	RequestRejected(e *httpcodec.Error)
}

// Server serves HTTP/1.1 on one listener.
type Server struct {
	Loop    *eventloop.Loop
	Service Service

	options       ServerOptions
	listener      *eventloop.Listener
	conns         map[*serverConn]struct{}
	freeExchanges []*Exchange
	scratch       []byte // buffer for building response heads and chunks
	draining      bool
}

// NewServer returns a server that listens on the given address.
func NewServer(l *eventloop.Loop, addr netip.AddrPort, service Service, options ServerOptions) (*Server, error) {
	s := &Server{
		Loop:    l,
		Service: service,
		options: options.withDefaults(),
		conns:   map[*serverConn]struct{}{},
	}
	var err error
	s.listener, err = l.Listen(addr, s.accept)
	return s, err
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr() }

// ConnectionCount returns the number of open connections, plus one while Drain may still have connections to accept. It
// returns 0 when the server is drained.
func (s *Server) ConnectionCount() int {
	if s.listener.IsDraining() {
		return len(s.conns) + 1
	}
	return len(s.conns)
}

// Drain starts a graceful shutdown. Connections in the accept queue are still accepted, but no later ones. Idle connections
// are closed once no byte has arrived for drainIdleTimeout, and the others after the response to the request in flight.
func (s *Server) Drain() {
	s.draining = true
	s.listener.Drain()
	for c := range s.conns {
		if c.isIdle() {
			s.Loop.StartTimer(&c.timer, drainIdleTimeout)
		}
	}
}

// CloseFlushed closes all connections once what has been written to them is sent. It reads what has arrived before, and returns
// the number of connections of which bytes stayed unread because reads fail.
func (s *Server) CloseFlushed() (unreadCount int) {
	for c := range s.conns {
		empty := c.tcp.ReadNow()
		if !c.tcp.IsOpen() {
			continue
		}
		streaming := c.exchange != nil && c.exchange.streaming // a reader that is paused, not one whose reads fail
		if !empty && !streaming {
			unreadCount++
		}
		c.tcp.Flush()
		if !c.tcp.IsOpen() {
			continue
		}
		if c.exchange != nil {
			s.Service.ClientDisconnected(c.exchange)
		}
		c.tcp.CloseFlushed()
		c.release()
	}
	return unreadCount
}

// Close closes the listener and resets all connections immediately. Service.ClientDisconnected is called for each request
// in flight.
func (s *Server) Close() {
	s.listener.Close()
	for c := range s.conns {
		if c.exchange != nil {
			s.Service.ClientDisconnected(c.exchange)
		}
		c.tcp.Abort()
		c.release()
	}
}
