package faults

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls"
)

// TraceKernel writes one line for each system call on a connection or listener to a trace: the time in seconds since the
// origin of the plan, the call, its descriptor and its result. It is meant to wrap a Kernel that injects faults, so that the
// trace shows the results that the program got.
type TraceKernel struct {
	syscalls.Kernel
	origin int64 // ns, as of MonotonicNow

	mutex  sync.Mutex // guards output
	output io.Writer
}

var _ syscalls.Kernel = (*TraceKernel)(nil)

// NewTraceKernel returns a Kernel that traces the calls of another one.
func NewTraceKernel(underlying syscalls.Kernel, origin int64, output io.Writer) *TraceKernel {
	return &TraceKernel{Kernel: underlying, origin: origin, output: output}
}

// installTrace makes syscalls.Default trace its calls to a file, to which it appends. It must be called before
// syscalls.Default is used.
func installTrace(path string, origin int64) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open system call trace: %w", err)
	}
	syscalls.Default = NewTraceKernel(syscalls.Default, origin, file)
	return nil
}

// trace writes one line. A line that cannot be written is lost: the trace must not disturb the program.
func (k *TraceKernel) trace(c Call, fd, result int, err error, detail string) {
	outcome := fmt.Sprint(result)
	if err != nil {
		outcome = err.Error()
	}
	at := float64(MonotonicNow()-k.origin) / 1e9
	k.mutex.Lock()
	defer k.mutex.Unlock()
	fmt.Fprintf(k.output, "%.6f %s fd=%d %s %s\n", at, c, fd, outcome, detail)
}

// addressText returns the text of a socket address, "-" if it is not an IPv4 address.
func addressText(address unix.Sockaddr) string {
	v4, ok := address.(*unix.SockaddrInet4)
	if !ok {
		return "-"
	}
	return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port)).String()
}

// Connect implements syscalls.Kernel.
func (k *TraceKernel) Connect(fd int, to unix.Sockaddr) error {
	err := k.Kernel.Connect(fd, to)
	k.trace(Connect, fd, 0, err, addressText(to))
	return err
}

// Accept implements syscalls.Kernel.
func (k *TraceKernel) Accept(fd int) (int, unix.Sockaddr, error) {
	conn, peer, err := k.Kernel.Accept(fd)
	k.trace(Accept, fd, conn, err, addressText(peer))
	return conn, peer, err
}

// Read implements syscalls.Kernel.
func (k *TraceKernel) Read(fd int, b []byte) (int, error) {
	n, err := k.Kernel.Read(fd, b)
	k.trace(Read, fd, n, err, fmt.Sprintf("%q", b[:max(0, n)]))
	return n, err
}

// Write implements syscalls.Kernel.
func (k *TraceKernel) Write(fd int, b []byte) (int, error) {
	n, err := k.Kernel.Write(fd, b)
	k.trace(Write, fd, n, err, fmt.Sprintf("%q", b[:max(0, n)]))
	return n, err
}

// Close implements syscalls.Kernel.
func (k *TraceKernel) Close(fd int) error {
	unread := unreadBytes(fd)
	err := k.Kernel.Close(fd)
	k.trace(Close, fd, 0, err, fmt.Sprintf("unread=%d", unread))
	return err
}

// EpollControl implements syscalls.Kernel.
func (k *TraceKernel) EpollControl(epoll, operation, fd int, events uint32, tag int32) error {
	err := k.Kernel.EpollControl(epoll, operation, fd, events, tag)
	k.trace(EpollControl, fd, 0, err, fmt.Sprintf("operation=%d events=%#x", operation, events))
	return err
}

// unreadBytes returns how many bytes a descriptor's receive buffer holds, 0 if it has none.
func unreadBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}
