package control

// outbox lists what the events of the present moment have changed, for Reconcile to emit.
type outbox struct {
	requests       []*request // whose desired state may differ from the actual one
	loadRequests   []*replica
	probes         []*worker
	sweepScheduled bool // the sweep timer is running
}

// addRequest lists a request, once.
func (o *outbox) addRequest(req *request) {
	if !req.changed {
		req.changed = true
		o.requests = append(o.requests, req)
	}
}

// clear empties the lists, keeping their memory.
func (o *outbox) clear() {
	o.requests = o.requests[:0]
	o.loadRequests = o.loadRequests[:0]
	o.probes = o.probes[:0]
}
