// Package incarnation decides which worker process, or incarnation, a connection leads to. It does no I/O and reads no
// clock; times are seconds of one monotonic clock.
//
// An entry of the endpoint list, an address, and the process that accepts connections there part when workers are replaced.
// An attempt reaches the process at the other end of its connection, whatever the entry for which it was meant. Three kinds
// of evidence show which process that is:
//
//   - the entries that the endpoint list has shown at the address, and when the process of each started;
//   - when the connection was established, and when its peer was last heard: the process was alive in between;
//   - until when the list is known to show each process that has taken an address. A list that is received now tells late, so
//     that this time lies in the past, and further in the past while the list is not confirmed. A process may have taken the
//     address since then: a connection that was established before shows that the process is still the same, and a later one
//     shows only that something listens.
//
// That no connection to an address was lost proves nothing, as there may have been none when its process was replaced.
package incarnation

import (
	"math"
	"slices"

	"mastchute/control"
)

// maxOccupants is how many entries are remembered for an address; a connection to an earlier one leads to an unknown process.
const maxOccupants = 8

// Occupant is an entry of the endpoint list at an address, and the process that it stands for. The process took the address
// between StartNotBefore and StartNotAfter.
type Occupant struct {
	Name           string
	Group          control.DedupGroup
	StartEpoch     float64 // start of the process in seconds since 1970, 0 if unknown
	StartNotBefore float64 // -Inf if unknown
	StartNotAfter  float64
}

// isSame reports whether two records stand for the same process of the same entry.
func (o *Occupant) isSame(other *Occupant) bool {
	return o.Name == other.Name && o.Group == other.Group && o.StartEpoch == other.StartEpoch
}

// Address is what is known of the processes at one network address.
type Address struct {
	occupants []Occupant    // in the order of their starts
	goneAt    float64       // when the list showed that the last occupant is gone, +Inf while it is listed
	open      []*Connection // not yet closed
}

// NewAddress returns an address at which no entry is listed and to which no connection has been opened.
func NewAddress() *Address { return &Address{goneAt: math.Inf(1)} }

// Listed records that the endpoint list shows an occupant. It reports whether that may change which process a connection
// leads to.
func (a *Address) Listed(occupant Occupant) (changed bool) {
	known := slices.IndexFunc(a.occupants, func(other Occupant) bool { return other.isSame(&occupant) })
	last := len(a.occupants) - 1
	switch {
	case known >= 0 && known < last: // it was replaced
		return true
	case known >= 0:
		wasGone := !math.IsInf(a.goneAt, 1)
		a.goneAt = math.Inf(1)
		return wasGone
	}
	if last >= 0 && occupant.StartEpoch < a.occupants[last].StartEpoch { // a late event about an earlier process
		a.occupants = slices.Insert(a.occupants, last, occupant)
	} else {
		a.occupants = append(a.occupants, occupant)
		a.goneAt = math.Inf(1)
	}
	if len(a.occupants) > maxOccupants {
		a.occupants = slices.Delete(a.occupants, 0, 1)
	}
	return len(a.occupants) > 1
}

// Gone records that the endpoint list shows that an entry is no longer at the address. It reports whether that may change
// which process a connection leads to.
func (a *Address) Gone(name string, now float64) (changed bool) {
	last := len(a.occupants) - 1
	if last < 0 || a.occupants[last].Name != name || !math.IsInf(a.goneAt, 1) {
		return false
	}
	a.goneAt = now
	return true
}

// Connect records that a connection to the address is being opened.
func (a *Address) Connect(now float64) *Connection {
	connection := &Connection{address: a, establishedAt: math.Inf(1), aliveAt: now}
	a.open = append(a.open, connection)
	return connection
}

// Reaches reports whether a process of a group is certainly reached: by an open connection, or by one that is opened now.
// shownUntil is the time until which the endpoint list shows each process that has taken an address.
func (a *Address) Reaches(group control.DedupGroup, now, shownUntil float64) bool {
	if a.GroupOfNew(now, shownUntil) == group {
		return true
	}
	return slices.ContainsFunc(a.open, func(c *Connection) bool { return c.Group(shownUntil) == group })
}

// GroupOfNew returns the group of the process to which a connection leads that is opened now.
func (a *Address) GroupOfNew(now, shownUntil float64) control.DedupGroup {
	if len(a.occupants) == 0 || now > math.Min(shownUntil, a.goneAt) {
		return control.DedupGroup{}
	}
	return a.occupants[len(a.occupants)-1].Group
}

// HasConnections reports whether there are connections to the address that are open or being opened.
func (a *Address) HasConnections() bool { return len(a.open) > 0 }

// Connection is what is known of the process at the other end of one connection. It remains valid after the connection has
// been closed.
type Connection struct {
	address       *Address
	establishedAt float64 // +Inf before that
	aliveAt       float64 // the peer's process accepted connections or sent something then, or later
}

// Established records that the connection is established.
func (c *Connection) Established(now float64) { c.establishedAt = now }

// Heard records that something was received from the peer, which arrived at arrivedAt or later.
func (c *Connection) Heard(arrivedAt float64) { c.aliveAt = math.Max(c.aliveAt, arrivedAt) }

// Age returns how long ago the connection was established, in seconds.
func (c *Connection) Age(now float64) float64 { return now - c.establishedAt }

// Closed records that the connection has ended.
func (c *Connection) Closed() {
	c.address.open = slices.DeleteFunc(c.address.open, func(other *Connection) bool { return other == c })
}

// Group returns the group of the process at the other end, or as much of it as the evidence shows. shownUntil is the time until
// which the endpoint list shows each process that has taken an address. It may show the one at the other end only later if the
// connection was established since then, or since the list has shown that the process of its last entry there is gone.
func (c *Connection) Group(shownUntil float64) control.DedupGroup {
	a := c.address
	if c.establishedAt > math.Min(shownUntil, a.goneAt) {
		return control.DedupGroup{}
	}
	var group control.DedupGroup
	found := false
	for i := range a.occupants {
		switch {
		case !c.mayLeadTo(i):
		case !found:
			found = true
			group = a.occupants[i].Group
		default:
			group = common(group, a.occupants[i].Group)
		}
	}
	return group
}

// common returns what is certain of the place of a process that is of one of two groups.
func common(a, b control.DedupGroup) control.DedupGroup {
	switch {
	case !a.ZoneKnown || a.Zone != b.Zone:
		return control.DedupGroup{}
	case !a.CellKnown || a.Cell != b.Cell:
		return control.DedupGroup{Zone: a.Zone, ZoneKnown: true}
	}
	return a
}

// mayLeadTo reports whether the connection may lead to the process of an occupant: the process had started when the
// connection was established, and the next one had not started when the peer was last known to be alive.
func (c *Connection) mayLeadTo(index int) bool {
	occupants := c.address.occupants
	if c.establishedAt < occupants[index].StartNotBefore {
		return false
	}
	return index == len(occupants)-1 || c.aliveAt < occupants[index+1].StartNotAfter
}
