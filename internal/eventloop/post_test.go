//go:build linux

package eventloop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// Post and Stop after the end of the loop write nothing to the descriptor that has the number of the wake-up descriptor by
// then.
func TestPostAfterEndWritesNothing(t *testing.T) {
	l, err := New(0)
	if err != nil {
		t.Fatal(err)
	}
	l.Stop()
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	readEnd, writeEnd := newPipe(t)
	if err := unix.Dup3(writeEnd, l.wakeFD, unix.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	defer unix.Close(l.wakeFD)
	l.Post(func() { t.Error("a function was called after the end of the loop") })
	l.Stop()
	var b [8]byte
	if n, err := unix.Read(readEnd, b[:]); err != unix.EAGAIN {
		t.Errorf("%d bytes were written to another descriptor, %v", n, err)
	}
}

// newPipe returns the ends of a non-blocking pipe, under descriptor numbers that the loops of a test do not use.
func newPipe(t *testing.T) (readEnd, writeEnd int) {
	t.Helper()
	const firstNumber = 200
	var pipe, ends [2]int
	if err := unix.Pipe2(pipe[:], unix.O_NONBLOCK|unix.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	for i, fd := range pipe {
		end, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, firstNumber)
		if err != nil {
			t.Fatal(err)
		}
		unix.Close(fd)
		t.Cleanup(func() { unix.Close(end) })
		ends[i] = end
	}
	return ends[0], ends[1]
}
