package gateway

import (
	"math"

	"mastchute/control"
)

const (
	shutdownPollInterval = 0.01 // s between checks whether the shutdown is complete
	finalFlushDelay      = 0.1  // s allowed for the kernel to send the last final response
	lingerTimeout        = 1.5  // s allowed for clients to read the last final response and close their connections
)

// ExitStatus describes how a gateway ended.
type ExitStatus struct {
	PanicMessage   string // of the control module, empty if it has not panicked
	CutOffRequests int    // requests that got their final response because the shutdown's grace period expired
}

// ExitStatus returns how the gateway ended. It is final once the loop has stopped.
func (g *Gateway) ExitStatus() ExitStatus { return g.exitStatus }

// Stop begins a graceful shutdown: no new requests are accepted, each request in flight gets its final response within grace
// seconds, and then the loop stops. A further call can only shorten the grace period.
func (g *Gateway) Stop(grace float64) { g.StopBy(g.Loop.Now()+grace, math.Inf(1)) }

// StopBy is like Stop, with times on the loop's clock: each request gets its final response by respondBy, and the loop stops
// by endBy. It waits for clients to close their connections until endBy, or for lingerTimeout if endBy is infinite.
func (g *Gateway) StopBy(respondBy, endBy float64) {
	if g.stopping {
		g.stopDeadline = math.Min(g.stopDeadline, respondBy)
	} else {
		grace := respondBy - g.Loop.Now()
		g.log.Info().Int("in_flight", g.inFlight).Float64("grace_s", grace).Msg("stopping")
		g.RecordEvent("shutdown_started", "", nil, nil, grace)
		g.stopping = true
		g.stopDeadline = respondBy
		g.stopEndBy = endBy
		g.clients.Drain()
	}
	g.continueShutdown()
}

// continueShutdown stops the loop if the shutdown is complete, and otherwise schedules the next check.
func (g *Gateway) continueShutdown() {
	now := g.Loop.Now()
	if g.inFlight > 0 && now >= g.stopDeadline {
		g.graceExpired()
	}
	if !g.hasUnfinishedRequests() {
		for _, w := range g.workers {
			w.transport.Close()
			w.transport.FailUnsent()
		}
		g.stopDeadline = math.Min(g.stopDeadline, now)
		if g.isShutdownComplete(now) {
			g.closeConnections()
			g.Loop.Stop()
			return
		}
	}
	g.Loop.StartTimer(&g.stopTimer, shutdownPollInterval)
}

// closeConnections closes the clients' connections that are still open when the loop stops, and logs the end of the shutdown.
func (g *Gateway) closeConnections() {
	open := g.clients.ConnectionCount()
	unread := g.clients.CloseAll()
	if unread > 0 {
		g.Metrics.closedUnread.WithLabelValues("shutdown").Add(float64(unread))
		g.log.Warn().Int("connections", unread).Msg("connections closed although requests may be unread: reads kept failing")
	}
	g.log.Info().Int("open_connections", open).Msg("stopped")
}

func (g *Gateway) graceExpired() {
	failed := g.finishAllRequests("the dispatcher is stopping")
	if failed > 0 {
		g.exitStatus.CutOffRequests += failed
		g.log.Warn().Int("failed", failed).Msg("shutdown grace period expired; remaining requests were shed or failed")
	}
}

// isShutdownComplete reports whether the loop may stop once every request has its final response: clients have closed their
// connections, or have had time to read the last responses.
func (g *Gateway) isShutdownComplete(now float64) bool {
	endBy := g.stopEndBy
	if math.IsInf(endBy, 1) {
		endBy = g.stopDeadline + lingerTimeout
	}
	if now >= endBy {
		return true
	}
	if g.clients.ConnectionCount() > 0 || g.Loop.HasUnsentResponses() {
		return false
	}
	return g.Loop.Stats.Connections.Load() == 0 || now > g.stopDeadline+finalFlushDelay
}

// hasUnfinishedRequests reports whether any request still waits for its final response.
func (g *Gateway) hasUnfinishedRequests() bool {
	for _, r := range g.requests {
		if r.inUse && !r.finished {
			return true
		}
	}
	return false
}

// finishAllRequests gives each request in flight its final response, and returns how many there were.
func (g *Gateway) finishAllRequests(why string) int {
	count := 0
	for _, r := range g.requests {
		if !r.inUse || r.finished {
			continue
		}
		count++
		if g.exitStatus.PanicMessage != "" {
			g.failRequest(r, why)
		} else {
			g.finishAtShutdown(r, why)
		}
		g.deliverCancellation(r)
	}
	return count
}

// finishAtShutdown sheds a request if a retry by the client is harmless, because no attempt may have run or its group is
// retriable. Otherwise it fails the request.
func (g *Gateway) finishAtShutdown(r *Request, why string) {
	harmless := r.streamingAttempt == nil && (r.group.effect == control.Retriable || !r.shedFacts().MayHaveRun)
	if !harmless {
		g.failRequest(r, why)
		return
	}
	g.shedRequest(r, 0)
}
