// Package lifecycle holds what the two ways to run a dispatcher, a settings file and the platform, have in common: the
// process's signals, the retries of a failed start or reload, and the time plan of a graceful shutdown. It decides when;
// its callers start, reload and stop.
package lifecycle

import (
	"errors"
	"syscall"
	"time"
)

// transientErrnos are the failures that other processes or the network cause: the same call may succeed a moment later.
var transientErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
	syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.EINTR, syscall.EAGAIN, syscall.EIO,
}

// IsTransient reports whether err wraps a system call's failure that may pass by itself, so that a retry makes sense.
func IsTransient(err error) bool {
	for _, errno := range transientErrnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// ErrStopRequested is returned by a start that a stop signal has ended before it was complete.
var ErrStopRequested = errors.New("stop requested before start")

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
