// Package soak is a randomized soak test: real dispatcher processes on loopback between emulated clients, workers and a
// change log, with faults that overlap in time. All of it but the dispatchers is called the harness. A checker decides
// from the recorded traffic alone whether the guarantees in docs/promises.md held; it shares no code with the dispatcher.
// The same seed draws the same plan.
package soak

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"

	"mastchute/internal/soak/changelog"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	Terminate          FaultKind = "terminate"       // SIGTERM and a restart
	Kill               FaultKind = "kill"            // SIGKILL and a restart
	Reload             FaultKind = "reload"          // a burst of SIGHUP while the configuration file is half written
	Suspend            FaultKind = "standstill"      // SIGSTOP, and SIGCONT at the end
	DescriptorLimit    FaultKind = "descriptors"     // the limit on descriptors drops to the number in use
	AcceptFails        FaultKind = "accept_fails"    // ENFILE, ENOBUFS, ECONNABORTED, ...
	ConnectFails       FaultKind = "connect_fails"   // EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ...
	SocketFails        FaultKind = "socket_fails"    // ENFILE, ENOBUFS
	ReadFails          FaultKind = "read_fails"      // EINTR, ENOMEM, short reads
	WriteFails         FaultKind = "write_fails"     // EINTR, ENOBUFS, short writes
	EpollFails         FaultKind = "epoll_fails"     // ENOMEM, ENOSPC
	FileFails          FaultKind = "file_fails"      // EIO, EMFILE while the configuration is read
	ClockStep          FaultKind = "clock_step"      // the wall clock steps by seconds or by an hour
	WorkerHangs        FaultKind = "worker_hangs"    // reads requests and sends no responses
	WorkerStopsReading FaultKind = "worker_deaf"     // does not read from its connections
	WorkerResets       FaultKind = "worker_resets"   // resets connections, idle or with requests in flight
	WorkerCorrupts     FaultKind = "worker_spoils"   // sends garbage, or truncated, late or duplicate responses, or responses for unknown ids
	WorkerRefuses      FaultKind = "worker_refuses"  // resets new connections
	WorkerLeaves       FaultKind = "worker_leaves"   // drains and ends, and a new process starts at its address
	LinkSlow           FaultKind = "link_slow"       // responses are delayed and sent byte by byte
	ChangeLogFails     FaultKind = "change_log_fail" // the change log resets connections, does not respond or truncates responses
	ClientsCancel      FaultKind = "clients_cancel"  // many clients cancel requests or disconnect
	ClientsFlood       FaultKind = "clients_flood"   // many connections that send nothing, garbage or half a message

	DiscoveryOutage FaultKind = "discovery_outage" // the change log is unavailable for longer than outageNotificationDelay
	WorkerDrains    FaultKind = "worker_drains"    // drains, keeps running until the end of the fault, then a new process starts
	SignalSeries    FaultKind = "signal_series"    // SIGTERM among other signals, and a restart

	WorkerReplaced FaultKind = "worker_replaced" // ends, and a process of another group starts at its address; the change log tells later
)

// FaultKinds lists all kinds of fault.
var FaultKinds = []FaultKind{Terminate, Kill, Reload, Suspend, DescriptorLimit, AcceptFails, ConnectFails, SocketFails, ReadFails, WriteFails,
	EpollFails, FileFails, ClockStep, WorkerHangs, WorkerStopsReading, WorkerResets, WorkerCorrupts, WorkerRefuses, WorkerLeaves, LinkSlow,
	ChangeLogFails, ClientsCancel, ClientsFlood}

// ReplacementKinds lists the kinds of fault that DrawReplacements draws in addition to those of FaultKinds.
var ReplacementKinds = []FaultKind{WorkerReplaced, DiscoveryOutage}

// OutageKinds lists the kinds of fault that DrawOutage draws in addition to those of FaultKinds.
var OutageKinds = []FaultKind{DiscoveryOutage, WorkerDrains, SignalSeries}

// needsSyscallFaults reports whether a kind needs dispatchers built with -tags faults, which inject faults into system
// calls.
func (k FaultKind) needsSyscallFaults() bool {
	switch k {
	case AcceptFails, ConnectFails, SocketFails, ReadFails, WriteFails, EpollFails, FileFails, ClockStep:
		return true
	}
	return false
}

// targetsWorker reports whether a kind affects one worker.
func (k FaultKind) targetsWorker() bool {
	switch k {
	case WorkerHangs, WorkerStopsReading, WorkerResets, WorkerCorrupts, WorkerRefuses, WorkerLeaves, LinkSlow, WorkerDrains, WorkerReplaced:
		return true
	}
	return false
}

// targetsAll reports whether a kind affects all dispatchers.
func (k FaultKind) targetsAll() bool { return k == ChangeLogFails || k == DiscoveryOutage }

// Fault is one fault of a plan. From and To are in seconds of the plan; Target is the index of a dispatcher or a
// worker, depending on the kind.
type Fault struct {
	Kind     FaultKind
	Target   int
	From, To float64
	Amount   float64 // probability, clock step in s or variant, depending on the kind
	Errno    syscall.Errno
}

// String describes the fault in one line.
func (f Fault) String() string {
	s := fmt.Sprintf("%s at %d %.2f-%.2f s", f.Kind, f.Target, f.From, f.To)
	if f.Errno != 0 {
		s += " " + unix.ErrnoName(f.Errno)
	}
	if f.Amount != 0 {
		s += fmt.Sprintf(" by %.2f", f.Amount)
	}
	return s
}

// overlaps reports whether the fault is active at some time between from and to.
func (f Fault) overlaps(from, to float64) bool { return f.To > from && f.From < to }

// The values of Fault.Amount for ChangeLogFails.
const (
	changeLogRefuses = iota
	changeLogSilent
	changeLogTruncates
	changeLogFailVariantCount
)

// The values of Fault.Amount for DiscoveryOutage.
const (
	OutageRefuses     = iota // connections of polls are reset
	OutageSilent             // polls get no response
	OutageUnavailable        // polls get status 503
	OutageTruncates          // responses are truncated in the middle
	OutageTrickles           // responses are sent byte by byte and never completed
	OutageStale              // responses have a lower sequence number than the poll
	outageVariantCount
)

// Site holds the sizes and settings of a run: of its dispatchers, workers and clients. Times are in seconds.
type Site struct {
	Dispatchers, Workers      int
	Deadline, Window, Grace   float64 // of requests, of deduplication, of drains
	ConnectTimeout, ConnIdle  float64
	Streams, Sockets          int
	RetryAfter, Hedge, Cancel bool
	Scope                     string // of deduplication: "all", "zone" or "cell"

	Capacity        int     // concurrent requests of a worker, beyond which it rejects; 0 for no limit
	RunTime         float64 // mean run time of a request; 0 for defaultRunTime
	Clients         int     // per dispatcher; 0 for clientsPerDispatcher
	RequestInterval float64 // mean between the requests of one client; 0 for meanRequestInterval
}

// workerGroups is the number of groups of workers. Those of one group are in one zone and one cell.
const workerGroups = 2

// place returns where the workers of a group stand.
func (s Site) place(group int) changelog.Place {
	switch s.Scope {
	case scopeZone:
		return changelog.Place{Zone: fmt.Sprintf("z%d", group), Cell: 1}
	case scopeCell:
		return changelog.Place{Zone: "z", Cell: 1 + group}
	}
	return changelog.Place{Zone: "z", Cell: 1}
}

// The scopes of deduplication.
const (
	scopeAll  = "all"
	scopeZone = "zone"
	scopeCell = "cell"
)

// clients returns the number of clients of each dispatcher.
func (s Site) clients() int {
	if s.Clients > 0 {
		return s.Clients
	}
	return clientsPerDispatcher
}

// workerRate returns how many requests per second a worker can run if its capacity is limited.
func (s Site) workerRate() float64 {
	runTime := s.RunTime
	if runTime == 0 {
		runTime = defaultRunTime
	}
	return float64(s.Capacity) / runTime
}

// servableShare returns the share of the offered requests that all workers together can run, at most 1.
func (s Site) servableShare() float64 {
	if s.Capacity == 0 {
		return 1
	}
	offered := float64(s.Dispatchers*s.clients()) / s.requestInterval()
	return min(1, float64(s.Workers)*s.workerRate()/offered)
}

// requestInterval returns the mean time between the requests of one client.
func (s Site) requestInterval() float64 {
	if s.RequestInterval > 0 {
		return s.RequestInterval
	}
	return meanRequestInterval
}

// Plan describes one run.
type Plan struct {
	Seed     uint64
	Duration float64 // seconds with faults; recoveryTime follows
	Site     Site
	Faults   []Fault
}

// Bounds limits the plans that Draw and DrawOutage draw. DrawOutage uses Dispatchers only.
type Bounds struct {
	Dispatchers   int
	Duration      float64
	Kinds         []FaultKind // empty for all
	SyscallFaults bool        // the dispatchers are built with -tags faults
}
