package control

// pendingActions collects the actions that the events since the last Reconcile require, for the next one to emit.
type pendingActions struct {
	requests       []*request // requests whose desired state may differ from the actual one
	loadRequests   []*replica // replicas for which a load request is to be sent
	probes         []*worker  // workers to probe
	checks         []*worker  // workers to check
	timerScheduled bool       // a call of TimerFired is outstanding
}

// addRequest adds a request, unless it is already listed.
func (p *pendingActions) addRequest(req *request) {
	if !req.actionPending {
		req.actionPending = true
		p.requests = append(p.requests, req)
	}
}

// clear empties the lists and keeps their memory.
func (p *pendingActions) clear() {
	p.requests = p.requests[:0]
	p.loadRequests = p.loadRequests[:0]
	p.probes = p.probes[:0]
	p.checks = p.checks[:0]
}
