package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mastchute/internal/eventloop/eventlooptest"
	"mastchute/internal/httpcodec"
)

// dial connects to a server.
func dial(t *testing.T, server *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn, bufio.NewReader(conn)
}

func readResponse(t *testing.T, r *bufio.Reader) (status int, body string, closes bool) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(b), response.Close
}

// Pipelined requests are answered in order, also when the first is answered late.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	l := eventlooptest.Start(t)
	server, service := startServer(t, l, ServerOptions{})
	conn, r := dial(t, server)
	io.WriteString(conn, "GET /later HTTP/1.1\r\nHost: a\r\n\r\n"+
		"POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n"+
		"GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	eventlooptest.Until(t, l, "the first request is received", func() bool { return len(service.held) == 1 })
	eventlooptest.On(t, l, func() { respond(service.held[0]) })
	for _, want := range []struct {
		body   string
		closes bool
	}{{"/later", false}, {"/bxyz", false}, {"/c", true}} {
		status, body, closes := readResponse(t, r)
		if status != 200 || body != want.body || closes != want.closes {
			t.Errorf("%d %q, closes %v; want %q, %v", status, body, closes, want.body, want.closes)
		}
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: %v", err)
	}
}

// What the server rejects by itself is answered, counted, and ends the connection.
func TestServerRejections(t *testing.T) {
	l := eventlooptest.Start(t)
	budget := &MemoryBudget{Limit: 10}
	server, service := startServer(t, l, ServerOptions{
		Limits:       httpcodec.Limits{Line: 100, Head: 500, Headers: 10, Body: 50},
		HeadTimeout:  0.5,
		BodyTimeout:  0.5,
		MemoryBudget: budget,
	})
	for _, c := range []struct {
		name, request string
		status        int
	}{
		{"malformed", "GET\r\n\r\n", 400},
		{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 51\r\n\r\n", 413},
		{"head incomplete", "GET / HTTP/1.1\r\n", 408},
		{"body incomplete", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab", 408},
		{"beyond the memory budget", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n", 503},
		{"chunks beyond the memory budget", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n" + strings.Repeat("x", 11) + "\r\n0\r\n\r\n", 503},
	} {
		conn, r := dial(t, server)
		io.WriteString(conn, c.request)
		status, body, closes := readResponse(t, r)
		if status != c.status || !closes || !strings.Contains(body, `"status":`) {
			t.Errorf("%s: %d %q, closes %v; want %d and a close", c.name, status, body, closes, c.status)
		}
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("%s: after the response: %v", c.name, err)
		}
		eventlooptest.On(t, l, func() {
			if len(service.rejected) != 1 || service.rejected[0] != c.status {
				t.Errorf("%s: counted as %v", c.name, service.rejected)
			}
			service.rejected = nil
			if budget.Used != 0 {
				t.Errorf("%s: %d bytes stay reserved", c.name, budget.Used)
			}
		})
	}
}

// Draining closes idle connections, and others after the response in flight.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	l := eventlooptest.Start(t)
	server, service := startServer(t, l, ServerOptions{})
	_, idle := dial(t, server)
	conn, busy := dial(t, server)
	io.WriteString(conn, "GET /later HTTP/1.1\r\nHost: a\r\n\r\n")
	eventlooptest.Until(t, l, "the request is received", func() bool { return len(service.held) == 1 })
	eventlooptest.On(t, l, server.Drain)
	if _, err := idle.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v", err)
	}
	eventlooptest.On(t, l, func() {
		if n := server.ConnectionCount(); n != 1 {
			t.Errorf("%d connections with one request in flight", n)
		}
		respond(service.held[0])
	})
	if status, body, closes := readResponse(t, busy); status != 200 || body != "/later" || !closes {
		t.Errorf("%d %q, closes %v", status, body, closes)
	}
	eventlooptest.Until(t, l, "the server is drained", func() bool { return server.ConnectionCount() == 0 })
	if _, err := net.DialTimeout("tcp", server.Addr().String(), time.Second); err == nil {
		t.Error("a drained server accepts connections")
	}
}

func TestClientGoneIsReportedOnce(t *testing.T) {
	l := eventlooptest.Start(t)
	server, service := startServer(t, l, ServerOptions{})
	conn, _ := dial(t, server)
	io.WriteString(conn, "GET /later HTTP/1.1\r\nHost: a\r\n\r\n")
	eventlooptest.Until(t, l, "the request is received", func() bool { return len(service.held) == 1 })
	conn.Close()
	eventlooptest.Until(t, l, "the close is noticed", func() bool { return server.ConnectionCount() == 0 })
	eventlooptest.On(t, l, func() {
		if service.gone != 1 {
			t.Errorf("reported %d times", service.gone)
		}
	})
}

// A service that is held back because too much waits for the peer continues also when the kernel then accepts all of it in
// one write, so that the connection is never reported as writable again.
func TestStreamContinuesWhenAllIsAcceptedAtOnce(t *testing.T) {
	l := eventlooptest.Start(t)
	server, service := startServer(t, l, ServerOptions{MaxStreamBuffer: 1000})
	conn, r := dial(t, server)
	io.WriteString(conn, "GET /later HTTP/1.1\r\nHost: a\r\n\r\n")
	eventlooptest.Until(t, l, "the request is received", func() bool { return len(service.held) == 1 })
	exchange := service.held[0]
	eventlooptest.On(t, l, func() {
		exchange.StartStream(exchange.StartResponse(200), 2500)
		if exchange.WriteStream(make([]byte, 2000)) {
			t.Error("2000 bytes wait for the peer, and the service is not held back at 1000")
		}
	})
	eventlooptest.Until(t, l, "the service may continue", func() bool { return service.writable == 1 })
	eventlooptest.On(t, l, func() {
		if n := exchange.UnsentBytes(); n > 0 {
			t.Errorf("the service may continue while %d bytes wait for the peer", n)
		}
		if !exchange.WriteStream(make([]byte, 500)) {
			t.Error("the service is held back at 500 bytes of 1000")
		}
		exchange.EndStream()
	})
	if status, body, _ := readResponse(t, r); status != 200 || len(body) != 2500 {
		t.Errorf("%d, %d bytes of 2500", status, len(body))
	}
	eventlooptest.On(t, l, func() {
		if service.writable != 1 {
			t.Errorf("the service was allowed to continue %d times, held back once", service.writable)
		}
	})
}
