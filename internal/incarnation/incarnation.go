// Package incarnation decides which worker process, or incarnation, a connection leads to. It does no I/O and reads no
// clock; times are seconds of one monotonic clock.
//
// An entry of the endpoint list, an address, and the process that accepts connections there part when workers are replaced.
// An attempt reaches the process at the other end of its connection, whatever the entry for which it was meant. While the
// endpoint list is known to be complete, that process counts as the one of the entry. Later, another process may have
// taken the address: a connection that was established before shows that the process is still the same, and a new one shows
// only that something listens.
package incarnation

import (
	"math"
	"slices"
)

// maxListDelay is the longest time, in seconds, from the replacement of a process until the endpoint list shows it.
const maxListDelay = 7.0

// AlwaysComplete is the time until which a list is known to be complete if it may be relied on now.
var AlwaysComplete = math.Inf(1)

// Address is what is known of the processes at one network address.
type Address struct {
	lostAt float64       // when a connection was last lost or refused, -Inf for never
	open   []*Connection // not yet closed
}

// NewAddress returns an address to which no connection has been opened.
func NewAddress() *Address { return &Address{lostAt: math.Inf(-1)} }

// Connect records that a connection to the address is being opened.
func (a *Address) Connect() *Connection {
	connection := &Connection{address: a, establishedAt: math.Inf(1), lostBefore: a.lostAt}
	a.open = append(a.open, connection)
	return connection
}

// LeadsToListed reports whether the process of the listed entry is certainly reached: by an open connection, or by a new
// one. listCompleteAt is the time until which the endpoint list is known to be complete.
func (a *Address) LeadsToListed(listCompleteAt float64) bool {
	if math.IsInf(listCompleteAt, 1) {
		return true
	}
	return slices.ContainsFunc(a.open, func(c *Connection) bool { return c.LeadsToListed(listCompleteAt) })
}

// Connection is what is known of the process at the other end of one connection. It remains valid after the connection has
// been closed.
type Connection struct {
	address       *Address
	establishedAt float64 // +Inf before that
	lostBefore    float64 // when an earlier connection to the address was last lost or refused, -Inf for never
}

// Established records that the connection is established.
func (c *Connection) Established(now float64) { c.establishedAt = now }

// Lost records that the peer has ended or refused the connection, or did not accept it in time: its process may have ended.
func (c *Connection) Lost(now float64) { c.address.lostAt = now }

// Closed records that the connection has ended.
func (c *Connection) Closed() {
	c.address.open = slices.DeleteFunc(c.address.open, func(other *Connection) bool { return other == c })
}

// LeadsToListed reports whether the connection certainly leads to the process of the entry that is listed at its address.
// That is so while the list may be relied on. Later it is so if the connection was established before listCompleteAt, and
// not soon after an earlier connection was lost: the list may not have shown the replacement yet.
func (c *Connection) LeadsToListed(listCompleteAt float64) bool {
	if math.IsInf(listCompleteAt, 1) {
		return true
	}
	return c.establishedAt <= listCompleteAt && c.lostBefore+maxListDelay <= listCompleteAt
}
