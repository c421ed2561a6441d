package faults

import (
	"bufio"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"sync"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls"
)

// traceBufferBytes is the size of the buffer for lines that are not yet written.
const traceBufferBytes = 1 << 20

// TraceKernel writes one line for each connect, accept, read, write and close to a trace: the time in seconds since the
// origin of the plan, the call, its descriptor and its result. It is meant to wrap a Kernel that injects faults, so that the
// trace shows the results that the program got.
type TraceKernel struct {
	syscalls.Kernel
	origin int64 // ns, as of MonotonicNow

	mutex  sync.Mutex // guards the fields below
	output *bufio.Writer
	line   []byte // of the latest call
}

var _ syscalls.Kernel = (*TraceKernel)(nil)

// NewTraceKernel returns a Kernel that traces the calls of another one.
func NewTraceKernel(underlying syscalls.Kernel, origin int64, output io.Writer) *TraceKernel {
	return &TraceKernel{Kernel: underlying, origin: origin, output: bufio.NewWriterSize(output, traceBufferBytes)}
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

// trace writes one line. A line that cannot be written is lost: the trace must not disturb the program. Lines are buffered
// until a close, so that they slow the program down little.
func (k *TraceKernel) trace(c Call, fd, result int, err error, detail string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	line := strconv.AppendFloat(k.line[:0], float64(MonotonicNow()-k.origin)/1e9, 'f', 6, 64)
	line = append(line, ' ')
	line = append(line, c...)
	line = append(line, " fd="...)
	line = strconv.AppendInt(line, int64(fd), 10)
	line = append(line, ' ')
	if err != nil {
		line = append(line, err.Error()...)
	} else {
		line = strconv.AppendInt(line, int64(result), 10)
	}
	line = append(line, ' ')
	line = append(line, detail...)
	k.line = append(line, '\n')
	k.output.Write(k.line)
	if c == Close {
		k.output.Flush()
	}
}

// quote returns the first n bytes of b as a quoted string, empty if n is not positive.
func quote(b []byte, n int) string {
	if n <= 0 {
		return ""
	}
	return strconv.Quote(string(b[:n]))
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
	k.trace(Read, fd, n, err, quote(b, n))
	return n, err
}

// Write implements syscalls.Kernel.
func (k *TraceKernel) Write(fd int, b []byte) (int, error) {
	n, err := k.Kernel.Write(fd, b)
	k.trace(Write, fd, n, err, quote(b, n))
	return n, err
}

// Close implements syscalls.Kernel.
func (k *TraceKernel) Close(fd int) error {
	unread := unreadBytes(fd)
	err := k.Kernel.Close(fd)
	k.trace(Close, fd, 0, err, "unread="+strconv.Itoa(unread))
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
