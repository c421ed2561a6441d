//go:build linux

package eventloop

// Bounds on what one turn may do, so that no connection or source of events starves the others.
const (
	readBufferBytes      = 64 << 10 // bytes a single read system call may return
	maxEventsPerPoll     = 512      // ready descriptors returned by one epoll_wait
	maxFollowUpPolls     = 8        // further polls in a row while each one fills the event buffer
	maxTimersPerTurn     = 4096     // timers fired in one pass; the rest wait for the next
	maxAcceptsPerTurn    = 64       // connections accepted from one listener per readiness event
	maxPostedPerTurn     = 1024     // posted functions run before timers; the rest are deferred within the turn
	maxRoundsPerTurn     = 8        // rounds of deferred work, AfterEvents and writes in one turn
	maxExtraPollsPerTurn = 2        // polls within one turn because the previous one is stale; see pollIsStale
	maxCatchUpReads      = 16       // full reads from one connection when all it has sent is wanted at once
)

// Times, in seconds.
const (
	maxPollWait = 0.04 // longest epoll_wait: a longer gap between polls then shows that the process was stalled
	// arrivalSlack is the longest gap between two polls that is not counted as a stall. Arrival times are estimated this
	// much later than the earliest time possible, so a deadline computed from one may be this much too late, and
	// slightly more.
	arrivalSlack = 0.1
	// maxPollAge is the age of the latest poll from which another one precedes the writes of a turn.
	maxPollAge          = 0.05
	localFailureBackoff = 0.01  // until a system call that failed for lack of local resources is tried again
	minAcceptBackoff    = 0.005 // first pause of accepting after the kernel lacked resources; doubles each time
	maxAcceptBackoff    = 0.05  // longest such pause, as clients are waiting meanwhile
	capacityBackoff     = 0.01  // pause of accepting while the owner of the listener reports that it has no capacity
	flushTimeout        = 30    // for a connection being closed to send what is queued; then it is cut off
	lingerTimeout       = 1.0   // for the peer to close its side after that, so that the last response is not reset
)

// Memory and kernel resources.
const (
	initialBufferBytes = 4 << 10             // capacity of a new buffer
	maxRecycledBuffer  = 64 << 10            // bytes: larger buffers are left to the garbage collector
	maxFreeBuffers     = 256                 // buffers kept for reuse
	maxAbandonedBytes  = 4 * readBufferBytes // unread bytes kept of a paused connection whose peer has closed its side
	listenBacklog      = 4096                // completed connections the kernel may queue per listener
)
