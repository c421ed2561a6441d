//go:build linux

package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// ErrConnectTimeout is the error of a dialled connection that was not established in time. Nothing was written to it.
var ErrConnectTimeout = errors.New("connect timed out")

// LocalError is the error of a dialled connection that could not be attempted for lack of local resources, such as
// descriptors or ports. It says nothing about the peer, and nothing was written.
type LocalError struct{ Err error }

// Error implements error.
func (e *LocalError) Error() string {
	return "local resource shortage: " + e.Err.Error()
}

// Unwrap returns the error of the system call.
func (e *LocalError) Unwrap() error { return e.Err }

// isLocalError reports whether an error of socket or connect is caused by this machine and not by the peer.
func isLocalError(err error) bool {
	switch err {
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.EAGAIN:
		return true
	}
	return false
}

// isRetriable reports whether a failed connect may succeed when retried: after local errors, and while the network is
// down, which is likely to affect all peers.
func isRetriable(err error) bool {
	return isLocalError(err) || err == unix.ENETUNREACH || err == unix.ENETDOWN
}
