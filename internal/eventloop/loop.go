//go:build linux

// Package eventloop implements a single-threaded event loop on epoll: non-blocking TCP sockets, timers kept in a heap,
// and wake-ups from other goroutines through an eventfd. It handles descriptors and bytes and does not interpret them.
//
// # Concurrency
//
// Run locks its goroutine to an operating system thread. Everything except Post, Stop, Clock and Stats must be called
// on the loop: from handlers, timers, and posted or deferred functions. Connections, listeners and timers belong to
// their loop.
//
// # Turns
//
// A turn polls epoll, dispatches the events, runs posted functions and due timers, calls AfterEvents, and then writes
// the bytes queued on connections. The work per connection and turn is bounded (one read, more only when the loop has to
// catch up), so that no connection starves the others.
//
// # Arrival times
//
// The process can stall at any point, because it is not scheduled or is stopped by a signal, while bytes keep arriving in
// the kernel and clients' timeouts keep running. The loop therefore estimates when bytes arrived instead of using the time
// at which it read them; see Conn.ReceivedAt and arrival.go.
package eventloop

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls"
)

// Handler receives the events of one connection. Its methods are called on the loop.
type Handler interface {
	// Connected is called when a dialled connection is established.
	Connected(c *Conn)
	// Received is called with all bytes that have been read and not yet consumed, and returns the number of bytes that it
	// consumed. b is valid only during the call. The remaining bytes are passed again together with the next ones, or
	// after Resume or Redeliver.
	Received(c *Conn, b []byte) (used int)
	// Flushed is called when the kernel has accepted all written bytes after a partial write, or after NotifyFlushed.
	Flushed(c *Conn)
	// Closed is called exactly once, when the peer closes the connection (io.EOF), the connection fails, or it cannot be
	// established. It is not called after Close, Abort or CloseFlushed.
	Closed(c *Conn, err error)
}

// Stats are the counters and gauges of a loop. They are safe to read from any goroutine.
type Stats struct {
	Connections         atomic.Int64 // open connections, dialled ones included
	Accepted            atomic.Int64 // connections accepted so far
	Dialled             atomic.Int64 // connections dialled so far
	DescriptorShortages atomic.Int64 // accept calls that failed for lack of descriptors or kernel memory
	Turns               atomic.Int64 // turns completed
	LocalFailures       atomic.Int64 // other system calls that failed for lack of local resources
	Stalls              atomic.Int64 // polls that ended more than arrivalSlack after the previous one
	TimerLatenessNs     atomic.Int64 // delay between the due time of the latest timer and its firing, ns
	LongestTurnNs       atomic.Int64 // duration of the longest turn so far, ns
}

// Loop is an event loop. Create it with New and run it with Run on a goroutine of its own.
type Loop struct {
	// AfterEvents is called after the events of a turn and before its writes. It may be nil.
	AfterEvents func()
	// OnDescriptorShortage is called when the process has no descriptor left. It may close one, and reports whether it
	// did. It may be nil.
	OnDescriptorShortage func() bool
	// OnStall is called after a stall of the process, with its duration, once all events that arrived during the stall
	// have been dispatched. It may be nil.
	OnStall func(seconds float64)
	// Stats are updated by the loop.
	Stats Stats

	kernel         syscalls.Kernel
	start          time.Time // zero of the loop's clock
	wallClockStart float64   // wall clock at start, s since 1970
	now            float64   // clock as of the latest poll, s
	timers         timerHeap
	stopped        bool

	connCount      int
	lingeringCount int // of connCount, the connections being ended by CloseFlushed
	maxConns       int // 0: no limit
	listeners      []*Listener

	// Polling and registration.
	epollFD             int
	wakeFD              int         // eventfd that wakes the loop after Post
	wakePending         atomic.Bool // wakeFD has been written and not yet read
	reserveFD           int         // spare descriptor, closed to accept a connection when no other is left; -1 if closed
	descriptors         []registration
	generation          int32 // of the latest registration
	failedRegistrations []registrationRef
	registrationTimer   Timer // retries failedRegistrations
	events              [maxEventsPerPoll]unix.EpollEvent
	polls               pollHistory

	writes       batchQueue[*Conn] // connections with bytes to write
	redeliveries batchQueue[*Conn] // connections whose unconsumed bytes are passed to Received again
	deferred     batchQueue[func()]
	postedMutex  sync.Mutex         // guards posted, except the batch being run, and closed
	posted       batchQueue[func()] // added by any goroutine
	closed       bool               // wakeFD has been closed

	readBuffer  []byte // contents are valid during one call of Received
	freeBuffers [][]byte
}

// New returns a loop that holds at most maxConns connections, dialled ones included; 0 means that only the number of
// descriptors limits them. The caller must run the loop with Run or release it with Close.
func New(maxConns int) (*Loop, error) {
	kernel := syscalls.Default
	epollFD, err := kernel.EpollCreate()
	if err != nil {
		return nil, fmt.Errorf("create epoll instance: %w", err)
	}
	wakeFD, err := kernel.EventFD()
	if err != nil {
		unix.Close(epollFD)
		return nil, fmt.Errorf("create eventfd: %w", err)
	}
	loop := &Loop{
		kernel:         kernel,
		epollFD:        epollFD,
		wakeFD:         wakeFD,
		start:          time.Now(),
		wallClockStart: wallClockSeconds(kernel),
		readBuffer:     make([]byte, readBufferBytes),
		reserveFD:      -1,
		maxConns:       maxConns,
	}
	if err := kernel.EpollControl(epollFD, unix.EPOLL_CTL_ADD, wakeFD, unix.EPOLLIN, wakeTag); err != nil {
		unix.Close(epollFD)
		unix.Close(wakeFD)
		return nil, fmt.Errorf("add eventfd to epoll: %w", err)
	}
	loop.registrationTimer.Fire = loop.retryRegistrations
	loop.restoreReserve()
	return loop, nil
}

// Now returns the loop's clock: seconds since New, as of the latest poll.
func (l *Loop) Now() float64 { return l.now }

// Clock reads the clock and returns the seconds since New. It is safe for use from any goroutine.
func (l *Loop) Clock() float64 { return time.Since(l.start).Seconds() }

// WallClock relates the wall clock to the loop's clock. It returns the wall-clock time at which the loop's clock was 0, in
// seconds since 1970: as read at that moment, and as computed from the present wall clock. The two differ if the wall
// clock was stepped in between.
func (l *Loop) WallClock() (atStart, now float64) {
	return l.wallClockStart, wallClockSeconds(l.kernel) - l.Clock()
}

func wallClockSeconds(kernel syscalls.Kernel) float64 {
	return float64(kernel.WallClock().UnixNano()) / 1e9
}

// LingeringCount returns the number of connections that CloseFlushed is closing. Their handlers receive no more events,
// but each still holds a descriptor.
func (l *Loop) LingeringCount() int { return l.lingeringCount }

// HasUnsentResponses reports whether a connection that CloseFlushed is closing has bytes that the kernel has not accepted.
func (l *Loop) HasUnsentResponses() bool {
	if l.lingeringCount == 0 {
		return false
	}
	for _, r := range l.descriptors {
		if r.conn != nil && r.conn.lingering && r.conn.UnsentBytes() > 0 {
			return true
		}
	}
	return false
}

// Close releases the descriptors of a loop that has never run. Run releases them itself.
func (l *Loop) Close() {
	for fd, r := range l.descriptors {
		if r.conn != nil || r.listener != nil {
			l.kernel.Close(fd)
		}
	}
	l.postedMutex.Lock()
	l.closed = true
	l.postedMutex.Unlock()
	for _, fd := range []int{l.epollFD, l.wakeFD, l.reserveFD} {
		if fd >= 0 {
			unix.Close(fd)
		}
	}
	l.descriptors = nil
}
