package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pausedReadPollInterval = 5 * time.Millisecond
	messageTimeout         = 10 * time.Second // for the rest of a message after its first byte
	readBufferSize         = 4 << 10
	maxRequestBody         = 1 << 20
	loadTime               = 40 * time.Millisecond
	loadOnDemandTime       = 30 * time.Millisecond
	lateResponseDelay      = 300 * time.Millisecond
	duplicateDelay         = 3 * time.Millisecond
	notLoadedProbability   = 0.3  // of a rejection as not_here, if the model is not loaded
	overloadThreshold      = 0.02 // random numbers below it reject an attempt as overload
	crashThreshold         = 0.03 // random numbers from overloadThreshold to this crash an attempt
)

// Verbs of the worker protocol.
const (
	verbInvoke  = "invoke"
	verbPrewarm = "prewarm"
	verbGauges  = "gauges"
	verbAlive   = "alive"
)

const (
	loadReport = "use=inflight:1;queue:0"
	noDetail   = "-"
)

// responseBody returns the response body of a request, by which the checker matches responses to requests.
func responseBody(requestID string) string { return "answer to " + requestID }

// timestampedConn records the arrival time of the last bytes read. It does not read during WorkerStopsReading.
type timestampedConn struct {
	net.Conn
	history     *history
	readsPaused func() bool
	arrivedAt   float64 // of the last bytes read; the earliest possible time if reading was paused
	pausedSince float64 // unread bytes may have arrived since then; 0 if all bytes that arrived during a pause are read
}

// Read implements net.Conn.
func (tc *timestampedConn) Read(b []byte) (int, error) {
	for tc.readsPaused() {
		if tc.pausedSince == 0 {
			tc.pausedSince = tc.history.now()
		}
		time.Sleep(pausedReadPollInterval)
	}
	n, err := tc.Conn.Read(b)
	tc.arrivedAt = tc.history.now()
	if tc.pausedSince > 0 {
		tc.arrivedAt = tc.pausedSince
		if n < len(b) { // all bytes that had arrived are read
			tc.pausedSince = 0
		}
	}
	return n, err
}

// workerConn is a connection to a worker. One goroutine reads messages; each attempt and each load has its own
// goroutine, which responds to it.
type workerConn struct {
	worker *worker
	conn   net.Conn
	id     string // of the worker's process
	in     *timestampedConn
	reader *bufio.Reader

	writeMu sync.Mutex // held while one message is written
}

func (wc *workerConn) serve() {
	defer wc.worker.removeConn(wc.conn)
	defer wc.conn.Close()
	wc.in = &timestampedConn{Conn: wc.conn, history: wc.worker.run.history, readsPaused: func() bool { return wc.worker.hasFault(WorkerStopsReading) }}
	wc.reader = bufio.NewReaderSize(wc.in, readBufferSize)
	for wc.serveMessage() {
	}
}

// serveMessage reads one message and responds to it, or starts a goroutine that does. It returns false at the end of
// the connection.
func (wc *workerConn) serveMessage() bool {
	wc.conn.SetReadDeadline(time.Now().Add(seconds(wc.worker.run.plan.Site.ConnIdle)))
	if _, err := wc.reader.Peek(1); err != nil {
		return false
	}
	firstByteAt := wc.in.arrivedAt
	wc.conn.SetReadDeadline(time.Now().Add(messageTimeout))
	line, err := wc.reader.ReadString('\n')
	if err != nil {
		return false
	}
	words := strings.Fields(line)
	if len(words) < 2 {
		return false
	}
	switch words[0] {
	case verbInvoke:
		return wc.receiveAttempt(words, firstByteAt)
	case verbPrewarm:
		return wc.receiveLoadRequest(words, firstByteAt)
	case verbGauges, verbAlive:
		if !wc.worker.hasFault(WorkerHangs) {
			wc.respond(words[1], "green", loadReport, "")
		}
	}
	return true
}

// parseFields parses the name=value pairs of a message.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return fields
}

// receiveAttempt reads the body of an attempt and starts its execution. It returns false at the end of the connection.
func (wc *workerConn) receiveAttempt(words []string, firstByteAt float64) bool {
	history := wc.worker.run.history
	if len(words) != 4 {
		history.addUnexpected("an attempt that does not have 4 words: " + strings.Join(words, " "))
		return false
	}
	fields := parseFields(words[2])
	timeoutMillis, _ := strconv.ParseFloat(fields["budget"], 64)
	a := &attempt{RequestID: words[1], Worker: wc.id, Key: fields["uniq"], FirstByteAt: firstByteAt, Timeout: timeoutMillis / 1e3}
	history.addAttempt(a)
	size, err := strconv.Atoi(words[3])
	if err != nil || size < 0 || size > maxRequestBody {
		history.addUnexpected("an attempt with an invalid body length: " + strings.Join(words, " "))
		return false
	}
	body := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(wc.reader, body); err != nil {
		return false
	}
	history.update(func() {
		a.ReceivedAt = wc.in.arrivedAt
		a.LatestReceivedAt = history.now()
	})
	go wc.execute(a, fields["path"])
	return true
}

// receiveLoadRequest records a load request and starts the load. A load request for zero replicas only checks whether the
// worker drains, so that the rule on draining workers does not apply to it. It returns false at the end of the
// connection.
func (wc *workerConn) receiveLoadRequest(words []string, firstByteAt float64) bool {
	if len(words) < 3 {
		return false
	}
	fields := parseFields(words[2])
	model := fields["path"]
	history := wc.worker.run.history
	if fields["replicas"] == "0" {
		history.update(func() { history.WorkerChecks++ })
		if !wc.worker.hasFault(WorkerHangs) {
			wc.respondLoadRequest(words[1], model)
		}
		return true
	}
	history.update(func() {
		history.LoadRequests = append(history.LoadRequests, loadRequest{Worker: wc.id, At: firstByteAt})
	})
	go wc.load(words[1], model)
	return true
}

// load loads a model, unless the worker drains, and responds to the load request.
func (wc *workerConn) load(requestID, model string) {
	_, ok := wc.worker.loadedReplicas(model)
	if ok {
		time.Sleep(loadTime)
		wc.worker.markLoaded(model)
	}
	if !wc.worker.hasFault(WorkerHangs) {
		wc.respondLoadRequest(requestID, model)
	}
}

// respondLoadRequest responds to a load request with the number of loaded replicas.
func (wc *workerConn) respondLoadRequest(requestID, model string) {
	replicas, ok := wc.worker.loadedReplicas(model)
	result := resultServed
	if !ok {
		result = resultOverload
	}
	wc.respond(requestID, result, fmt.Sprintf("replicas=%d", replicas), "")
}

// attemptResponse is the response to an attempt.
type attemptResponse struct {
	result string
	detail string
	body   string
}

// execute runs an attempt if the worker admits it, and responds to it unless a fault prevents that.
func (wc *workerConn) execute(a *attempt, model string) {
	w := wc.worker
	if w.hasFault(WorkerHangs) {
		return
	}
	response := attemptResponse{resultOverload, noDetail, ""}
	if w.beginRun() {
		loaded := w.markLoaded(model)
		time.Sleep(w.randomRunTime())
		response = wc.decideResponse(a, loaded)
		w.endRun()
	}
	if w.hasFault(WorkerResets) && w.randomFloat() < 0.3 {
		reset(wc.conn)
		return
	}
	if w.hasFault(WorkerCorrupts) && w.randomFloat() < 0.5 {
		wc.respondCorrupted(a, response)
		return
	}
	wc.respondAttempt(a, response)
}

// decideResponse returns the response to an attempt that the worker admitted.
func (wc *workerConn) decideResponse(a *attempt, loaded bool) attemptResponse {
	chance := wc.worker.randomFloat()
	switch {
	case !loaded && chance < notLoadedProbability:
		return attemptResponse{resultNotHere, noDetail, ""}
	case !loaded:
		time.Sleep(loadOnDemandTime)
		return attemptResponse{resultServed, "detail=booted," + loadReport, responseBody(a.RequestID)}
	case chance < overloadThreshold:
		return attemptResponse{resultOverload, noDetail, ""}
	case chance < crashThreshold:
		return attemptResponse{resultCrashed, noDetail, ""}
	}
	return attemptResponse{resultServed, "detail=resident," + loadReport, responseBody(a.RequestID)}
}

// respondAttempt sends the response to an attempt and records its result.
func (wc *workerConn) respondAttempt(a *attempt, response attemptResponse) {
	wc.recordResult(a, response.result)
	wc.respond(a.RequestID, response.result, response.detail, response.body)
}

func (wc *workerConn) recordResult(a *attempt, result string) {
	history := wc.worker.run.history
	history.update(func() {
		a.Result = result
		a.RespondedAt = history.now()
	})
}

// respondCorrupted sends an invalid response, or a valid one that is late, repeated or preceded by a response to an
// unknown id. Where it records no result, the dispatcher can't know that the attempt never ran.
func (wc *workerConn) respondCorrupted(a *attempt, response attemptResponse) {
	switch wc.worker.randomInt(6) {
	case 0:
		wc.write("\x00\xff noise\r\n\r\n")
	case 1: // a body length above all limits
		wc.write(a.RequestID + " served " + response.detail + " 3000000000\r\n" + response.body)
	case 2: // truncated
		wc.write(fmt.Sprintf("%s %s %s %d\r\n%s", a.RequestID, response.result, response.detail, len(response.body)+5, response.body))
	case 3: // after a response to an unknown id
		wc.recordResult(a, response.result)
		wc.write("0123456789abcdef served - 5\r\nstray\r\n")
		wc.respond(a.RequestID, response.result, response.detail, response.body)
	case 4: // twice
		wc.respondAttempt(a, response)
		time.Sleep(duplicateDelay)
		wc.respond(a.RequestID, response.result, response.detail, response.body)
	case 5: // late
		time.Sleep(lateResponseDelay)
		wc.respondAttempt(a, response)
	}
}

func (wc *workerConn) respond(id, result, detail, body string) {
	wc.write(fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, result, detail, len(body), body))
}

const (
	slowLinkDelay = 20 * time.Millisecond // maximum before the first byte
	slowLinkPause = 200 * time.Microsecond
	slowLinkBytes = 16 // bytes between two pauses
)

// write sends a message, delayed and byte by byte during LinkSlow.
func (wc *workerConn) write(text string) {
	wc.writeMu.Lock()
	defer wc.writeMu.Unlock()
	if !wc.worker.hasFault(LinkSlow) {
		io.WriteString(wc.conn, text)
		return
	}
	time.Sleep(time.Duration(wc.worker.randomFloat() * float64(slowLinkDelay)))
	for i := range len(text) {
		if _, err := wc.conn.Write([]byte{text[i]}); err != nil {
			return
		}
		if i%slowLinkBytes == 0 {
			time.Sleep(slowLinkPause)
		}
	}
}
