package gateway

import (
	"math"
	"net/netip"

	"mastchute/control"
	"mastchute/internal/incarnation"
	"mastchute/internal/membership"
)

// This file finds out which worker processes attempts reach. Package incarnation decides what the connections show.

// Address returns what is known of the processes at the worker's address, for the connections of a transport.
func (w *Worker) Address() *incarnation.Address { return w.address }

// dedupGroup returns the group of the worker's entry.
func (w *Worker) dedupGroup() control.DedupGroup { return groupOfMember(w.Worker) }

func groupOfMember(member *membership.Worker) control.DedupGroup {
	info := member.Advertised()
	return control.KnownGroup(info.Zone, info.Cell)
}

// addressOf returns the record of an address, and creates it if there is none.
func (g *Gateway) addressOf(addr netip.AddrPort) *incarnation.Address {
	address := g.addresses[addr]
	if address == nil {
		address = incarnation.NewAddress()
		g.addresses[addr] = address
	}
	return address
}

// EndpointListReadAt records when a source of the endpoint list was last read, on the loop's clock: it shows the workers as of
// then. +Inf means that it shows them as of now, and -Inf that it has never been read.
func (g *Gateway) EndpointListReadAt(source membership.Source, readAt float64) {
	before := g.listReadAt()
	g.sourceReadAt[source] = readAt
	if g.listReadAt() < before {
		g.reportIdentities()
	}
}

// listReadAt returns when the source that has not been read for longest was last read, +Inf if all show the workers as of now.
func (g *Gateway) listReadAt() float64 {
	earliest := math.Inf(1)
	for _, readAt := range g.sourceReadAt {
		earliest = math.Min(earliest, readAt)
	}
	return earliest
}

// replacementsShownUntil returns the time until which the endpoint list shows each process that has taken an address. The list
// tells of a process up to discovery's longest delay after its start, and no more than it did when it was last confirmed or read.
func (g *Gateway) replacementsShownUntil(now float64) float64 {
	confirmedAt := math.Min(now, g.listReadAt())
	if g.listLease.Limited() {
		confirmedAt = math.Min(confirmedAt, g.listLease.ConfirmedAt())
	}
	return confirmedAt - g.cfg.Discovery.MaxDelay.Seconds
}

// hasLimitedScope reports whether only some of the workers drop repeats of the group's requests.
func (g *group) hasLimitedScope() bool {
	return g.effect == control.Deduplicated && g.dedupScope != control.ScopeAll
}

// connection returns the connection to which an attempt was written, nil if it was not.
func (a *Attempt) connection() *incarnation.Connection {
	if a.finished {
		return a.sentOn
	}
	return a.Worker.transport.ConnectionOf(a)
}

// groupOf returns the group that an attempt has reached or, if it has not been written to a connection, is expected to reach.
func (g *Gateway) groupOf(a *Attempt, now float64) control.DedupGroup {
	connection := a.connection()
	switch {
	case connection != nil:
		return connection.Group(g.replacementsShownUntil(now))
	case a.finished:
		return control.DedupGroup{}
	}
	return g.groupExpected(a.Worker, now)
}

// groupExpected returns the group that a new attempt at a worker reaches on the best of its connections.
func (g *Gateway) groupExpected(w *Worker, now float64) control.DedupGroup {
	group := w.dedupGroup()
	if !w.address.Reaches(group, now, g.replacementsShownUntil(now)) {
		return control.DedupGroup{}
	}
	return group
}

// recordOccupant records the entry of a listed worker at its address, and reports whether that may change which process a
// connection leads to.
func (g *Gateway) recordOccupant(w *Worker, now float64) (changed bool) {
	if w.State == control.Gone {
		return w.address.Gone(w.Name, now)
	}
	occupant := incarnation.Occupant{Name: w.Name, Group: w.dedupGroup(), StartNotBefore: math.Inf(-1), StartNotAfter: now}
	if w.StartProvided && w.Entry.StartEpoch > 0 {
		occupant.StartEpoch = w.Entry.StartEpoch
		earliest, latest := g.WallClock().Bounds(occupant.StartEpoch)
		occupant.StartNotBefore = math.Min(earliest, now)
		occupant.StartNotAfter = math.Min(latest, now)
	}
	return w.address.Listed(occupant)
}

// replacedAt returns the workers that are listed at an address at which the process of another one started after theirs: their
// processes have ended.
func (g *Gateway) replacedAt(address *incarnation.Address) (replaced []*Worker) {
	var listed []*Worker
	latest := 0.0
	for _, w := range g.workers {
		if w.address == address && w.StartProvided && w.State != control.Gone {
			listed = append(listed, w)
			latest = math.Max(latest, w.Entry.StartEpoch)
		}
	}
	for _, w := range listed {
		if w.Entry.StartEpoch < latest {
			replaced = append(replaced, w)
		}
	}
	return replaced
}
