// Package lifecycle contains what the two ways to run a dispatcher, from a settings file and on the platform, have in common:
// signal handling, retries of a failed start or reload, and the schedule of a graceful shutdown. It determines when these
// happen; its callers perform the start, reload and stop.
package lifecycle

import (
	"errors"
	"syscall"
	"time"
)

// transientErrnos are errors that other processes or the network may cause, so that the same call may succeed later.
var transientErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.EINTR, syscall.EAGAIN, syscall.EIO,
}

// IsTransient reports whether err wraps a system call error that may be temporary, so that a retry makes sense.
func IsTransient(err error) bool {
	for _, errno := range transientErrnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// ErrStopRequested is returned by a start that was interrupted by a stop signal.
var ErrStopRequested = errors.New("stop requested before start")

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
