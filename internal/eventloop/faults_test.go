//go:build linux

package eventloop

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mastchute/internal/syscalls"
	"mastchute/internal/syscalls/faults"
)

// Accept that fails each time, whatever it says, is no busy loop, and who waits is served afterwards.
func TestFailingAcceptDoesNotSpin(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.ECONNABORTED, unix.EPERM, unix.EINTR, unix.ENFILE} {
		var fails atomic.Bool
		var calls atomic.Int64
		syscalls.Default = &faults.Kernel{Kernel: syscalls.Linux{}, Fail: func(c faults.Call, _ int) error {
			if c != faults.Accept || !fails.Load() {
				return nil
			}
			calls.Add(1)
			return errno
		}}
		l, do := running(t, 0)
		syscalls.Default = syscalls.Linux{}
		ln := listen(t, l, do, echo)
		fails.Store(true)
		var conns []net.Conn
		for range 5 {
			conns = append(conns, dial(t, ln))
		}
		time.Sleep(200 * time.Millisecond)
		if n := calls.Load(); n == 0 || n > 3000 {
			t.Errorf("%v: %d calls in 0.2 s", errno, n)
		}
		fails.Store(false)
		for _, c := range conns {
			c.Write([]byte("x"))
			if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
				t.Errorf("%v: %v", errno, err)
			}
		}
	}
}

// An idle loop that is given its processor counts no standstill.
func TestIdleLoopStandsNotStill(t *testing.T) {
	l, do := running(t, 0)
	ln := listen(t, l, do, echo)
	c := dial(t, ln)
	for range 12 {
		time.Sleep(31 * time.Millisecond)
		c.Write([]byte("x"))
		io.ReadFull(c, make([]byte, 1))
	}
	if n := l.Stats.Stalls.Load(); n > 1 { // one may be the machine's
		t.Errorf("%d standstills", n)
	}
}

// halfCloser answers a peer that has closed its side with more than the kernel takes at once.
type halfCloser struct {
	plain
	answer []byte
}

func (h *halfCloser) PeerClosed(c *Conn) {
	c.Write(h.answer)
	c.CloseFlushed()
}

// What is written to a peer that has closed its side goes out whole, however often the end of its side is told meanwhile.
func TestHalfClosedPeerGetsAll(t *testing.T) {
	l, do := running(t, 0)
	answer := make([]byte, 8<<20)
	ln := listen(t, l, do, func(*Conn) Handler { return &halfCloser{answer: answer} })
	c := dial(t, ln)
	c.(*net.TCPConn).CloseWrite()
	time.Sleep(100 * time.Millisecond)
	got, err := io.ReadAll(c)
	if err != nil || len(got) != len(answer) {
		t.Errorf("%d bytes of %d, %v", len(got), len(answer), err)
	}
	do(func() {
		if l.Lingering() > 0 {
			t.Errorf("%d connections linger", l.Lingering())
		}
	})
}
