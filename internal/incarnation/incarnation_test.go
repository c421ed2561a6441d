package incarnation

import (
	"math"
	"testing"

	"mastchute/control"
)

var (
	cell1     = control.KnownGroup(1, 1)
	cell2     = control.KnownGroup(1, 2)
	otherZone = control.KnownGroup(2, 2)
	someCell  = control.DedupGroup{Zone: 1, ZoneKnown: true} // of zone 1
	unknown   = control.DedupGroup{}
)

// occupant returns an entry whose process started within 0.5 s of the given time.
func occupant(name string, group control.DedupGroup, startedAt float64) Occupant {
	return Occupant{Name: name, Group: group, StartEpoch: startedAt, StartNotBefore: startedAt - 0.5, StartNotAfter: startedAt + 0.5}
}

// unknownStart returns an entry listed at the given time, of which no start is known.
func unknownStart(name string, group control.DedupGroup, listedAt float64) Occupant {
	return Occupant{Name: name, Group: group, StartNotBefore: math.Inf(-1), StartNotAfter: listedAt}
}

// connect returns a connection that was established at openedAt and last heard at heardAt.
func connect(a *Address, openedAt, heardAt float64) *Connection {
	connection := a.Connect(openedAt)
	connection.Established(openedAt)
	connection.Heard(heardAt)
	return connection
}

// A connection leads to the process that had the address while the connection is known to have been open.
func TestGroupAfterReplacement(t *testing.T) {
	for _, c := range []struct {
		name              string
		next              Occupant // in place of an entry of cell 1 that started at 0
		openedAt, heardAt float64
		want              control.DedupGroup
	}{
		{"opened before the start of the next one", occupant("b", cell2, 10), 5, 5, cell1},
		{"opened after it", occupant("b", cell2, 10), 11, 11, cell2},
		{"opened at about its start, and not heard since", occupant("b", otherZone, 10), 10.1, 10.2, unknown},
		{"opened at about its start, in the same zone", occupant("b", cell2, 10), 10.1, 10.2, someCell},
		{"opened at about its start, and heard later", occupant("b", cell2, 10), 10.1, 12, cell2},
		{"opened at about its start, but in the same cell", occupant("b", cell1, 10), 10.1, 10.2, cell1},
		{"open throughout, which contradicts the start", occupant("b", cell2, 10), 5, 12, unknown},
		{"the start is unknown", unknownStart("b", otherZone, 20), 5, 5, unknown},
		{"the start is unknown, and it was heard after the list had shown it", unknownStart("b", cell2, 20), 5, 21, cell2},
		{"a late event about an earlier process", occupant("z", cell2, -20), 5, 5, cell1},
	} {
		address := NewAddress()
		address.Listed(occupant("a", cell1, 0))
		connection := connect(address, c.openedAt, c.heardAt)
		address.Listed(c.next)
		if got := connection.Group(AlwaysComplete); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// A list that is no longer known to be complete shows the process of a connection only if that was established before.
func TestGroupOfConnectionInDoubt(t *testing.T) {
	for _, c := range []struct {
		name             string
		lostAt, openedAt float64
		completeAt       float64
		want             control.DedupGroup
	}{
		{"established before", math.Inf(-1), 5, 6, cell1},
		{"established later", math.Inf(-1), 7, 6, unknown},
		{"shortly after another was lost", 4, 5, 6, unknown},
		{"long after another was lost", 4, 5, 4 + maxListDelay, cell1},
		{"the list may be relied on", 4, 5, AlwaysComplete, cell1},
	} {
		address := NewAddress()
		address.Listed(occupant("a", cell1, 0))
		if !math.IsInf(c.lostAt, -1) {
			lost := connect(address, 1, 1)
			lost.Lost(c.lostAt)
			lost.Closed()
		}
		connection := connect(address, c.openedAt, c.openedAt)
		if got := connection.Group(c.completeAt); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
		if got := address.Reaches(cell1, c.completeAt); got != (c.want == cell1) {
			t.Errorf("%s: Reaches is %v", c.name, got)
		}
	}
}

// A connection to an entry that is gone leads to its process, unless it was opened after signs that the process had ended.
func TestGroupOfGoneWorker(t *testing.T) {
	address := NewAddress()
	address.Listed(occupant("a", cell1, 0))
	before := connect(address, 5, 5)
	before.Lost(6)
	after := connect(address, 7, 7)
	if !address.Gone("a", 8) || address.Gone("b", 8) {
		t.Error("only the listed entry can be gone")
	}
	if before.Group(AlwaysComplete) != cell1 || after.Group(AlwaysComplete) != unknown || address.Reaches(cell1, AlwaysComplete) != true {
		t.Errorf("%+v before the loss, %+v after it", before.Group(AlwaysComplete), after.Group(AlwaysComplete))
	}
	before.Closed()
	if address.Reaches(cell1, AlwaysComplete) {
		t.Error("a closed connection reaches the process")
	}
	address.Listed(occupant("a", cell1, 0))
	if after.Group(AlwaysComplete) != cell1 {
		t.Error("an entry that is listed again is not the one of the connection")
	}
}

// Occupants beyond the limit are dropped: a connection to one of them leads to an unknown process.
func TestForgottenOccupants(t *testing.T) {
	address := NewAddress()
	address.Listed(occupant("a", cell1, 0))
	first := connect(address, 1, 1)
	for i := range maxOccupants {
		address.Listed(occupant("next", cell2, float64(10*(i+1))))
	}
	if first.Group(AlwaysComplete) != unknown || len(address.occupants) != maxOccupants {
		t.Errorf("%+v, %d occupants", first.Group(AlwaysComplete), len(address.occupants))
	}
}
