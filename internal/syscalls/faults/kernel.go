// Package faults injects faults that Linux documents into system calls. Tests define the faults by functions; the fault
// soak defines them by a plan that a process reads from its environment. Release builds do not contain this package.
package faults

import (
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls"
)

// Call is the name of a system call.
type Call string

// The system calls that can fail.
const (
	Socket       Call = "socket"
	Connect      Call = "connect"
	Bind         Call = "bind"
	Listen       Call = "listen"
	Accept       Call = "accept"
	Read         Call = "read"
	Write        Call = "write"
	Close        Call = "close" // traced only: a close that fails releases its descriptor all the same
	EpollCreate  Call = "epoll_create"
	EpollControl Call = "epoll_ctl"
	EpollWait    Call = "epoll_wait"
	EventFD      Call = "eventfd"
	ReadFile     Call = "open"
)

// Kernel injects faults into another Kernel. Its functions are called on the goroutines that make the system calls. They
// may be nil.
type Kernel struct {
	syscalls.Kernel
	// Fail is called before each system call with its descriptor, or -1 if it has none. If it returns an error, the call
	// fails with that error and is not passed on to the underlying Kernel.
	Fail func(c Call, fd int) error
	// MaxBytes returns the maximum number of bytes that a Read or Write of n bytes may transfer.
	MaxBytes func(c Call, fd, n int) int
	// ClockOffset returns the offset that is added to the wall clock.
	ClockOffset func() time.Duration
}

func (k *Kernel) injectedError(c Call, fd int) error {
	if k.Fail == nil {
		return nil
	}
	return k.Fail(c, fd)
}

// limitLength returns the part of b that a Read or Write may transfer: at least one byte unless b is empty.
func (k *Kernel) limitLength(c Call, fd int, b []byte) []byte {
	if k.MaxBytes == nil || len(b) == 0 {
		return b
	}
	return b[:max(1, min(len(b), k.MaxBytes(c, fd, len(b))))]
}

// Socket implements syscalls.Kernel.
func (k *Kernel) Socket(domain, kind, protocol int) (int, error) {
	if err := k.injectedError(Socket, -1); err != nil {
		return -1, err
	}
	return k.Kernel.Socket(domain, kind, protocol)
}

// Connect implements syscalls.Kernel. After an injected EINTR the connect continues in the kernel, as it does on Linux.
func (k *Kernel) Connect(fd int, to unix.Sockaddr) error {
	err := k.injectedError(Connect, fd)
	if err == nil {
		return k.Kernel.Connect(fd, to)
	}
	if err == unix.EINTR {
		k.Kernel.Connect(fd, to)
	}
	return err
}

// Bind implements syscalls.Kernel.
func (k *Kernel) Bind(fd int, at unix.Sockaddr) error {
	if err := k.injectedError(Bind, fd); err != nil {
		return err
	}
	return k.Kernel.Bind(fd, at)
}

// Listen implements syscalls.Kernel.
func (k *Kernel) Listen(fd, backlog int) error {
	if err := k.injectedError(Listen, fd); err != nil {
		return err
	}
	return k.Kernel.Listen(fd, backlog)
}

// Accept implements syscalls.Kernel.
func (k *Kernel) Accept(fd int) (int, unix.Sockaddr, error) {
	if err := k.injectedError(Accept, fd); err != nil {
		return -1, nil, err
	}
	return k.Kernel.Accept(fd)
}

// Read implements syscalls.Kernel.
func (k *Kernel) Read(fd int, b []byte) (int, error) {
	if err := k.injectedError(Read, fd); err != nil {
		return -1, err
	}
	return k.Kernel.Read(fd, k.limitLength(Read, fd, b))
}

// Write implements syscalls.Kernel.
func (k *Kernel) Write(fd int, b []byte) (int, error) {
	if err := k.injectedError(Write, fd); err != nil {
		return -1, err
	}
	return k.Kernel.Write(fd, k.limitLength(Write, fd, b))
}

// EpollCreate implements syscalls.Kernel.
func (k *Kernel) EpollCreate() (int, error) {
	if err := k.injectedError(EpollCreate, -1); err != nil {
		return -1, err
	}
	return k.Kernel.EpollCreate()
}

// EpollControl implements syscalls.Kernel.
func (k *Kernel) EpollControl(epoll, operation, fd int, events uint32, tag int32) error {
	if err := k.injectedError(EpollControl, fd); err != nil {
		return err
	}
	return k.Kernel.EpollControl(epoll, operation, fd, events, tag)
}

// EpollWait implements syscalls.Kernel.
func (k *Kernel) EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error) {
	if err := k.injectedError(EpollWait, epoll); err != nil {
		return -1, err
	}
	return k.Kernel.EpollWait(epoll, events, ms)
}

// EventFD implements syscalls.Kernel.
func (k *Kernel) EventFD() (int, error) {
	if err := k.injectedError(EventFD, -1); err != nil {
		return -1, err
	}
	return k.Kernel.EventFD()
}

// ReadFile implements syscalls.Kernel.
func (k *Kernel) ReadFile(path string) ([]byte, error) {
	if err := k.injectedError(ReadFile, -1); err != nil {
		return nil, err
	}
	return k.Kernel.ReadFile(path)
}

// WallClock implements syscalls.Kernel.
func (k *Kernel) WallClock() time.Time {
	now := k.Kernel.WallClock()
	if k.ClockOffset != nil {
		now = now.Add(k.ClockOffset())
	}
	return now
}
