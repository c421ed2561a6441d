// Package faults is a kernel that fails as Linux documents: for tests, by a function, and for the fault soak, by a plan
// of spans in time that a process reads from its environment. The release build does not contain it.
package faults

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls"
)

// Call names a system call.
type Call string

// The calls that can fail.
const (
	Socket       Call = "socket"
	Connect      Call = "connect"
	Bind         Call = "bind"
	Listen       Call = "listen"
	Accept       Call = "accept"
	Read         Call = "read"
	Write        Call = "write"
	EpollCreate  Call = "epoll_create"
	EpollControl Call = "epoll_ctl"
	EpollWait    Call = "epoll_wait"
	EventFD      Call = "eventfd"
	ReadFile     Call = "open"
)

// Kernel wraps another one. Fail is asked before each call; an error it returns is the call's. Short, where set, is asked
// for the most bytes that a read or a write may take. Offset is what the wall clock is off by. All may be nil.
type Kernel struct {
	syscalls.Kernel
	Fail   func(c Call, fd int) error
	Short  func(c Call, fd, n int) int
	Offset func() time.Duration
}

func (k *Kernel) fail(c Call, fd int) error {
	if k.Fail == nil {
		return nil
	}
	return k.Fail(c, fd)
}

func (k *Kernel) short(c Call, fd int, b []byte) []byte {
	if k.Short == nil || len(b) == 0 {
		return b
	}
	return b[:max(1, min(len(b), k.Short(c, fd, len(b))))]
}

// Socket implements sys.Kernel, as the methods below do.
func (k *Kernel) Socket(domain, kind, protocol int) (int, error) {
	if err := k.fail(Socket, -1); err != nil {
		return -1, err
	}
	return k.Kernel.Socket(domain, kind, protocol)
}

// Connect implements sys.Kernel. EINTR is told of a connection that comes up all the same.
func (k *Kernel) Connect(fd int, to unix.Sockaddr) error {
	err := k.fail(Connect, fd)
	if err == nil {
		return k.Kernel.Connect(fd, to)
	}
	if err == unix.EINTR {
		k.Kernel.Connect(fd, to)
	}
	return err
}

// Bind implements sys.Kernel.
func (k *Kernel) Bind(fd int, at unix.Sockaddr) error {
	if err := k.fail(Bind, fd); err != nil {
		return err
	}
	return k.Kernel.Bind(fd, at)
}

// Listen implements sys.Kernel.
func (k *Kernel) Listen(fd, backlog int) error {
	if err := k.fail(Listen, fd); err != nil {
		return err
	}
	return k.Kernel.Listen(fd, backlog)
}

// Accept implements sys.Kernel.
func (k *Kernel) Accept(fd int) (int, unix.Sockaddr, error) {
	if err := k.fail(Accept, fd); err != nil {
		return -1, nil, err
	}
	return k.Kernel.Accept(fd)
}

// Read implements sys.Kernel.
func (k *Kernel) Read(fd int, b []byte) (int, error) {
	if err := k.fail(Read, fd); err != nil {
		return -1, err
	}
	return k.Kernel.Read(fd, k.short(Read, fd, b))
}

// Write implements sys.Kernel.
func (k *Kernel) Write(fd int, b []byte) (int, error) {
	if err := k.fail(Write, fd); err != nil {
		return -1, err
	}
	return k.Kernel.Write(fd, k.short(Write, fd, b))
}

// EpollCreate implements sys.Kernel.
func (k *Kernel) EpollCreate() (int, error) {
	if err := k.fail(EpollCreate, -1); err != nil {
		return -1, err
	}
	return k.Kernel.EpollCreate()
}

// EpollControl implements sys.Kernel.
func (k *Kernel) EpollControl(epoll, operation, fd int, events uint32, tag int32) error {
	if err := k.fail(EpollControl, fd); err != nil {
		return err
	}
	return k.Kernel.EpollControl(epoll, operation, fd, events, tag)
}

// EpollWait implements sys.Kernel.
func (k *Kernel) EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error) {
	if err := k.fail(EpollWait, epoll); err != nil {
		return -1, err
	}
	return k.Kernel.EpollWait(epoll, events, ms)
}

// EventFD implements sys.Kernel.
func (k *Kernel) EventFD() (int, error) {
	if err := k.fail(EventFD, -1); err != nil {
		return -1, err
	}
	return k.Kernel.EventFD()
}

// ReadFile implements sys.Kernel.
func (k *Kernel) ReadFile(path string) ([]byte, error) {
	if err := k.fail(ReadFile, -1); err != nil {
		return nil, err
	}
	return k.Kernel.ReadFile(path)
}

// WallClock implements sys.Kernel.
func (k *Kernel) WallClock() time.Time {
	now := k.Kernel.WallClock()
	if k.Offset != nil {
		now = now.Add(k.Offset())
	}
	return now
}

// Span is a time in which a call fails, or the wall clock is off. From and To are seconds of the plan.
type Span struct {
	Call   Call          `json:"call,omitempty"`
	Errno  syscall.Errno `json:"errno,omitempty"`
	From   float64       `json:"from"`
	To     float64       `json:"to"`
	Chance float64       `json:"chance,omitempty"` // of each call in the span
	Short  int           `json:"short,omitempty"`  // bytes that reads and writes take at most
	Step   float64       `json:"step,omitempty"`   // s that the wall clock is off by
}

// Plan is what fails when. Origin is the plan's second 0 on the system's monotonic clock, in ns.
type Plan struct {
	Origin int64  `json:"origin"`
	Seed   uint64 `json:"seed"`
	Spans  []Span `json:"spans"`
}

// MonotonicNow reads the system's monotonic clock, the same in all processes, in ns.
func MonotonicNow() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // documented to fail for bad arguments only
	}
	return t.Nano()
}

// Install makes the plan in text, in JSON, the kernel of this process.
func Install(text string) error {
	var p Plan
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return fmt.Errorf("plan of faults: %w", err)
	}
	syscalls.Default = p.Kernel(syscalls.Linux{})
	return nil
}

// Kernel returns a kernel that fails as planned.
func (p Plan) Kernel(under syscalls.Kernel) *Kernel {
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(p.Seed, 0))
	at := func() float64 { return float64(MonotonicNow()-p.Origin) / 1e9 }
	k := &Kernel{Kernel: under}
	k.Fail = func(c Call, _ int) error {
		now := at()
		for _, s := range p.Spans {
			if s.Call != c || now < s.From || now >= s.To {
				continue
			}
			mu.Lock()
			hit := rnd.Float64() < s.Chance
			mu.Unlock()
			if hit {
				return s.Errno
			}
		}
		return nil
	}
	k.Short = func(c Call, _, n int) int {
		now := at()
		for _, s := range p.Spans {
			if s.Short > 0 && s.Call == c && now >= s.From && now < s.To {
				n = min(n, s.Short)
			}
		}
		return n
	}
	k.Offset = func() (off time.Duration) {
		now := at()
		for _, s := range p.Spans {
			if s.Step != 0 && now >= s.From && now < s.To {
				off += time.Duration(s.Step * 1e9)
			}
		}
		return off
	}
	return k
}
