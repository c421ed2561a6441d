//go:build linux

package eventloop

import "golang.org/x/sys/unix"

// releaseReserve closes the reserve descriptor, so that one more connection can be accepted. It reports whether there
// was one.
func (l *Loop) releaseReserve() bool {
	if l.reserveFD < 0 {
		return false
	}
	unix.Close(l.reserveFD)
	l.reserveFD = -1
	return true
}

// freeDescriptor makes a descriptor available when the process has none left: the reserve one, or one that the owner of the
// loop closes. It reports whether there is one now.
func (l *Loop) freeDescriptor() bool {
	if l.releaseReserve() {
		return true
	}
	return l.OnDescriptorShortage != nil && l.OnDescriptorShortage()
}

// restoreReserve opens a reserve descriptor again, if there is none and the process has one left.
func (l *Loop) restoreReserve() {
	if l.reserveFD < 0 {
		l.reserveFD, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0) // -1 on failure: tried again later
	}
}
