package gateway

import "mastchute/control"

// outcome is how a request ended for its client.
type outcome uint8

const (
	outcomeReturned           outcome = iota // a worker's response was forwarded
	outcomeShed                              // rejected; a retry by the client is harmless
	outcomeFailed                            // failed; it may have run
	outcomeClientDisconnected                // the client disconnected first
	outcomeCount
)

// String returns the outcome as it appears in metrics, logs and the Mastchute-Answer header.
func (o outcome) String() string { return [...]string{"returned", "shed", "failed", "left"}[o] }

// deadlineExceeded runs at the client's deadline. The control module should finish every request before it; deadlineExceeded
// finishes those that it has not. Attempts still in flight time out.
func (g *Gateway) deadlineExceeded(r *Request) {
	if !r.inUse || r.streamingAttempt != nil {
		return
	}
	if !r.finished {
		g.Metrics.countGuard("late")
		g.timeOutRequest(r, "the time is up")
		g.deliverCancellation(r)
	}
	for _, a := range r.attempts[:r.attemptCount] {
		g.finishAttempt(a, control.TimedOut)
	}
}

// shedRequest gives a request the final response that it was rejected and that a retry is harmless.
func (g *Gateway) shedRequest(r *Request, retryAfter float64) {
	writer := g.finishAndTakeWriter(r, outcomeShed)
	if writer != nil {
		writer.WriteShed(r, retryAfter)
	}
}

// failRequest gives a request the final response that it failed and may have run.
func (g *Gateway) failRequest(r *Request, why string) { g.writeFailure(r, false, why) }

// timeOutRequest is like failRequest, with the request's deadline as the reason.
func (g *Gateway) timeOutRequest(r *Request, why string) { g.writeFailure(r, true, why) }

func (g *Gateway) writeFailure(r *Request, timedOut bool, why string) {
	writer := g.finishAndTakeWriter(r, outcomeFailed)
	if writer == nil {
		return
	}
	writer.WriteFailure(r, timedOut, why)
	if r.streamingAttempt != nil { // WriteFailure has cut the stream off
		g.finishAttempt(r.streamingAttempt, control.Cancelled)
	}
}

// finishAndTakeWriter finishes a request and returns the writer for its final response, which the caller must write. It
// returns nil if the request was already finished.
func (g *Gateway) finishAndTakeWriter(r *Request, o outcome) ResponseWriter {
	if r.finished {
		g.Metrics.countGuard("second_answer")
		return nil
	}
	writer := r.Writer
	r.Writer = nil
	g.finishRequest(r, o)
	return writer
}

// finishRequest records the outcome of a request, and cancels its attempts that have not been fully sent, since nothing may be
// sent after the final response. The slot is released at the end of the loop's turn, or once all attempts have finished.
func (g *Gateway) finishRequest(r *Request, o outcome) {
	r.finished = true
	now := g.Loop.Now()
	r.group.metrics.requestFinished(o, now-r.arrivedAt)
	g.logFinished(r, o, now)
	g.RecordEvent("request_finished", o.String(), r, nil, now-r.arrivedAt)
	for _, a := range r.attempts[:r.attemptCount] {
		if !a.finished && !a.Worker.transport.FullySent(a) {
			g.finishAttempt(a, control.Cancelled)
		}
	}
	g.Loop.Defer(g.reportFinishedFn)
	g.pendingCompletions = append(g.pendingCompletions, completion{request: r})
}
