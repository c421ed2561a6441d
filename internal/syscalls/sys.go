// Package syscalls is the seam between the program and Linux: the system calls of the event loop, the wall clock, and the
// reading of configuration files. Tests and the fault soak put a Kernel of their own in its place.
package syscalls

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Kernel is the set of system calls that the program depends on. Errors are as Linux documents them.
type Kernel interface {
	Socket(domain, kind, protocol int) (fd int, err error)
	Connect(fd int, to unix.Sockaddr) error
	Bind(fd int, at unix.Sockaddr) error
	Listen(fd, backlog int) error
	Accept(fd int) (conn int, peer unix.Sockaddr, err error)
	Read(fd int, b []byte) (int, error)
	Write(fd int, b []byte) (int, error)
	EpollCreate() (int, error)
	EpollControl(epoll, operation, fd int, events uint32, tag int32) error
	EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error)
	EventFD() (int, error)
	ReadFile(path string) ([]byte, error)
	WallClock() time.Time
}

// Default is the kernel of loops made from now on, and of files read.
var Default Kernel = Linux{}

// Linux is the real one.
type Linux struct{}

const socketFlags = unix.SOCK_NONBLOCK | unix.SOCK_CLOEXEC

// Socket makes a non-blocking socket.
func (Linux) Socket(domain, kind, protocol int) (int, error) {
	return unix.Socket(domain, kind|socketFlags, protocol)
}

// Connect begins a connection.
func (Linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Bind gives a socket its address.
func (Linux) Bind(fd int, at unix.Sockaddr) error { return unix.Bind(fd, at) }

// Listen opens a socket for connections.
func (Linux) Listen(fd, backlog int) error { return unix.Listen(fd, backlog) }

// Accept takes the first waiting connection, non-blocking.
func (Linux) Accept(fd int) (int, unix.Sockaddr, error) { return unix.Accept4(fd, socketFlags) }

// Read reads what is there.
func (Linux) Read(fd int, b []byte) (int, error) { return unix.Read(fd, b) }

// Write writes what there is room for.
func (Linux) Write(fd int, b []byte) (int, error) { return unix.Write(fd, b) }

// EpollCreate makes an epoll descriptor.
func (Linux) EpollCreate() (int, error) { return unix.EpollCreate1(unix.EPOLL_CLOEXEC) }

// EpollControl adds, changes or removes a descriptor; tag comes back in the event's Pad.
func (Linux) EpollControl(epoll, operation, fd int, events uint32, tag int32) error {
	return unix.EpollCtl(epoll, operation, fd, &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: tag})
}

// EpollWait waits for events.
func (Linux) EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error) {
	return unix.EpollWait(epoll, events, ms)
}

// EventFD makes a non-blocking event descriptor.
func (Linux) EventFD() (int, error) { return unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK) }

// ReadFile reads a whole file.
func (Linux) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// WallClock is the system's time of day, which may step.
func (Linux) WallClock() time.Time { return time.Now() }
