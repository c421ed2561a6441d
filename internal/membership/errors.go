package membership

import (
	"fmt"
	"net/netip"
)

// IDCollisionError is returned for a worker whose id, a hash of its name, equals that of another worker.
type IDCollisionError struct {
	Existing, Name string
}

// Error implements error.
func (e *IDCollisionError) Error() string {
	return fmt.Sprintf("workers %q and %q have the same id: rename one", e.Existing, e.Name)
}

// UnlistedWorkerError is returned if the admin interface sets the state of a worker that no source lists and gives no address
// for it.
type UnlistedWorkerError struct {
	Name string
}

// Error implements error.
func (e *UnlistedWorkerError) Error() string {
	return fmt.Sprintf("worker %q is not listed: give its address", e.Name)
}

// AddressConflictError is returned if the admin interface gives an address for a worker that another source lists at a
// different one.
type AddressConflictError struct {
	Name   string
	Listed netip.AddrPort
}

// Error implements error.
func (e *AddressConflictError) Error() string {
	return fmt.Sprintf("worker %q is listed at %s: its address is changed where it is listed", e.Name, e.Listed)
}
