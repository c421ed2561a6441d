// Package syscalls is the interface between the program and Linux: the system calls of the event loop, the wall clock, and
// reads of configuration files. Tests and the fault soak replace the implementation to inject faults.
package syscalls

import (
	"time"

	"golang.org/x/sys/unix"
)

// Kernel is the set of system calls that the program depends on. Except for ReadFile, they return the errors that Linux
// documents as unwrapped syscall.Errno values. Sockets, accepted ones included, and event descriptors are non-blocking and
// closed on exec. Implementations are safe for concurrent use.
type Kernel interface {
	Socket(domain, kind, protocol int) (fd int, err error)
	Connect(fd int, to unix.Sockaddr) error
	Bind(fd int, at unix.Sockaddr) error
	Listen(fd, backlog int) error
	Accept(fd int) (conn int, peer unix.Sockaddr, err error)
	Read(fd int, b []byte) (int, error)
	Write(fd int, b []byte) (int, error)
	// Close closes a descriptor, which is released even if an error is returned.
	Close(fd int) error
	EpollCreate() (int, error)
	// EpollControl adds, changes or removes a descriptor; tag is returned in the Pad field of its events.
	EpollControl(epoll, operation, fd int, events uint32, tag int32) error
	// EpollWait waits for events for at most the given number of milliseconds.
	EpollWait(epoll int, events []unix.EpollEvent, ms int) (int, error)
	EventFD() (int, error)
	ReadFile(path string) ([]byte, error)
	// WallClock returns the time of the system's wall clock, which may be stepped.
	WallClock() time.Time
}

// Default is the Kernel that new event loops use and that reads configuration files. It must not be changed while another
// goroutine may read it.
var Default Kernel = Linux{}
