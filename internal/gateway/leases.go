package gateway

import (
	"mastchute/control"
)

// This file maintains the leases under which workers are sent new work, and notifies the control module of them. Package lease
// decides when each one ends.

// ConfirmEndpointList renews the lease of the endpoint list after a usable response of discovery to a request sent at
// requestSentAt. addressReread reports whether the address of discovery was read after the latest ReloadRequested.
func (g *Gateway) ConfirmEndpointList(requestSentAt float64, addressReread bool) {
	g.listLease.Confirm(requestSentAt, addressReread)
	g.announceListLease()
}

// EndpointListResponseCutOff shortens the lease of the endpoint list, because a response of discovery was cut off at the
// given time.
func (g *Gateway) EndpointListResponseCutOff(at float64) {
	g.listLease.ResponseCutOff(at)
	g.announceListLease()
}

// ReloadRequested shortens the lease of the endpoint list, because a reload of the configuration was requested at
// requestedAt and the new configuration may have another address of discovery.
func (g *Gateway) ReloadRequested(requestedAt float64) {
	g.listLease.ReloadRequested(requestedAt)
	g.announceListLease()
}

// ListConfirmationDueAt returns a time before which no request to discovery renews the lease of the endpoint list in full,
// -Inf if there is none.
func (g *Gateway) ListConfirmationDueAt() float64 { return g.listLease.ConfirmationDueAt() }

// announceListLease notifies the control module of the lease of the endpoint list, and starts the timer for its end.
func (g *Gateway) announceListLease() {
	if !g.listLease.Limited() {
		return
	}
	until := g.listLease.Until()
	g.Metrics.setListConfirmedAt(g.listLease.ConfirmedAt())
	leaseState := control.ListLease{ConfirmedAt: g.listLease.ConfirmedAt(), NotifiedBy: g.listLease.NotifiedBy(), Until: until}
	g.deliver(func(module control.Module) { module.ListLeaseChanged(leaseState) })
	remaining := until - g.Loop.Now()
	if remaining > 0 && g.listLeaseEnded {
		g.listLeaseEnded = false
		g.log.Info().Msg("endpoint list confirmed again; its lease is renewed")
		g.RecordEvent("list_lease_renewed", "", nil, nil, remaining)
	}
	g.Loop.StartTimer(&g.listLeaseTimer, max(remaining, 0))
	g.checkIdentities()
}

// listLeaseExpired logs that the lease of the endpoint list has ended.
func (g *Gateway) listLeaseExpired() {
	age := g.Loop.Now() - g.listLease.ConfirmedAt()
	if g.listLeaseEnded || g.Loop.Now() < g.listLease.Until() {
		return
	}
	g.listLeaseEnded = true
	g.Metrics.listLeaseExpiries.Inc()
	g.log.Warn().Float64("list_age_s", age).Msg("endpoint list not confirmed in time; only workers with a lease of their own get new work")
	g.RecordEvent("list_lease_expired", "", nil, nil, age)
}

// renewLeaseByAttempt renews the lease of a worker that accepted an attempt: a draining worker accepts none, so it was not
// draining when the first byte was sent. Rejections prove nothing: one for lack of capacity looks like that of a draining
// worker, and a worker may report that the model is not loaded before it checks for either.
func (g *Gateway) renewLeaseByAttempt(a *Attempt, result control.Result) {
	if result == control.Succeeded && g.listLease.Limited() {
		a.Worker.lease.Renew(a.Worker.transport.SentAt(a), g.leaseTerms)
	}
}

// renewLeaseByCommand renews the lease of a worker after its response to a check or a load request. It ends the lease if the
// worker rejects a check: there is always capacity for no replicas, so the worker must be draining.
func (g *Gateway) renewLeaseByCommand(command *WorkerCommand, result control.Result) {
	isCheck := command.Kind == CommandCheckWorker
	if !isCheck && command.Kind != CommandLoadModel || !g.listLease.Limited() {
		return
	}
	w := command.Worker
	switch {
	case result == control.Succeeded:
		w.lease.Renew(w.transport.CommandSentAt(command), g.leaseTerms)
	case isCheck && result == control.AtCapacity:
		w.lease.Revoke()
	}
	if isCheck {
		g.checkCounts[result]++
		g.Metrics.workerChecks.WithLabelValues(resultNames[result]).Inc()
		g.RecordEvent("worker_checked", resultNames[result], nil, w, g.Loop.Now()-command.createdAt)
	}
}

// LeaseSummary describes the leases under which workers are sent new work.
type LeaseSummary struct {
	ListAge        float64 // s since the list was known to be complete
	ListLeaseLeft  float64 // s until the end of the list's lease, negative after it
	ReadyWorkers   int
	LeasedWorkers  int // ready workers with a lease of their own
	Checks         int // checks of workers finished since the start
	RejectedChecks int // checks rejected, which shows that the worker is draining
}

// ListLeaseExpired reports whether the lease of the endpoint list has ended.
func (g *Gateway) ListLeaseExpired() bool { return g.Loop.Now() >= g.listLease.Until() }

// LeaseSummary returns the current state of the leases.
func (g *Gateway) LeaseSummary() LeaseSummary {
	now := g.Loop.Now()
	summary := LeaseSummary{
		ListAge:        now - g.listLease.ConfirmedAt(),
		ListLeaseLeft:  g.listLease.Until() - now,
		RejectedChecks: g.checkCounts[control.AtCapacity],
	}
	for _, count := range g.checkCounts {
		summary.Checks += count
	}
	for _, w := range g.workers {
		if !w.isReady() {
			continue
		}
		summary.ReadyWorkers++
		if now < w.lease.Until() {
			summary.LeasedWorkers++
		}
	}
	return summary
}

// WorkerConnectionsLost notifies the control module that the connections to a worker were reset or refused: its process may
// have ended, and another process may have started at its address.
func (g *Gateway) WorkerConnectionsLost(w *Worker) {
	if g.listLease.Limited() {
		g.deliver(func(module control.Module) { module.ConnectionsLost(w.ID) })
	}
}
