package platform

import (
	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
)

// idleTimeoutFraction is the fraction of the workers' idle timeout after which the dispatcher closes idle connections: a
// close by the worker could cross with an attempt.
const idleTimeoutFraction = 0.85

// workerPool holds the state that the transports to all workers share: settings and the budget of descriptors.
type workerPool struct {
	clients            *clientTransport
	gateway            *gateway.Gateway
	loop               *eventloop.Loop
	maxStreams         int      // calls in flight on one connection
	connectTimeout     float64  // s
	idleTimeout        float64  // s
	loadReportFields   []string // in the order of the configuration
	conns              map[*workerConn]struct{}
	maxConns           int                // to all workers
	awaitingDescriptor []*workerTransport // their queues are processed when a connection ends or becomes idle
	awaitingResume     []*workerTransport // their queues are processed when sends are resumed
	lastTag            uint64             // number in the tag of the latest worker command
	lastConnNumber     uint64             // of the latest connection
}

// init initializes the pool from the configuration. The gateway and the loop of clients must be set.
func (p *workerPool) init(clients *clientTransport, file *ConfigFile) {
	gatewayConfig := file.gatewayConfig()
	p.clients = clients
	p.gateway = clients.gateway
	p.loop = clients.loop
	p.loadReportFields = gatewayConfig.LoadReportFields
	p.conns = map[*workerConn]struct{}{}
	p.maxStreams = int(file.positiveOr("limits.streams_per_conn", defaultMaxStreams))
	p.connectTimeout = gatewayConfig.Limits.ConnectTimeout.Seconds
	p.idleTimeout = gatewayConfig.Limits.WorkerIdleTimeout.Seconds * idleTimeoutFraction
	p.maxConns = file.maxWorkerConns()
}

// onCapacityFreed is called when a connection has ended or become idle. It schedules the transports that wait for a
// descriptor.
func (p *workerPool) onCapacityFreed() {
	for _, transport := range p.awaitingDescriptor {
		transport.scheduleQueue()
	}
	clear(p.awaitingDescriptor)
	p.awaitingDescriptor = p.awaitingDescriptor[:0]
}

// resumeSends schedules the transports that queued calls while sends were paused.
func (p *workerPool) resumeSends() {
	for _, transport := range p.awaitingResume {
		transport.scheduleQueue()
	}
	clear(p.awaitingResume)
	p.awaitingResume = p.awaitingResume[:0]
}

// closeIdleConn closes one idle connection to a worker. It reports whether there was one.
func (p *workerPool) closeIdleConn() bool {
	for conn := range p.conns {
		if conn.established && len(conn.inFlight) == 0 {
			conn.close(control.NotSent, reasonIdleClosed)
			return true
		}
	}
	return false
}

// acquireDescriptor reports whether the first connection to a worker may be opened although the budget is used up: in place
// of an idle connection to another worker, which it closes, or from the reserve.
func (p *workerPool) acquireDescriptor() bool {
	return p.closeIdleConn() || len(p.conns) < p.maxConns+reservedForWorkers
}
