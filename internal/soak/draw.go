package soak

import (
	"math/rand/v2"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls/faults"
)

const (
	firstFaultAt       = 0.7 // s
	secondsPerFault    = 0.4 // s of the plan for each fault
	doubleFaultsAbove  = 6   // dispatchers, beyond which a plan has twice as many faults
	minFaultKinds      = 2
	instantFaultSpan   = 0.05 // s, for faults that are single events
	shortReadBytes     = 7
	shortWriteBytes    = 11
	planRandomStream   = 7   // stream of the random source for Draw
	minClockStepSpan   = 1.0 // s
	clockStepSpanRange = 2.0 // s above the minimum
)

func pick[T any](rnd *rand.Rand, choices ...T) T { return choices[rnd.IntN(len(choices))] }

// Draw draws a plan from a seed. Each plan leaves out some kinds of fault, so that the others coincide more often.
func Draw(seed uint64, b Bounds) Plan {
	rnd := rand.New(rand.NewPCG(seed, planRandomStream))
	p := Plan{Seed: seed, Duration: b.Duration, Site: drawSite(rnd, b)}
	kinds := drawKinds(rnd, b)
	count := int(b.Duration / secondsPerFault)
	if b.Dispatchers > doubleFaultsAbove {
		count *= 2
	}
	for range count {
		p.Faults = append(p.Faults, drawFault(rnd, pick(rnd, kinds...), p.Site, b.Duration))
	}
	return p
}

func drawSite(rnd *rand.Rand, b Bounds) Site {
	return Site{Dispatchers: b.Dispatchers, Workers: 4 + rnd.IntN(6), Deadline: pick(rnd, 0.1, 0.25, 0.6, 1.2, 2.5), Window: pick(rnd, 0.05, 0.2, 1, 3),
		Grace: pick(rnd, 0.3, 1), ConnectTimeout: pick(rnd, 0.02, 0.05, 0.25, 1, 5), ConnIdle: pick(rnd, 0.6, 5, 15), Streams: pick(rnd, 1, 4, 32),
		Sockets: pick(rnd, 64, 128, 256), RetryAfter: rnd.IntN(2) == 0, Hedge: rnd.IntN(4) > 0, Cancel: true}
}

func drawKinds(rnd *rand.Rand, b Bounds) []FaultKind {
	if len(b.Kinds) > 0 {
		return b.Kinds
	}
	var kinds []FaultKind
	for _, k := range FaultKinds {
		if rnd.IntN(2) == 0 && (b.SyscallFaults || !k.needsSyscallFaults()) {
			kinds = append(kinds, k)
		}
	}
	if len(kinds) < minFaultKinds {
		return []FaultKind{Terminate, Suspend, WorkerResets}
	}
	return kinds
}

// drawFault draws one fault of a plan of the given duration. The order of the draws must not change, so that a seed
// keeps its plan.
func drawFault(rnd *rand.Rand, kind FaultKind, s Site, duration float64) Fault {
	f := Fault{Kind: kind, Target: rnd.IntN(s.Dispatchers), From: firstFaultAt + rnd.Float64()*(duration-firstFaultAt)}
	if kind.targetsWorker() {
		f.Target = rnd.IntN(s.Workers)
	}
	length := 0.1 + 0.9*rnd.Float64()
	switch kind {
	case Suspend:
		length = pick(rnd, 0.2, 0.6, 1.1)
	case ClockStep:
		f.Amount = pick(rnd, -3600.0, -4, 4, 3600)
		length = minClockStepSpan + clockStepSpanRange*rnd.Float64()
	case WorkerLeaves, Terminate, Kill, Reload, SignalSeries:
		length = instantFaultSpan
	case ChangeLogFails:
		f.Amount = float64(rnd.IntN(changeLogFailVariantCount))
		length = 0.3 + 1.5*rnd.Float64()
	default:
		f.Errno, f.Amount = drawErrno(rnd, kind)
	}
	f.To = f.From + length
	return f
}

// drawErrno draws the error and the probability of failing system calls. Both are 0 for other kinds.
func drawErrno(rnd *rand.Rand, kind FaultKind) (errno unix.Errno, probability float64) {
	switch kind {
	case AcceptFails:
		errno = pick(rnd, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EMFILE, unix.ECONNABORTED, unix.EINTR, unix.EPROTO)
		return errno, pick(rnd, 0.5, 1)
	case ConnectFails:
		errno = pick(rnd, unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.EINTR, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EAGAIN, unix.ECONNREFUSED)
		return errno, pick(rnd, 0.5, 1)
	case SocketFails:
		errno = pick(rnd, unix.ENFILE, unix.ENOBUFS, unix.EMFILE)
		return errno, pick(rnd, 0.5, 1)
	case ReadFails:
		errno = pick(rnd, unix.EINTR, unix.EINTR, unix.ENOMEM, unix.ENOBUFS)
		return errno, pick(rnd, 0.3, 0.9)
	case WriteFails:
		errno = pick(rnd, unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM)
		return errno, pick(rnd, 0.3, 0.9)
	case EpollFails:
		errno = pick(rnd, unix.ENOMEM, unix.ENOSPC)
		return errno, pick(rnd, 0.5, 1)
	case FileFails:
		return pick(rnd, unix.EIO, unix.EMFILE, unix.EINTR, unix.ENOMEM), 1
	}
	return 0, 0
}

// failingCalls maps a kind of fault to the system call that fails.
var failingCalls = map[FaultKind]faults.Call{
	AcceptFails:  faults.Accept,
	ConnectFails: faults.Connect,
	SocketFails:  faults.Socket,
	ReadFails:    faults.Read,
	WriteFails:   faults.Write,
	EpollFails:   faults.EpollControl,
	FileFails:    faults.ReadFile,
}

// syscallFaults returns the faults that a dispatcher built with -tags faults injects into its own system calls.
func (p Plan) syscallFaults(dispatcher int) (spans []faults.Fault) {
	for _, f := range p.Faults {
		if !f.Kind.needsSyscallFaults() || f.Target != dispatcher {
			continue
		}
		if f.Kind == ClockStep {
			spans = append(spans, faults.Fault{From: f.From, To: f.To, ClockOffset: f.Amount})
			continue
		}
		call := failingCalls[f.Kind]
		spans = append(spans, faults.Fault{Call: call, Errno: f.Errno, From: f.From, To: f.To, Probability: f.Amount})
		switch f.Kind {
		case ReadFails:
			spans = append(spans, faults.Fault{Call: call, From: f.From, To: f.To, MaxBytes: shortReadBytes})
		case WriteFails:
			spans = append(spans, faults.Fault{Call: call, From: f.From, To: f.To, MaxBytes: shortWriteBytes})
		}
	}
	return spans
}
