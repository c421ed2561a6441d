package httpconn

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/eventloop/eventlooptest"
	"mastchute/internal/syscalls"
	"mastchute/internal/syscalls/faults"
)

// Neither a drain nor a timeout closes or rejects a connection whose request is unread because reads fail.
func TestUnreadRequestsAreAnsweredAfterReadsFail(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, rest  string // of the request; reads fail before the rest is sent
		closeTrigger func(server *Server)
	}{
		{"drain", "", "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", (*Server).Drain},
		{"idle timeout", "", "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", expireTimers},
		{"head timeout", "GET /a HTTP/1.1\r\n", "Host: a\r\n\r\n", expireTimers},
		{"body timeout", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab", "cd", expireTimers},
	} {
		t.Run(c.name, func(t *testing.T) {
			var readsFail atomic.Bool
			syscalls.Default = &faults.Kernel{Kernel: syscalls.Linux{}, Fail: func(call faults.Call, _ int) error {
				if call == faults.Read && readsFail.Load() {
					return unix.ENOBUFS
				}
				return nil
			}}
			t.Cleanup(func() { syscalls.Default = syscalls.Linux{} })
			l := eventlooptest.Start(t)
			server, _ := startServer(t, l, ServerOptions{})
			conn, r := dial(t, server)
			io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
			readResponse(t, r)
			io.WriteString(conn, c.first)
			eventlooptest.WaitUntil(t, l, "the first part is read", func() bool { return c.first == "" || !isIdle(server) })
			readsFail.Store(true)
			io.WriteString(conn, c.rest)
			eventlooptest.RunOnLoop(t, l, func() { c.closeTrigger(server) })
			time.Sleep(150 * time.Millisecond)
			readsFail.Store(false)
			if status, _, _ := readResponse(t, r); status != 200 {
				t.Errorf("status %d", status)
			}
		})
	}
}

// expireTimers makes the timeouts of all connections of a server expire.
func expireTimers(server *Server) {
	for c := range server.conns {
		server.Loop.CancelTimer(&c.timer)
		c.onTimeout()
	}
}

// isIdle reports whether all connections of a server are idle.
func isIdle(server *Server) bool {
	for c := range server.conns {
		if !c.isIdle() {
			return false
		}
	}
	return true
}
