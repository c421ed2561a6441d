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
	longPollWait       = 1.0      // s that the change log may wait for events before it responds; a longer wait delays the detection of an outage
	maxPollBytes       = 4 << 20  // bytes of a response body, at most
	maxKeptPollBytes   = 64 << 10 // bytes of buffer capacity, at most, that are kept for the next poll
	maxSendPause       = 0.2      // s that sends to workers wait for the change log at most after a stall, as it may be down
	minStall           = 0.12     // s; after a shorter stall of the process, sends do not wait for the change log
	stallGraceFraction = 0.5      // of the drain grace: during a longer stall, an event may have come into force unnoticed
)

var (
	errUnusableResponse = errors.New("change log response is too long or has a status other than 200")
	errStaleResponse    = errors.New("change log response is older than the last event applied")
)

// watchClient follows the change log by HTTP long polls, each from the last event applied. It implements
// httpconn.ResponseHandler. It must be used on the loop's goroutine only.
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
	polledSeq     int64           // lastSeq when the poll was sent
	responseBegun bool            // the head of a usable response has arrived
	requestedWait float64         // s that the poll asked the change log to wait
	timer         eventloop.Timer // the timeout of the poll in flight; otherwise the next poll
	backoff       float64         // s, before jitter; 0 after a successful poll
	responseSlack float64         // s that a response may take beyond requestedWait

	// The position in the log.
	lastSeq            int64   // the last event applied
	missingSeq         int64   // the missing event for which the log was polled again
	lastSuccessfulPoll float64 // when the last successful poll was sent
	addressCurrent     bool    // the configuration was read since the latest reload request

	// The pause of sends to workers after a stall.
	sendsPaused bool
	pauseTimer  eventloop.Timer
	drainGrace  float64 // s from the notification of a worker's drain until no new work may reach it
	onResume    func()  // called when sends are resumed
}

func newWatchClient(g *gateway.Gateway, drainGrace float64, countFailure func(string), onResume func()) *watchClient {
	w := &watchClient{
		gateway:        g,
		loop:           g.Loop,
		countFailure:   countFailure,
		drainGrace:     drainGrace,
		onResume:       onResume,
		responseSlack:  minResponseSlack,
		addressCurrent: true,
	}
	w.lastSuccessfulPoll = w.loop.Now() // the configuration contains the log's state at the start
	w.call.Handler = w
	w.timer.Fire = w.timerExpired
	w.pauseTimer.Fire = w.resumeSends
	w.loop.OnStall = w.onStall
	return w
}

// startPolling starts polling the change log at addr, in place of a previous address.
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
	w.poll(0) // without a wait, so that the response confirms the list at once
}

// recordReloadRequest records a request to reload the configuration, which may contain another address of the change log.
// Until it is read, responses from the current address may be out of date.
func (w *watchClient) recordReloadRequest() {
	w.addressCurrent = false
	w.gateway.ReloadRequested(w.loop.ArrivedAt())
}

// onStall polls the change log at once after a stall of the process during which an event may have come into force.
// Until the response, or for maxSendPause, nothing is sent to workers, as the endpoint list may be out of date.
func (w *watchClient) onStall(duration float64) {
	if w.pool == nil || duration <= math.Max(w.drainGrace*stallGraceFraction, minStall) {
		return
	}
	w.gateway.RecordEvent("asks_change_log_first", "standstill", nil, nil, duration)
	w.sendsPaused = true
	w.loop.StartTimer(&w.pauseTimer, maxSendPause)
	w.call.Cancel()
	w.poll(0)
}

// resumeSends ends the pause of sends, if there is one.
func (w *watchClient) resumeSends() {
	if w.sendsPaused {
		w.sendsPaused = false
		w.loop.CancelTimer(&w.pauseTimer)
		w.onResume()
	}
}

// poll requests the events after the last one applied. If there are none, the change log waits up to wait seconds for one.
func (w *watchClient) poll(wait float64) {
	w.body = w.body[:0]
	w.unusable = false
	w.responseBegun = false
	w.polling = true
	w.polledAt = w.loop.Now()
	w.polledSeq = w.lastSeq
	w.requestedWait = wait
	w.loop.StartTimer(&w.timer, longPollWait+w.responseSlack) // even if wait is shorter: an overloaded change log responds late
	w.pool.Do(&w.call, w.request(wait), nil)
}

// request returns the HTTP request of a poll.
func (w *watchClient) request(wait float64) []byte {
	target := "/changes?since=" + strconv.FormatInt(w.lastSeq, 10) + "&timeout=" + strconv.FormatInt(int64(wait*1e3), 10)
	head := httpcodec.AppendRequest(nil, http.MethodGet, target)
	head = append(head, "Host: "...)
	head = w.pool.Addr.AppendTo(head)
	return append(head, "\r\n\r\n"...)
}

// timerExpired sends the next poll, or cancels the one in flight after its timeout.
func (w *watchClient) timerExpired() {
	if !w.polling {
		w.poll(w.nextWait())
		return
	}
	w.countFailure(reasonChangeLogTimeout)
	if w.responseBegun {
		w.gateway.EndpointListResponseCutOff(w.polledAt + w.requestedWait)
	}
	w.responseSlack = nextResponseSlack(w.responseSlack, true, 0)
	w.gateway.RecordEvent(reasonChangeLogTimeout, "", nil, nil, float64(w.lastSeq))
	w.call.Cancel()
	w.schedulePoll(true)
}

// nextWait returns how long, in s, the next poll asks the change log to wait. After a failure it is 0, so that the response
// confirms the list at once even without events. If the list's lease requires a confirmation by a poll sent from some time
// on, the poll ends by then, and the one sent then does not wait.
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

// ResponseHead implements httpconn.ResponseHandler.
func (w *watchClient) ResponseHead(head *httpcodec.Head) {
	w.unusable = head.Status != http.StatusOK
	w.responseBegun = !w.unusable
}

// ResponseBody implements httpconn.ResponseHandler.
func (w *watchClient) ResponseBody(data []byte) {
	if len(w.body)+len(data) > maxPollBytes {
		w.unusable = true
	}
	if !w.unusable {
		w.body = append(w.body, data...)
	}
}

// ResponseDone implements httpconn.ResponseHandler.
func (w *watchClient) ResponseDone(err error) {
	if err == nil {
		err = w.handleResponse()
	}
	if cap(w.body) > maxKeptPollBytes {
		w.body = nil
	}
	if err == nil {
		w.lastSuccessfulPoll = w.polledAt
		w.gateway.ConfirmEndpointList(w.polledAt, w.addressCurrent)
		w.responseSlack = nextResponseSlack(w.responseSlack, false, w.loop.Now()-w.polledAt-w.requestedWait)
	} else {
		w.countFailure(reasonChangeLogFailed)
		w.gateway.RecordEvent(reasonChangeLogFailed, closeReason(err), nil, nil, float64(w.lastSeq))
		if w.responseBegun && !errors.Is(err, errStaleResponse) {
			w.gateway.EndpointListResponseCutOff(w.loop.Now())
		}
		w.gateway.EndpointListFailed(err)
	}
	w.resumeSends()
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
