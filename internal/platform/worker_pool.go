package platform

import (
	"mastchute/control"
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
)

// idleTimeoutFraction is the part of the workers' idle timeout after which idle connections are closed here: the worker's
// own close could cross with an attempt.
const idleTimeoutFraction = 0.85

// workerPool holds the state that the transports to all workers share: their settings and the budget of descriptors.
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
	awaitingDescriptor []*workerTransport // to be drained when a connection ends or becomes idle
	awaitingRelease    []*workerTransport // to be drained when sends are no longer held
	lastTag            uint64             // the latest number from which a worker command's tag was made
}

// init sets the pool up for a transport whose other fields are set.
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

// onCapacityFreed schedules the transports that wait for a descriptor: a connection has ended or become idle.
func (p *workerPool) onCapacityFreed() {
	for _, transport := range p.awaitingDescriptor {
		transport.scheduleDrain()
	}
	clear(p.awaitingDescriptor)
	p.awaitingDescriptor = p.awaitingDescriptor[:0]
}

// resumeSends schedules the transports that have calls queued since sends were held.
func (p *workerPool) resumeSends() {
	for _, transport := range p.awaitingRelease {
		transport.scheduleDrain()
	}
	clear(p.awaitingRelease)
	p.awaitingRelease = p.awaitingRelease[:0]
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

// acquireDescriptor reports whether the first connection to a worker may be opened though the budget is used up: after an
// idle connection to another worker was closed, or from the reserve.
func (p *workerPool) acquireDescriptor() bool {
	return p.closeIdleConn() || len(p.conns) < p.maxConns+reservedForWorkers
}
