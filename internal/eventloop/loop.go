//go:build linux

// Package eventloop is an event loop on epoll: one locked thread, non-blocking sockets, timers in a heap, and wake-ups
// from other goroutines by eventfd. It knows descriptors and bytes, and nothing of what they mean.
//
// Everything but Post, Stop and Stats is to be called on the loop only: from handlers, timers and posted functions.
// A turn waits, hears what is ready, fires what is due, calls OnTurn, and then writes what was queued. What one
// connection may do in a turn is bounded (one read, more where the loop has to catch up), so that none starves another.
package eventloop

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls"
)

const (
	readBufferBytes      = 64 << 10 // bytes read from one connection in a turn
	maxEventsPerPoll     = 512      // ready descriptors heard in a turn
	maxTimersPerTurn     = 4096     // timers fired in a turn; the rest wait for the next
	maxAcceptsPerTurn    = 64       // connections accepted from one listener in a turn
	maxPostedPerTurn     = 1024     // posted functions run in a turn
	maxRoundsPerTurn     = 8        // rounds of OnTurn in one turn while each brings new events
	minAcceptBackoff     = 0.005    // s without accepting after the kernel had no means for it; doubles
	maxAcceptBackoff     = 0.05     // s, the most of it: clients wait meanwhile
	capacityBackoff      = 0.01     // s without accepting while there is no room for another connection
	localFailureBackoff  = 0.01     // s after a system call failed for want of the machine's means until it is tried again
	maxPollWait          = 0.04     // s that a wait lasts at most, so that a standstill shows
	arrivalSlack         = 0.1      // s between two looks that count as none: deadlines may be so much too long, and a little more
	maxPollAge           = 0.05     // s since the latest look after which there is another one before anything goes out
	maxExtraPollsPerTurn = 2        // of those in a turn
	maxFollowUpPolls     = 8        // looks in a row while each tells of as many events as fit
	maxCatchUpReads      = 16       // reads of one connection in a turn that has to catch up, or whose peer has closed
	maxRecycledBuffer    = 64 << 10 // bytes: larger buffers go back to the collector
	lingerTimeout        = 1.0      // s an ended connection may take to close its side, so that the last answer is not reset
	maxFreeBuffers       = 256      // buffers kept for reuse
	listenBacklog        = 4096     // connections the kernel may hold for a listener
)

// ErrConnectTimeout ends a dialled connection that did not come up in time; nothing was written to it.
var ErrConnectTimeout = errors.New("connect timed out")

// Handler hears of one connection. Its methods run on the loop.
type Handler interface {
	// Opened tells that a dialled connection is up.
	Connected(c *Conn)
	// Data gets all bytes read and not yet used, and returns how many it used. b is valid for this call only. The
	// rest comes again with the next bytes, or after Resume.
	Received(c *Conn, b []byte) (used int)
	// Drained tells that all written bytes have gone to the kernel, after some could not go at once, or after
	// NotifyDrained.
	Flushed(c *Conn)
	// Closed tells, exactly once, that the connection ended by the peer (io.EOF), by an error, or did not come up.
	// It is not called after Close or CloseFlushed.
	Closed(c *Conn, err error)
}

// Stats counts, for operators; all fields grow but Conns.
type Stats struct {
	Connections, Accepted, Dialled, DescriptorShortages, Turns atomic.Int64
	LocalFailures                                              atomic.Int64 // system calls that failed for want of the machine's means
	Stalls                                                     atomic.Int64 // looks that came late by more than arrivalSlack
	LateNs                                                     atomic.Int64 // how late the latest due timer fired, ns
	TurnNs                                                     atomic.Int64 // longest turn so far, ns
}

// Loop is one event loop. Make it by New, run it by Run on a goroutine of its own.
type Loop struct {
	AfterEvents func() // called after the events of a turn and before its writes; may be nil
	// OnShortage is asked to free a descriptor of this process, and tells whether it did; may be nil.
	OnDescriptorShortage func() bool
	// OnStandstill hears, after all that came in was heard, that the process stood still for about so many seconds; may be nil.
	OnStall func(span float64)
	Stats   Stats

	kernel            syscalls.Kernel
	epollFD, wakeFD   int
	start             time.Time
	wallStart         float64 // s since 1970 by the wall clock at second 0
	now               float64
	timers            timerHeap
	descriptors       []registration
	generation        int32
	readBuffer        []byte
	freeBuffers       [][]byte
	pendingWrites     []*Conn
	runningWrites     []*Conn
	pendingRedelivery []*Conn
	runningRedelivery []*Conn
	deferred          []func() // called on this loop in this turn, after what is at hand
	runningDeferred   []func()
	mu                sync.Mutex
	posted            []func()
	runningPosted     []func()
	wakePending       atomic.Bool
	stopped           bool
	reserveFD         int // a descriptor kept back to accept and refuse when there are none left
	connCount         int
	lingeringCount    int // of them, those that CloseFlushed ends
	maxConns          int
	listeners         []*Listener

	events               [maxEventsPerPoll]unix.EpollEvent
	polledUntil          float64 // what is not heard by then had not come in at this time
	previousPolledUntil  float64 // the same of the look before
	pollCount            int64
	catchingUp           bool // the loop stood still before its latest look
	refusedRegistrations []registrationRef
	registrationTimer    Timer
	backingOff           []*Conn
	backoffTimer         Timer
}

// New makes a loop that holds at most maxConns connections, dialled ones included; 0 means no limit but the
// descriptors'.
func New(maxConns int) (*Loop, error) {
	kernel := syscalls.Default
	ep, err := kernel.EpollCreate()
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wake, err := kernel.EventFD()
	if err != nil {
		unix.Close(ep)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{kernel: kernel, epollFD: ep, wakeFD: wake, start: time.Now(), wallStart: wallSeconds(kernel), readBuffer: make([]byte, readBufferBytes), reserveFD: -1, maxConns: maxConns}
	if err := kernel.EpollControl(ep, unix.EPOLL_CTL_ADD, wake, unix.EPOLLIN, -1); err != nil {
		unix.Close(ep)
		unix.Close(wake)
		return nil, fmt.Errorf("epoll: %w", err)
	}
	l.registrationTimer.Fire, l.backoffTimer.Fire = l.retryRegistrations, l.resumeBackedOff
	l.restoreReserve()
	return l, nil
}

// Now is the loop's clock: seconds since New, as of this turn's start.
func (l *Loop) Now() float64 { return l.now }

// Clock reads the clock afresh: seconds since New. Safe from any goroutine.
func (l *Loop) Clock() float64 { return time.Since(l.start).Seconds() }

// WallClock relates the wall clock, in seconds since 1970, to the loop's: what it told at the loop's second 0, and what
// it would have told then by how it goes now. They differ where it was stepped since.
func (l *Loop) WallClock() (atStart, now float64) {
	return l.wallStart, wallSeconds(l.kernel) - l.Clock()
}

func wallSeconds(k syscalls.Kernel) float64 { return float64(k.WallClock().UnixNano()) / 1e9 }

// Start sets the timer to fire after the given seconds; a pending one is moved.
func (l *Loop) Start(t *Timer, after float64) { l.timers.start(t, l.now+math.Max(0, after)) }

// Cancel stops a timer; a stopped one stays so.
func (l *Loop) Cancel(t *Timer) { l.timers.stop(t) }

// Defer calls f on this loop after what is at hand, within this turn.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// Post calls f on the loop, soon. Safe from any goroutine; it never blocks. After the loop has ended f is not called.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	if l.wakePending.CompareAndSwap(false, true) {
		var one = [8]byte{1}
		for {
			if _, err := l.kernel.Write(l.wakeFD, one[:]); err != unix.EINTR {
				break // the heartbeat hears of it in any case
			}
		}
	}
}

// Lingering is how many connections are being ended by CloseFlushed: their handlers have forgotten them, and each still
// holds a descriptor.
func (l *Loop) Lingering() int { return l.lingeringCount }

// Close gives back the descriptors of a loop that never ran.
func (l *Loop) Close() { l.close() }

// Stop ends Run after the turn in flight. Safe from any goroutine.
func (l *Loop) Stop() { l.Post(func() { l.stopped = true }) }

// Run turns until Stop. It locks its goroutine to a thread and closes every descriptor of the loop at the end.
func (l *Loop) Run() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer l.close()
	for !l.stopped {
		if err := l.pollEvents(l.pollTimeout()); err != nil {
			return fmt.Errorf("epoll: %w", err)
		}
		began := l.now
		l.runTurn()
		if took := int64((l.Clock() - began) * 1e9); took > l.Stats.TurnNs.Load() {
			l.Stats.TurnNs.Store(took)
		}
		l.Stats.Turns.Add(1)
	}
	return nil
}

// pollTimeout is how long the wait may take, in ms.
func (l *Loop) pollTimeout() int {
	if len(l.deferred) > 0 || len(l.pendingWrites) > 0 || len(l.pendingRedelivery) > 0 {
		return 0
	}
	wait := maxPollWait
	if len(l.timers.items) > 0 {
		wait = math.Min(wait, math.Max(0, l.timers.items[0].at-l.Clock()))
	}
	return int(math.Ceil(wait * 1e3))
}

// runTurn goes on from what was heard. Nothing goes out before all is heard that came in while the process stood still.
func (l *Loop) runTurn() {
	l.runPosted()
	l.runTimers()
	looks := 0
	for range maxRoundsPerTurn {
		l.runDeferred()
		l.runRedelivery()
		if l.AfterEvents != nil {
			l.AfterEvents()
		}
		if len(l.pendingWrites) > 0 && looks < maxExtraPollsPerTurn && l.pollIsStale() {
			looks++
			if l.pollEvents(0) == nil {
				l.runTimers()
				continue
			}
		}
		l.flushWrites()
		if len(l.deferred) == 0 && len(l.pendingRedelivery) == 0 {
			break
		}
	}
}

func (l *Loop) runTimers() {
	for range maxTimersPerTurn {
		t := l.timers.popDue(l.now)
		if t == nil {
			break
		}
		l.Stats.LateNs.Store(int64((l.now - t.at) * 1e9))
		t.Fire()
	}
}

func (l *Loop) runPosted() {
	l.mu.Lock()
	l.posted, l.runningPosted = l.runningPosted[:0], l.posted
	l.mu.Unlock()
	for i, f := range l.runningPosted {
		if i >= maxPostedPerTurn {
			l.deferred = append(l.deferred, f)
		} else {
			f()
		}
		l.runningPosted[i] = nil
	}
}

func (l *Loop) runDeferred() {
	l.deferred, l.runningDeferred = l.runningDeferred[:0], l.deferred
	for i, f := range l.runningDeferred {
		f()
		l.runningDeferred[i] = nil
	}
}

func (l *Loop) runRedelivery() {
	l.pendingRedelivery, l.runningRedelivery = l.runningRedelivery[:0], l.pendingRedelivery
	for i, c := range l.runningRedelivery {
		l.runningRedelivery[i] = nil
		c.redeliveryPending = false
		if c.fd >= 0 && !c.paused && !c.lingering && len(c.in) > 0 {
			c.deliver(nil)
		}
	}
}

func (l *Loop) flushWrites() {
	l.pendingWrites, l.runningWrites = l.runningWrites[:0], l.pendingWrites // what is written meanwhile waits for the next round
	for i, c := range l.runningWrites {
		l.runningWrites[i] = nil
		c.writePending = false
		if c.fd >= 0 {
			c.flush()
		}
	}
}

func (l *Loop) close() {
	for fd, e := range l.descriptors {
		if e.conn != nil || e.listener != nil {
			unix.Close(fd)
		}
	}
	for _, fd := range []int{l.epollFD, l.wakeFD, l.reserveFD} {
		if fd >= 0 {
			unix.Close(fd)
		}
	}
	l.descriptors = nil
}

// takeBuffer returns an empty buffer to grow; give takes it back.
func (l *Loop) takeBuffer() []byte {
	if n := len(l.freeBuffers); n > 0 {
		b := l.freeBuffers[n-1]
		l.freeBuffers = l.freeBuffers[:n-1]
		return b
	}
	return make([]byte, 0, 4<<10)
}

func (l *Loop) recycleBuffer(b []byte) {
	if cap(b) > 0 && cap(b) <= maxRecycledBuffer && len(l.freeBuffers) < maxFreeBuffers {
		l.freeBuffers = append(l.freeBuffers, b[:0])
	}
}
