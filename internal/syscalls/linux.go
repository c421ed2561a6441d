package syscalls

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Linux is the Kernel that makes real system calls.
type Linux struct{}

var _ Kernel = Linux{}

const socketFlags = unix.SOCK_NONBLOCK | unix.SOCK_CLOEXEC

// Socket implements Kernel.
func (Linux) Socket(domain, kind, protocol int) (int, error) {
	return unix.Socket(domain, kind|socketFlags, protocol)
}

// Connect implements Kernel.
func (Linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Bind implements Kernel.
func (Linux) Bind(fd int, at unix.Sockaddr) error { return unix.Bind(fd, at) }

// Listen implements Kernel.
func (Linux) Listen(fd, backlog int) error { return unix.Listen(fd, backlog) }

// Accept implements Kernel.
func (Linux) Accept(fd int) (int, unix.Sockaddr, error) { return unix.Accept4(fd, socketFlags) }

// Read implements Kernel.
func (Linux) Read(fd int, b []byte) (int, error) { return unix.Read(fd, b) }

// Write implements Kernel.
func (Linux) Write(fd int, b []byte) (int, error) { return unix.Write(fd, b) }

// Close implements Kernel.
func (Linux) Close(fd int) error { return unix.Close(fd) }

// EpollCreate implements Kernel.
func (Linux) EpollCreate() (int, error) { return unix.EpollCreate1(unix.EPOLL_CLOEXEC) }

// EpollControl implements Kernel.
func (Linux) EpollControl(epoll, operation, fd int, events uint32, tag int32) error {
	return unix.EpollCtl(epoll, operation, fd, &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: tag})
}

// EpollWait implements Kernel.
func (Linux) EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error) {
	return unix.EpollWait(epoll, events, ms)
}

// EventFD implements Kernel.
func (Linux) EventFD() (int, error) { return unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK) }

// ReadFile implements Kernel.
func (Linux) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// WallClock implements Kernel.
func (Linux) WallClock() time.Time { return time.Now() }
