package platform

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"net/netip"
	"strconv"

	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
)

const (
	longPollWait       = 1.0      // s that a poll asks the change log to wait: a change log that is down is noticed that much later
	maxPollBytes       = 4 << 20  // bytes of a response's body
	maxKeptPollBytes   = 64 << 10 // bytes of body capacity beyond which the buffer is not kept for the next poll
	maxSendHold        = 0.2      // s that sends wait for the change log after a stall: it may be down
	minStall           = 0.12     // s of a stall of the process after which the change log may be polled first
	stallGraceFraction = 0.5      // of the drain grace: a longer stall may have hidden an event that is in force by now
)

var (
	errUnusableResponse = errors.New("change log response is too long or has a status other than 200")
	errStaleResponse    = errors.New("change log response is older than the last event applied")
)

// watchClient follows the change log by HTTP long polls, each from the last event applied. It implements httpconn.Caller.
// All of it is used on the loop's goroutine only.
type watchClient struct {
	gateway      *gateway.Gateway
	loop         *eventloop.Loop
	countFailure func(reason string)

	// The poll in flight.
	pool          *httpconn.Pool // nil until startPolling is called
	call          httpconn.Call
	body          []byte
	unusable      bool // the response is too long or has a status other than 200
	polling       bool
	polledAt      float64
	polledSeq     int64           // the event from which on the poll asked
	begun         bool            // its response has begun
	requestedWait float64         // s that the poll asked the change log to wait
	timer         eventloop.Timer // the timeout of the poll in flight; otherwise the next poll
	backoff       float64         // s, before jitter; 0 after a good poll
	responseSlack float64         // s that a response may take beyond requestedWait

	// The position in the log.
	lastSeq      int64   // the last event applied
	missingSeq   int64   // the event for which the log was polled again because it was missing
	lastGoodPoll float64 // when the last poll that had a good response was sent
	addressRead  bool    // the address was read after the latest order to reload

	// Sends that are held after a stall.
	sendsHeld  bool
	holdTimer  eventloop.Timer
	drainGrace float64 // s after which a worker's drain, once in the log, is in force
	onRelease  func()  // called when sends are no longer held
}

func newWatchClient(g *gateway.Gateway, drainGrace float64, countFailure func(string), onRelease func()) *watchClient {
	w := &watchClient{
		gateway:       g,
		loop:          g.Loop,
		countFailure:  countFailure,
		drainGrace:    drainGrace,
		onRelease:     onRelease,
		responseSlack: minResponseSlack,
		addressRead:   true,
	}
	w.lastGoodPoll = w.loop.Now() // the configuration has the log's content at the start
	w.call.Handler = w
	w.timer.Fire = w.timerExpired
	w.holdTimer.Fire = w.releaseSends
	w.loop.OnStall = w.onStall
	return w
}

// startPolling polls the change log at an address from now on.
func (w *watchClient) startPolling(addr netip.AddrPort) {
	if w.pool != nil {
		w.call.Cancel()
		w.pool.Close()
	}
	w.pool = httpconn.NewPool(w.loop, addr, httpconn.PoolOptions{
		MaxConnections: 1,
		MaxIdle:        1,
		IdleTimeout:    maxBackoff,
		ConnectTimeout: maxBackoff,
	})
	w.backoff = 0
	w.polling = false
	w.poll(0) // whoever answers confirms the list at once
}

// orderReload records an order to read the configuration, which may have the change log at another address. Until that is
// read, answers of the present address may be out of date.
func (w *watchClient) orderReload() {
	w.addressRead = false
	w.gateway.OrderReload(w.loop.ArrivedAt())
}

// onStall polls the change log at once after a stall of the process during which an event may have come into force.
// Until the response, or for maxSendHold, nothing is sent to workers: the worker list may be out of date.
func (w *watchClient) onStall(duration float64) {
	if w.pool == nil || duration <= math.Max(w.drainGrace*stallGraceFraction, minStall) {
		return
	}
	w.gateway.RecordEvent("asks_change_log_first", "standstill", nil, nil, duration)
	w.sendsHeld = true
	w.loop.StartTimer(&w.holdTimer, maxSendHold)
	w.call.Cancel()
	w.poll(0)
}

// releaseSends ends the hold on sends, if there is one.
func (w *watchClient) releaseSends() {
	if w.sendsHeld {
		w.sendsHeld = false
		w.loop.CancelTimer(&w.holdTimer)
		w.onRelease()
	}
}

// poll requests the events after the last one applied, for which the change log may wait for so many seconds.
func (w *watchClient) poll(wait float64) {
	w.body = w.body[:0]
	w.unusable = false
	w.begun = false
	w.polling = true
	w.polledAt = w.loop.Now()
	w.polledSeq = w.lastSeq
	w.requestedWait = wait
	w.loop.StartTimer(&w.timer, longPollWait+w.responseSlack) // also where no wait is asked for: a crowded log is slow, not silent
	w.pool.Do(&w.call, w.request(wait), nil)
}

// request returns the head of a poll's request.
func (w *watchClient) request(wait float64) []byte {
	target := "/changes?since=" + strconv.FormatInt(w.lastSeq, 10) + "&timeout=" + strconv.FormatInt(int64(wait*1e3), 10)
	head := httpcodec.AppendRequest(nil, http.MethodGet, target)
	head = append(head, "Host: "...)
	head = w.pool.Addr.AppendTo(head)
	return append(head, "\r\n\r\n"...)
}

// timerExpired sends the next poll, or gives up the one in flight.
func (w *watchClient) timerExpired() {
	if !w.polling {
		w.poll(w.nextWait())
		return
	}
	w.countFailure(reasonChangeLogSilent)
	if w.begun {
		w.gateway.EndpointListBrokeOff(w.polledAt + w.requestedWait)
	}
	w.responseSlack = nextResponseSlack(w.responseSlack, true, 0)
	w.gateway.RecordEvent(reasonChangeLogSilent, "", nil, nil, float64(w.lastSeq))
	w.call.Cancel()
	w.schedulePoll(true)
}

// nextWait returns for how long the next poll asks the change log to wait. After a failure the first answer is to confirm
// the list at once, whether or not there are events; so is the first one asked from when the list's lease requires that,
// before which the poll ends.
func (w *watchClient) nextWait() float64 {
	if w.backoff > 0 {
		return 0
	}
	dueIn := w.gateway.ListConfirmationDueAt() - w.loop.Now()
	if math.IsInf(dueIn, -1) {
		return longPollWait
	}
	return min(max(dueIn, 0), longPollWait)
}

// schedulePoll schedules the next poll after one that has ended.
func (w *watchClient) schedulePoll(failed bool) {
	w.polling = false
	w.backoff = nextBackoff(w.backoff, failed)
	w.loop.StartTimer(&w.timer, pollDelay(w.backoff, w.gateway.RandomFloat(), w.loop.Now()-w.polledAt))
}

// ResponseHead implements httpconn.Caller.
func (w *watchClient) ResponseHead(head *httpcodec.Head) {
	w.unusable = head.Status != http.StatusOK
	w.begun = !w.unusable
}

// ResponseBody implements httpconn.Caller.
func (w *watchClient) ResponseBody(data []byte) {
	if len(w.body)+len(data) > maxPollBytes {
		w.unusable = true
	}
	if !w.unusable {
		w.body = append(w.body, data...)
	}
}

// ResponseDone implements httpconn.Caller.
func (w *watchClient) ResponseDone(err error) {
	if err == nil {
		err = w.handleResponse()
	}
	if cap(w.body) > maxKeptPollBytes {
		w.body = nil
	}
	if err == nil {
		w.lastGoodPoll = w.polledAt
		w.gateway.ConfirmEndpointList(w.polledAt, w.addressRead)
		w.responseSlack = nextResponseSlack(w.responseSlack, false, w.loop.Now()-w.polledAt-w.requestedWait)
	} else {
		w.countFailure(reasonChangeLogFailed)
		w.gateway.RecordEvent(reasonChangeLogFailed, closeReason(err), nil, nil, float64(w.lastSeq))
		if w.begun && !errors.Is(err, errStaleResponse) {
			w.gateway.EndpointListBrokeOff(w.loop.Now())
		}
		w.gateway.EndpointListFailed(err)
	}
	w.releaseSends()
	w.schedulePoll(err != nil)
}

// handleResponse decodes and applies a complete response.
func (w *watchClient) handleResponse() error {
	if w.unusable {
		return errUnusableResponse
	}
	var response WatchResponse
	err := json.Unmarshal(w.body, &response)
	if err != nil {
		return err
	}
	if response.Seq < w.polledSeq {
		return errStaleResponse
	}
	return w.applyResponse(&response)
}
