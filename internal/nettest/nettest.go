// Package nettest serves TCP connections on loopback for tests.
package nettest

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
)

// Server is a listener on a free port of LoopbackAddr together with the connections that it has accepted. It is safe for
// concurrent use.
type Server struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

// processIDMask selects the bits of a process id that select its loopback address.
const processIDMask = 1<<22 - 1

// LoopbackAddr returns a free port of a loopback address that only this process uses. Ports are used again as soon as they are free,
// so that a test on a shared address may receive the traffic of another process that still dials the previous owner.
func LoopbackAddr() netip.AddrPort {
	id := os.Getpid() & processIDMask
	addr := netip.AddrFrom4([4]byte{127, byte(64 + id>>16), byte(id >> 8), byte(id)})
	return netip.AddrPortFrom(addr, 0)
}

// Serve starts a server that calls serve for each connection on a goroutine of its own. The listener and all connections
// are closed at the end of the test; serve may close its connection earlier.
func Serve(t testing.TB, serve func(conn net.Conn)) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", LoopbackAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Listener: listener}
	t.Cleanup(func() {
		s.Close()
		s.CloseConns()
	})
	go s.acceptAll(serve)
	return s
}

func (s *Server) acceptAll(serve func(conn net.Conn)) {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go serve(conn)
	}
}

// AddrPort returns the address that the server listens on.
func (s *Server) AddrPort() netip.AddrPort { return netip.MustParseAddrPort(s.Addr().String()) }

// AcceptedCount returns the number of connections accepted so far.
func (s *Server) AcceptedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseConns closes all connections accepted so far. The server continues to accept connections.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.Close()
	}
}
