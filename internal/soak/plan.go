// Package soak is a randomized fault soak: real dispatcher processes on loopback between stand-in clients, workers and a
// change log, with troubles that overlap in time, and an oracle that judges by what the sockets carried. It shares no code
// with the dispatcher. The same seed draws the same plan.
package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls/faults"
)

// Kind names a kind of trouble.
type Kind string

// The kinds of trouble.
const (
	Terminate     Kind = "terminate"       // SIGTERM, and a start anew
	Kill          Kind = "kill"            // SIGKILL, and a start anew
	Reload        Kind = "reload"          // SIGHUP in a burst, the file half written at first
	Standstill    Kind = "standstill"      // SIGSTOP and SIGCONT
	Descriptors   Kind = "descriptors"     // the limit on descriptors falls to what is in use
	AcceptFails   Kind = "accept_fails"    // ENFILE, ENOBUFS, ECONNABORTED, ...
	ConnectFails  Kind = "connect_fails"   // EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ...
	SocketFails   Kind = "socket_fails"    // ENFILE, ENOBUFS
	ReadFails     Kind = "read_fails"      // EINTR, ENOMEM, short reads
	WriteFails    Kind = "write_fails"     // EINTR, ENOBUFS, short writes
	EpollFails    Kind = "epoll_fails"     // ENOMEM, ENOSPC
	FileFails     Kind = "file_fails"      // EIO, EMFILE while the configuration is read
	ClockStep     Kind = "clock_step"      // the wall clock steps, by seconds or an hour
	WorkerHangs   Kind = "worker_hangs"    // reads and answers nothing
	WorkerDeaf    Kind = "worker_deaf"     // does not read
	WorkerResets  Kind = "worker_resets"   // resets connections under requests, or idle ones
	WorkerSpoils  Kind = "worker_spoils"   // noise, cut answers, answers twice or under other ids
	WorkerRefuses Kind = "worker_refuses"  // accepts nothing
	WorkerLeaves  Kind = "worker_leaves"   // drains, goes, and a new one comes at its address
	LinkSlow      Kind = "link_slow"       // late, and in single bytes
	LogFails      Kind = "change_log_fail" // the change log is down, silent or cuts answers
	ClientsCancel Kind = "clients_cancel"  // many take requests back or close
	ClientsFlood  Kind = "clients_flood"   // silent connections, garbage, half messages
)

// Kinds are all kinds of trouble.
var Kinds = []Kind{Terminate, Kill, Reload, Standstill, Descriptors, AcceptFails, ConnectFails, SocketFails, ReadFails, WriteFails, EpollFails,
	FileFails, ClockStep, WorkerHangs, WorkerDeaf, WorkerResets, WorkerSpoils, WorkerRefuses, WorkerLeaves, LinkSlow, LogFails, ClientsCancel,
	ClientsFlood}

// Trouble is one trouble in time. From and To are seconds of the plan; Target is a dispatcher or a worker.
type Trouble struct {
	Kind     Kind
	Target   int
	From, To float64
	Amount   float64
	Errno    syscall.Errno
}

func (t Trouble) String() string {
	s := fmt.Sprintf("%s at %d %.2f-%.2f s", t.Kind, t.Target, t.From, t.To)
	if t.Errno != 0 {
		s += " " + unix.ErrnoName(t.Errno)
	}
	if t.Amount != 0 {
		s += fmt.Sprintf(" by %.2f", t.Amount)
	}
	return s
}

// Site is what the settings of a run say, in seconds.
type Site struct {
	Dispatchers, Workers      int
	Deadline, Window, Grace   float64
	ConnectTimeout, ConnIdle  float64
	Streams, Sockets          int
	RetryAfter, Hedge, Cancel bool
}

// Plan is one run.
type Plan struct {
	Seed     uint64
	Span     float64 // s of trouble; a quiet time follows
	Site     Site
	Troubles []Trouble
}

// Bounds say what may be drawn.
type Bounds struct {
	Dispatchers int
	Span        float64
	Only        []Kind // none means all
	Shims       bool   // the dispatchers are built with faults
}

const (
	firstTrouble = 0.7 // s until the first trouble
	troubleEvery = 0.4 // s of the span for each trouble, times the square root of the dispatchers
)

func pick[T any](rnd *rand.Rand, of ...T) T { return of[rnd.IntN(len(of))] }

// Draw draws a plan. Each run leaves some kinds out, so that others meet more often.
func Draw(seed uint64, b Bounds) Plan {
	rnd := rand.New(rand.NewPCG(seed, 7))
	p := Plan{Seed: seed, Span: b.Span}
	p.Site = Site{Dispatchers: b.Dispatchers, Workers: 4 + rnd.IntN(6), Deadline: pick(rnd, 0.1, 0.25, 0.6, 1.2, 2.5), Window: pick(rnd, 0.05, 0.2, 1, 3),
		Grace: pick(rnd, 0.3, 1), ConnectTimeout: pick(rnd, 0.02, 0.05, 0.25, 1, 5), ConnIdle: pick(rnd, 0.6, 5, 15), Streams: pick(rnd, 1, 4, 32),
		Sockets: pick(rnd, 64, 128, 256), RetryAfter: rnd.IntN(2) == 0, Hedge: rnd.IntN(4) > 0, Cancel: true}
	kinds := b.Only
	if len(kinds) == 0 {
		for _, k := range Kinds {
			if rnd.IntN(2) == 0 && (b.Shims || !k.shim()) {
				kinds = append(kinds, k)
			}
		}
		if len(kinds) < 2 {
			kinds = []Kind{Terminate, Standstill, WorkerResets}
		}
	}
	n := int(b.Span / troubleEvery)
	if b.Dispatchers > 6 {
		n *= 2
	}
	for range n {
		p.Troubles = append(p.Troubles, draw(rnd, pick(rnd, kinds...), p.Site, b.Span))
	}
	return p
}

// shim tells whether a kind needs dispatchers built with faults.
func (k Kind) shim() bool {
	switch k {
	case AcceptFails, ConnectFails, SocketFails, ReadFails, WriteFails, EpollFails, FileFails, ClockStep:
		return true
	}
	return false
}

// ofWorker tells whether a kind befalls a worker.
func (k Kind) ofWorker() bool {
	switch k {
	case WorkerHangs, WorkerDeaf, WorkerResets, WorkerSpoils, WorkerRefuses, WorkerLeaves, LinkSlow:
		return true
	}
	return false
}

// everywhere tells whether a kind befalls all.
func (k Kind) everywhere() bool { return k == LogFails }

func draw(rnd *rand.Rand, k Kind, s Site, span float64) Trouble {
	t := Trouble{Kind: k, Target: rnd.IntN(s.Dispatchers), From: firstTrouble + rnd.Float64()*(span-firstTrouble)}
	if k.ofWorker() {
		t.Target = rnd.IntN(s.Workers)
	}
	length := 0.1 + 0.9*rnd.Float64()
	switch k {
	case Standstill:
		length = pick(rnd, 0.2, 0.6, 1.1)
	case AcceptFails:
		t.Errno, t.Amount = pick(rnd, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ECONNABORTED, unix.EINTR, unix.EPROTO), pick(rnd, 0.5, 1)
	case ConnectFails:
		t.Errno = pick(rnd, unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.EINTR, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EAGAIN, unix.ECONNREFUSED)
		t.Amount = pick(rnd, 0.5, 1)
	case SocketFails:
		t.Errno, t.Amount = pick(rnd, unix.ENFILE, unix.ENOBUFS, unix.EMFILE), pick(rnd, 0.5, 1)
	case ReadFails:
		t.Errno, t.Amount = pick(rnd, unix.EINTR, unix.EINTR, unix.ENOMEM, unix.ENOBUFS), pick(rnd, 0.3, 0.9)
	case WriteFails:
		t.Errno, t.Amount = pick(rnd, unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM), pick(rnd, 0.3, 0.9)
	case EpollFails:
		t.Errno, t.Amount = pick(rnd, unix.ENOMEM, unix.ENOSPC), pick(rnd, 0.5, 1)
	case FileFails:
		t.Errno, t.Amount = pick(rnd, unix.EIO, unix.EMFILE, unix.EINTR, unix.ENOMEM), 1
	case ClockStep:
		t.Amount, length = pick(rnd, -3600.0, -4, 4, 3600), 1+2*rnd.Float64()
	case WorkerLeaves, Terminate, Kill, Reload:
		length = 0.05
	case LogFails:
		t.Amount = float64(rnd.IntN(3)) // refuses, silent, cut
		length = 0.3 + 1.5*rnd.Float64()
	}
	t.To = t.From + length
	return t
}

// spans are the faults that a dispatcher's kernel plays.
func (p Plan) spans(dispatcher int) (out []faults.Span) {
	for _, t := range p.Troubles {
		if !t.Kind.shim() || t.Target != dispatcher {
			continue
		}
		add := func(c faults.Call) {
			out = append(out, faults.Span{Call: c, Errno: t.Errno, From: t.From, To: t.To, Chance: t.Amount})
		}
		switch t.Kind {
		case AcceptFails:
			add(faults.Accept)
		case ConnectFails:
			add(faults.Connect)
		case SocketFails:
			add(faults.Socket)
		case ReadFails:
			add(faults.Read)
			out = append(out, faults.Span{Call: faults.Read, From: t.From, To: t.To, Short: 7})
		case WriteFails:
			add(faults.Write)
			out = append(out, faults.Span{Call: faults.Write, From: t.From, To: t.To, Short: 11})
		case EpollFails:
			add(faults.EpollControl)
		case FileFails:
			add(faults.ReadFile)
		case ClockStep:
			out = append(out, faults.Span{From: t.From, To: t.To, Step: t.Amount})
		}
	}
	return out
}
