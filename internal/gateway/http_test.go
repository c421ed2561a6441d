package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mastchute/internal/httpconn"
	"mastchute/internal/nettest"
)

func TestRequestAndResponseAreForwarded(t *testing.T) {
	w := newWorker(t, "w1", respond(200, "Content-Type: text/x\r\nX-Kept: 1\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\n"+
		"endpoint-load-metrics: TEXT named_metrics.inflight=3, named_metrics.queue=1\r\n", "well"))
	h := newHarness(t, "", nil, w)
	response := h.post("read-1", "X-Mine: a\r\nConnection: X-Hop\r\nX-Hop: b\r\nMastchute-Dispatcher: forged\r\nMastchute-Timeout: 2\r\nMastchute-Tenant: north\r\n", "body")
	if response.status != 200 || response.outcome != "returned" || response.body != "well" {
		t.Errorf("%+v", response)
	}
	checkHeaders(t, "response", response.header, map[string]string{
		"X-Kept":                "1",
		"Content-Type":          "text/x",
		"Keep-Alive":            "",
		"Endpoint-Load-Metrics": "",
		"Mastchute-Start":       "",
	})
	received := w.received()
	if len(received) != 1 || received[0].body != "body" || received[0].path != "/v2/models/read-1/infer" {
		t.Fatalf("%+v", received)
	}
	checkHeaders(t, "request", received[0].header, map[string]string{
		"X-Mine":               "a",
		"X-Hop":                "",
		"Mastchute-Dispatcher": "d0",
		"Mastchute-Inference":  response.header.Get("Mastchute-Inference"),
		"Mastchute-Forward":    "0",
		"Mastchute-Tenant":     "north",
		"Idempotency-Key":      "",
	})
	h.onLoop(func() {
		s := h.gateway.Status()
		if s.Workers[0].ReportedInFlight <= 0 || s.InFlight != 0 || s.BufferedBytes != 0 || len(s.Workers[0].LoadedModels) != 1 {
			t.Errorf("%+v", s)
		}
	})
}

func checkHeaders(t *testing.T, what string, got http.Header, want map[string]string) {
	t.Helper()
	for name, value := range want {
		if got.Get(name) != value {
			t.Errorf("%s: %s is %q, want %q", what, name, got.Get(name), value)
		}
	}
}

func TestClientConnectionProtocol(t *testing.T) {
	echo := func(conn net.Conn, request *http.Request) { respond(200, "", request.Header.Get("N"))(conn, request) }
	h := newHarness(t, "", nil, newWorker(t, "w1", echo))
	conn := h.dial()
	reader := bufio.NewReader(conn)
	pipelined := ""
	for n := 1; n <= 3; n++ {
		pipelined += fmt.Sprintf("POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nN: %d\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: 1\r\n\r\n", n)
	}
	io.WriteString(conn, pipelined)
	for n := 1; n <= 3; n++ {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(response.Body); string(body) != fmt.Sprint(n) {
			t.Errorf("response %d is %q", n, body)
		}
	}
	io.WriteString(conn, "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nN: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	if line, _ := reader.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Errorf("%q", line)
	}
	reader.ReadString('\n')
	if response := exchange(conn, reader, "ab"); response.status != 200 {
		t.Errorf("after 100 Continue: %+v", response)
	}
	if response := exchange(conn, reader, "GET /v2/health/ready HTTP/1.1\r\nHost: g\r\n\r\n"); response.status != 200 {
		t.Errorf("ready: %+v", response)
	}
	smuggled := "POST /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n"
	if response := exchange(conn, reader, smuggled); response.status != 400 || response.outcome != "" {
		t.Errorf("smuggled: %+v", response)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection stays open after a malformed request: %v", err)
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	h := newHarness(t, "limits: {body: 100B, memory: 64KiB}\n", nil, newWorker(t, "w1", succeed))
	for _, c := range []struct {
		request string
		status  int
	}{
		{inferRequest("nope", "", "x"), 404},
		{strings.Replace(inferRequest("read-1", "", "x"), "infer", "outfer", 1), 404},
		{"GET /v2/models/read-1/infer HTTP/1.1\r\nHost: g\r\n\r\n", 405},
		{inferRequest("read-1", "Mastchute-Timeout: soon\r\n", "x"), 400},
		{inferRequest("read-1", "Mastchute-Timeout: 0\r\n", "x"), 400},
		{inferRequest("read-1", "Mastchute-Tenant: east\r\n", "x"), 400},
		{inferRequest("read-1", "", strings.Repeat("x", 101)), 413},
	} {
		conn := h.dial()
		response := exchange(conn, bufio.NewReader(conn), c.request)
		if response.status != c.status || response.outcome != "" || response.header.Get("Content-Type") != httpconn.ProblemType {
			t.Errorf("%q: %+v", c.request, response)
		}
	}
	h.onLoop(func() {
		g := h.gateway
		if g.lastSeq != 0 || g.inFlight != 0 || g.clients.BufferedBytes() != 0 {
			t.Errorf("%d accepted, %d in flight, %d bytes buffered", g.lastSeq, g.inFlight, g.clients.BufferedBytes())
		}
	})
}

func TestRequestBodyMemoryLimit(t *testing.T) {
	h := newHarness(t, "limits: {body: 40kB, memory: 64KiB}\n", nil, newWorker(t, "w1", neverRespond))
	body := strings.Repeat("x", 40_000)
	first := h.dial()
	io.WriteString(first, inferRequest("read-1", "", body))
	h.waitUntil("the first body is buffered", func() bool { return h.gateway.clients.BufferedBytes() == 40_000 })
	if response := h.post("read-1", "", body); response.status != 503 || response.outcome != "" {
		t.Errorf("%+v", response)
	}
	first.Close()
	h.waitUntil("its memory is released", func() bool { return h.gateway.clients.BufferedBytes() == 0 && h.gateway.inFlight == 0 })
}

func TestClientDisconnectCancelsAttempt(t *testing.T) {
	w := newWorker(t, "w1", neverRespond)
	h := newHarness(t, "", nil, w)
	conn := h.dial()
	io.WriteString(conn, inferRequest("read-1", "", "in"))
	h.waitUntil("the worker has the request", func() bool { return len(w.received()) == 1 })
	conn.Close()
	h.waitUntil("the attempt is cancelled and the request released", func() bool { return w.closedCount() == 1 && h.gateway.inFlight == 0 })
	if n := h.counterValue("mastchute_answers_total", "left"); n != 1 {
		t.Errorf("outcome left counted %g times", n)
	}
}

// Long responses are streamed completely, and use no more memory than allowed while the client reads slowly.
func TestLongResponsesAreStreamed(t *testing.T) {
	const chunkSize = 1 << 20
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	withLength := func(conn net.Conn, _ *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nMastchute-Start: 1000.5\r\nContent-Length: %d\r\n\r\n", len(body))
		conn.Write(body)
	}
	chunked := func(conn net.Conn, _ *http.Request) {
		io.WriteString(conn, "HTTP/1.1 200 X\r\nMastchute-Start: 1000.5\r\nTransfer-Encoding: chunked\r\n\r\n")
		for rest := body; len(rest) > 0; rest = rest[chunkSize:] {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", chunkSize, rest[:chunkSize])
		}
		io.WriteString(conn, "0\r\n\r\n")
	}
	for name, action := range map[string]workerAction{"with length": withLength, "chunked": chunked} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "limits: {answer: 64KiB}\n", nil, newWorker(t, "w1", action))
			maxUnsent := h.trackMaxUnsent()
			conn := h.dial()
			io.WriteString(conn, inferRequest("read-1", "", "in"))
			// How many bytes the kernel has not accepted yet is unpredictable, but the number is constant while the stream
			// is paused.
			previous, unchanged := 0, 0
			h.waitUntil("the response is streamed and paused", func() bool {
				n := h.unsentToStreamingClient()
				unchanged++
				if n != previous {
					previous, unchanged = n, 0
				}
				return *maxUnsent > 128<<10 && n > 0 && unchanged >= 50
			})
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(response.Body)
			if err != nil || !bytes.Equal(got, body) || response.Header.Get("Mastchute-Answer") != "returned" {
				t.Errorf("%d bytes, %v", len(got), err)
			}
			h.waitUntilIdle()
			h.onLoop(func() {
				if *maxUnsent > 512<<10 {
					t.Errorf("%d bytes waited for the client", *maxUnsent)
				}
			})
		})
	}
}

// trackMaxUnsent returns a pointer to the maximum of unsentToStreamingClient, taken from now on in each turn of the loop before
// the turn's writes. It must be read on the loop.
func (h *harness) trackMaxUnsent() *int {
	maxUnsent := new(int)
	h.onLoop(func() {
		afterEvents := h.gateway.Loop.AfterEvents
		h.gateway.Loop.AfterEvents = func() {
			if afterEvents != nil {
				afterEvents()
			}
			*maxUnsent = max(*maxUnsent, h.unsentToStreamingClient())
		}
	})
	return maxUnsent
}

// unsentToStreamingClient returns the number of bytes that wait for a client whose response is streamed, 0 if there is none.
// It must run on the loop.
func (h *harness) unsentToStreamingClient() int {
	for _, r := range h.gateway.requests {
		if r.inUse && r.streamingAttempt != nil && r.Writer != nil {
			return r.Writer.(*httpResponseWriter).exchange.UnsentBytes()
		}
	}
	return 0
}

func TestTruncatedStreamAbortsClientResponse(t *testing.T) {
	w := newWorker(t, "w1", func(conn net.Conn, _ *http.Request) {
		io.WriteString(conn, "HTTP/1.1 200 X\r\nMastchute-Start: 1000.5\r\nContent-Length: 300000\r\n\r\n")
		conn.Write(make([]byte, 200_000))
		conn.Close()
	})
	h := newHarness(t, "limits: {answer: 64KiB}\n", nil, w)
	if response := h.post("read-1", "", "in"); response.err == nil {
		t.Errorf("a truncated response looks complete: %d bytes", len(response.body))
	}
	h.waitUntilIdle()
	if n := len(w.received()); n != 1 {
		t.Errorf("%d attempts: a response that is being streamed cannot be retried", n)
	}
}

// A long request body is sent to the worker in full, and is not buffered a second time while the worker reads slowly.
func TestLongRequestBodyIsBufferedOnce(t *testing.T) {
	readBody := make(chan struct{})
	bodyLen := make(chan int, 1)
	server := serveSlowReader(t, readBody, bodyLen)
	h := newHarness(t, "", nil, &scriptedWorker{name: "w1", server: server})
	result := make(chan clientResponse, 1)
	body := strings.Repeat("x", 8<<20)
	go func() { result <- h.post("read-1", "", body) }()
	var state *httpAttempt
	h.waitUntil("the attempt waits for the worker to read", func() bool {
		state = h.sentAttempt()
		return state != nil && state.call.UnsentBytes() > 0
	})
	h.onLoop(func() {
		if n := state.call.UnsentBytes(); n > 256<<10 || state.call.FullySent() {
			t.Errorf("%d bytes buffered for the worker, fully sent: %v", n, state.call.FullySent())
		}
	})
	close(readBody)
	if response := <-result; response.status != 200 || <-bodyLen != len(body) {
		t.Errorf("%+v", response)
	}
}

// serveSlowReader starts a worker that reads the bodies of requests once readBody is closed, and sends their lengths to
// bodyLen.
func serveSlowReader(t *testing.T, readBody chan struct{}, bodyLen chan<- int) *nettest.Server {
	return nettest.Serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if request.URL.Path != "/v2/load" {
				<-readBody
				body, _ := io.ReadAll(request.Body)
				bodyLen <- len(body)
			}
			respond(200, "", "")(conn, request)
		}
	})
}

// sentAttempt returns the state of a request's first attempt once it is being sent, nil before. It must run on the loop.
func (h *harness) sentAttempt() *httpAttempt {
	for _, r := range h.gateway.requests {
		if r.inUse && r.attemptCount > 0 && r.attempts[0].Worker.transport.SentAt(r.attempts[0]) > 0 {
			return r.attempts[0].TransportState.(*httpAttempt)
		}
	}
	return nil
}

// Rule 1: if the worker never responds, the client gets its response by its timeout, and nothing is sent afterwards.
func TestUnresponsiveWorkerTimesOut(t *testing.T) {
	w := newWorker(t, "w1", neverRespond)
	h := newHarness(t, "", nil, w)
	response := h.post("once-1", "Mastchute-Timeout: 0.3\r\n", "in")
	if response.status != 504 || response.outcome != "failed" || response.duration > 320*time.Millisecond || response.duration < 200*time.Millisecond {
		t.Errorf("%+v", response)
	}
	h.waitUntil("the attempt is cancelled", func() bool { return w.closedCount() == 1 && h.gateway.inFlight == 0 })
	if n := len(w.received()); n != 1 || h.guardCount("late") != 0 {
		t.Errorf("%d attempts; the guard intervened %g times", n, h.guardCount("late"))
	}
}

// A request whose head came in while there was room is rejected with the real reason if the table is full once its body has
// come in.
func TestRejectionAfterBodyStatesItsReason(t *testing.T) {
	h := newHarness(t, "limits: {inferences: 1}\n", nil, newWorker(t, "w1", delayed(300*time.Millisecond)))
	request := inferRequest("read-1", "", "in")
	late := h.dial()
	io.WriteString(late, request[:len(request)-1])
	h.waitUntil("the head is checked", func() bool { return h.gateway.clients.BufferedBytes() > 0 })
	first := h.dial()
	io.WriteString(first, request)
	h.waitUntil("the table is full", func() bool { return h.gateway.inFlight == 1 })
	io.WriteString(late, request[len(request)-1:])
	response, err := http.ReadResponse(bufio.NewReader(late), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != 503 {
		t.Errorf("status %d, want 503", response.StatusCode)
	}
	for reason, want := range map[string]float64{"too_many": 1, "stopping": 0} {
		if n := h.counterValue("mastchute_refusals_total", reason); n != want {
			t.Errorf("%g rejections count as %s, want %g", n, reason, want)
		}
	}
}
