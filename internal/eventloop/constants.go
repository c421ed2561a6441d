//go:build linux

package eventloop

// Bounds on what one turn may do, so that no connection or source of events starves the others.
const (
	readBufferBytes      = 64 << 10 // bytes a single read system call may return
	maxEventsPerPoll     = 512      // ready descriptors returned by one epoll_wait
	maxFollowUpPolls     = 8        // further polls in a row while each one fills the event buffer
	maxTimersPerTurn     = 4096     // timers fired in one pass; the others wait for the next
	maxAcceptsPerTurn    = 64       // connections accepted from one listener per readiness event
	maxPostedPerTurn     = 1024     // posted functions run before timers; the others are deferred within the turn
	maxRoundsPerTurn     = 8        // rounds of deferred work, AfterEvents and writes in one turn
	maxExtraPollsPerTurn = 2        // polls repeated within one turn because the previous one is stale; see pollIsStale
	maxCatchUpReads      = 16       // reads of a full buffer from one connection while catching up
	maxCallsPerRound     = 1024     // reads or writes of one connection in a row, which may be short or fail
	maxImmediateRetries  = 32       // failures in a row, for lack of kernel memory, of a read or write before a backoff
)

// Times, in seconds.
const (
	maxPollWait = 0.04 // longest epoll_wait; a longer gap between polls shows that the process stalled
	// arrivalSlack is the longest gap between two polls that is not counted as a stall. Arrival times are estimated this
	// much later than the earliest possible time, so a deadline computed from one can be late by this much or slightly
	// more.
	arrivalSlack = 0.1
	// maxPollAge is the age of the latest poll above which the loop polls again before the writes of a turn.
	maxPollAge          = 0.05
	maxRoundTime        = 0.01  // time for the reads or writes of one connection in a row, after the first
	localFailureBackoff = 0.01  // delay before a socket, connect or epoll_ctl call that failed for lack of local resources is retried
	minBackoff          = 0.001 // first pause of a connection whose reads or writes fail for lack of memory; doubled each time
	maxBackoff          = 0.01  // longest such pause
	minAcceptBackoff    = 0.005 // first pause in accepting for lack of local resources; doubled each time
	maxAcceptBackoff    = 0.05  // longest such pause; clients are waiting meanwhile
	capacityBackoff     = 0.01  // pause in accepting while the owner of the listener reports that it has no capacity
	flushTimeout        = 30    // time for a closing connection to send its queued bytes, after which it is closed anyway
	lingerTimeout       = 1.0   // further time for the peer to close its side, so that no reset discards the last response
)

// Memory and kernel resources.
const (
	initialBufferBytes     = 4 << 10             // capacity of a new buffer
	maxRecycledBufferBytes = 64 << 10            // larger buffers are left to the garbage collector
	maxFreeBuffers         = 256                 // buffers kept for reuse
	maxBufferedWhilePaused = 4 * readBufferBytes // bytes buffered for a paused connection whose peer has closed its side
	listenBacklog          = 4096                // connections in the accept queue of a listener
)
