//go:build linux

package eventloop

import "golang.org/x/sys/unix"

// releaseReserve closes the reserve descriptor, so that one more connection can be accepted. It returns false if the
// reserve was closed already.
func (l *Loop) releaseReserve() bool {
	if l.reserveFD < 0 {
		return false
	}
	unix.Close(l.reserveFD)
	l.reserveFD = -1
	return true
}

// freeDescriptor makes a descriptor available when the process has none left, by closing the reserve or by asking the
// owner of the loop to close one. It reports whether it succeeded.
func (l *Loop) freeDescriptor() bool {
	if l.releaseReserve() {
		return true
	}
	return l.OnDescriptorShortage != nil && l.OnDescriptorShortage()
}

// restoreReserve opens the reserve descriptor if it is closed and the process has a descriptor left.
func (l *Loop) restoreReserve() {
	if l.reserveFD < 0 {
		l.reserveFD, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0) // -1 on failure, which is retried later
	}
}
