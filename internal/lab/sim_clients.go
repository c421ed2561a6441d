package lab

// The clients of a simulation make the logical calls of calls.go, over simulated messages instead of sockets.

// simResponse is what a client receives for an attempt.
type simResponse struct {
	status     int
	outcome    Outcome
	request    string
	retryAfter float64 // s
	err        string  // why there is no response; empty if there is one
}

// simClientAttempt is a client's attempt in progress.
type simClientAttempt struct {
	*ClientAttempt
	sim           *simulation
	call          *logicalCall
	callStartedAt float64 // s of the scenario
	ended         bool
	accepted      *simRequest // at the dispatcher; nil until it is accepted
}

// scheduleNextCall schedules the next logical call, which schedules the one after it.
func (s *simulation) scheduleNextCall(next func() (callArrival, bool)) {
	a, ok := next()
	if !ok {
		s.moreCalls = false
		return
	}
	s.at(a.at, func() {
		s.openCalls++
		s.continueCall(newLogicalCall(s.scenario, a, len(s.dispatchers)), s.now)
		s.scheduleNextCall(next)
	})
}

// continueCall makes the next attempt of a logical call, unless the call is over.
func (s *simulation) continueCall(c *logicalCall, callStartedAt float64) {
	a, ok := c.nextAttempt(s.now - callStartedAt)
	if !ok {
		s.openCalls--
		return
	}
	s.sendToDispatcher(&simClientAttempt{ClientAttempt: a, sim: s, call: c, callStartedAt: callStartedAt}, 0)
}

// sendToDispatcher sends an attempt to the n-th dispatcher after the one that the client tries first. A dispatcher that is
// down refuses the connection, and the client tries the next one.
func (s *simulation) sendToDispatcher(a *simClientAttempt, n int) {
	d := s.dispatchers[(a.call.firstDispatcher+n)%len(s.dispatchers)]
	a.Dispatcher = d.name
	a.SentAt = simEpoch + s.now
	s.sendMessage(func() {
		if d.module != nil {
			a.deliver(d)
			return
		}
		if n+1 < len(s.dispatchers) {
			s.sendMessage(func() { s.sendToDispatcher(a, n+1) })
			return
		}
		a.NotAccepted = true
		a.Error = "connection refused"
		s.sendMessage(func() { a.end(0) })
	})
}

// deliver passes an attempt to a running dispatcher.
func (a *simClientAttempt) deliver(d *simDispatcher) {
	s := a.sim
	s.after(a.call.waitTime(a.ClientAttempt), func() { a.abandon(d) })
	a.accepted = d.accept(a.ClientAttempt, a.call, func(r simResponse) {
		s.sendMessage(func() { a.receive(r) })
	})
}

// abandon ends an attempt when the client stops waiting for a response.
func (a *simClientAttempt) abandon(d *simDispatcher) {
	if a.ended {
		return
	}
	a.ClientDisconnected = a.call.disconnectsEarly(a.ClientAttempt)
	a.Error = "timeout"
	a.end(0)
	a.sim.sendMessage(func() { d.clientDisconnected(a.accepted) })
}

// receive records a response. One that arrives after the attempt has ended counts as one unsolicited byte.
func (a *simClientAttempt) receive(r simResponse) {
	if a.ended {
		if r.status > 0 {
			a.UnsolicitedBytes++
		}
		return
	}
	a.Status = r.status
	a.Outcome = r.outcome
	a.Request = r.request
	a.Error = r.err
	if r.err == "" {
		a.RespondedAt = simEpoch + a.sim.now
	}
	a.end(r.retryAfter)
}

// end records a finished attempt and schedules the retry, if any.
func (a *simClientAttempt) end(retryAfter float64) {
	s := a.sim
	a.ended = true
	s.evidence.ClientAttempts = append(s.evidence.ClientAttempts, *a.ClientAttempt)
	delay, retries := a.call.retryDelay(a.ClientAttempt, retryAfter)
	if !retries {
		s.openCalls--
		return
	}
	s.after(delay, func() { s.continueCall(a.call, a.callStartedAt) })
}
