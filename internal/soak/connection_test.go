package soak

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apache/thrift/lib/go/thrift"

	"mastchute/internal/soak/changelog"
)

// encodeResult encodes the response to a request, or to a health check.
func encodeResult(seq int32, body string) []byte {
	return encodeFrame(func(ctx context.Context, p *thrift.TBinaryProtocol) {
		p.WriteMessageBegin(ctx, "dispatch", thrift.REPLY, seq)
		p.WriteFieldBegin(ctx, "success", thrift.STRUCT, 0)
		p.WriteFieldBegin(ctx, "body", thrift.STRING, bodyField)
		p.WriteBinary(ctx, []byte(body))
		p.WriteFieldBegin(ctx, "healthy", thrift.BOOL, healthyField)
		p.WriteBool(ctx, true)
		p.WriteFieldStop(ctx)
		p.WriteFieldStop(ctx)
	})
}

// encodeShed encodes a shed response with a Retry-After.
func encodeShed(seq int32) []byte {
	return encodeFrame(func(ctx context.Context, p *thrift.TBinaryProtocol) {
		p.WriteMessageBegin(ctx, "dispatch", thrift.REPLY, seq)
		p.WriteFieldBegin(ctx, "shed", thrift.STRUCT, shedField)
		p.WriteFieldBegin(ctx, "after", thrift.I32, 1)
		p.WriteI32(ctx, 10)
		p.WriteFieldStop(ctx)
		p.WriteFieldStop(ctx)
	})
}

// newTestDispatcher returns a dispatcher whose connections are served by a function, one at a time.
func newTestDispatcher(t *testing.T, r *runner, serve func(net.Conn)) *dispatcher {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn)
			conn.Close()
		}
	}()
	return &dispatcher{run: r, address: listener.Addr().String(), ready: true}
}

func newTestRequest(id string) *request {
	return &request{ID: id, Class: retriableClass, Timeout: 0.2, Outcome: pending}
}

func TestClientRecordsEachOutcome(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve func(net.Conn)
		want  Outcome
		body  string
	}{
		{"served", func(conn net.Conn) { readFrame(conn); conn.Write(encodeResult(1, "b")); io.Copy(io.Discard, conn) }, Served, "b"},
		{"shed", func(conn net.Conn) { readFrame(conn); conn.Write(encodeShed(1)); io.Copy(io.Discard, conn) }, Shed, ""},
		{"closed", func(conn net.Conn) { readFrame(conn) }, Closed, ""},
		{"truncated", func(conn net.Conn) { readFrame(conn); conn.Write(encodeResult(1, "b")[:9]) }, Malformed, ""},
		{"silent", func(conn net.Conn) { io.Copy(io.Discard, conn) }, NoResponse, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newTestRunner()
			conn, err := dialDispatcher(newTestDispatcher(t, r, c.serve).address, r.history)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.socket.Close()
			client := &client{run: r, dispatcher: &dispatcher{run: r}}
			req := newTestRequest("a")
			seq, isNew, ok := conn.register(req)
			if seq != 1 || !isNew || !ok {
				t.Fatalf("sequence number %d, new %v, accepted %v", seq, isNew, ok)
			}
			req.SentAt = r.history.now()
			r.history.addRequest(req)
			conn.socket.Write(dispatchMessage(seq, map[string]string{"trace": "a"}, nil))
			client.waiting.Add(1)
			client.await(conn, req, seq, clientAbort{delay: -1}, true)
			r.history.update(func() {
				if req.Outcome != c.want || req.Body != c.body || req.EndedAt < req.SentAt {
					t.Errorf("%+v", req)
				}
			})
			if len(r.history.Unexpected) > 0 {
				t.Errorf("%q", r.history.Unexpected)
			}
		})
	}
}

func TestClientAborts(t *testing.T) {
	for _, c := range []struct {
		name string
		clientAbort
		aborted, canSend bool
	}{
		{"cancel", clientAbort{}, true, true},
		{"disconnect", clientAbort{disconnect: true}, true, false},
		{"half close", clientAbort{disconnect: true, halfClose: true}, false, false},
	} {
		r := newTestRunner()
		conn, err := dialDispatcher(newTestDispatcher(t, r, func(conn net.Conn) {
			io.Copy(io.Discard, conn)
			time.Sleep(50 * time.Millisecond)
		}).address, r.history)
		if err != nil {
			t.Fatal(err)
		}
		req := newTestRequest("a")
		seq, _, _ := conn.register(req)
		disconnected := c.apply(conn, req, seq)
		usable, _ := conn.usable()
		r.history.update(func() {
			if (req.Outcome == ClientAborted) != c.aborted || req.AbortedAt == 0 || usable != c.canSend || disconnected != (c.name == "disconnect") {
				t.Errorf("%s: %+v, usable %v, disconnected %v", c.name, req, usable, disconnected)
			}
		})
		conn.socket.Close()
	}
}

func TestHealthCheck(t *testing.T) {
	r := newTestRunner()
	healthy := newTestDispatcher(t, r, func(conn net.Conn) { readFrame(conn); conn.Write(encodeResult(1, "")) })
	if !isHealthy(healthy.address) {
		t.Error("a healthy dispatcher is reported as not healthy")
	}
	shedding := newTestDispatcher(t, r, func(conn net.Conn) { readFrame(conn); conn.Write(encodeShed(1)) })
	if isHealthy(shedding.address) {
		t.Error("a dispatcher that sheds health checks is reported as healthy")
	}
}

func TestChangeLogRespondsToPolls(t *testing.T) {
	r := newTestRunner()
	l, err := newChangeLog(r)
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	poll := func(address, query string) string {
		response, err := http.Get("http://" + address + "/?" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		return string(text)
	}
	if got := poll(l.addrs[0], "since=0&timeout=20"); got != `{"seq":0,"results":[]}` {
		t.Errorf("empty: %s", got)
	}
	time.AfterFunc(20*time.Millisecond, func() { l.Append(true, changelog.Member("s-00-0", "h:1", Site{}.place(0), changelog.PhaseActive, 7)) })
	got := poll(l.addrs[1], "since=0&timeout=5000")
	if !strings.HasPrefix(got, `{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,"members":[{"id":"s-00-0"`) {
		t.Errorf("first event: %s", got)
	}
	if got := poll(l.addrs[0], "since=1&timeout=1"); got != `{"seq":1,"results":[]}` {
		t.Errorf("nothing new: %s", got)
	}
}

// A request that was cancelled is due no response, so that a connection with no other request in flight was idle.
func TestCancelledRequestsLeaveConnectionIdle(t *testing.T) {
	r := newTestRunner()
	cc := &clientConn{socket: new(net.TCPConn), history: r.history, inFlight: map[int32]*request{}}
	cancelled, unanswered, crossing := newTestRequest("a"), newTestRequest("b"), newTestRequest("c")
	for _, req := range []*request{cancelled, crossing} {
		cc.register(req)
	}
	cancelled.Outcome = ClientAborted
	cc.connectionEnded(1, false)
	if !crossing.WasIdle || cancelled.Outcome != ClientAborted {
		t.Errorf("after a cancelled request: %+v, %+v", crossing, cancelled)
	}
	cc.closed = false
	crossing.Outcome = pending
	cc.register(unanswered)
	cc.register(crossing)
	cc.connectionEnded(2, false)
	if crossing.WasIdle || unanswered.WasIdle {
		t.Errorf("beside a request without a response: %+v, %+v", crossing, unanswered)
	}
}
