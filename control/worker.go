package control

import (
	"cmp"
	"math"
	"slices"
)

// replica is what this dispatcher knows of one model on one worker: its open group and its belief in a warm
// copy.
type replica struct {
	worker       *worker
	model        *model
	warmUntil    Seconds // believed warm until then
	groupSeq     uint32  // number of the newest group
	members      int     // its members without an answer
	joined       int     // its members ever
	held         int     // members held here for its first answer or for an order
	pending      int     // all own attempts of the model there
	loading      bool    // the group's first answer is still out
	orderPending bool    // a load order is out
	orderWanted  bool    // a load order is wanted
	listed       bool    // it stands among its model's open ones
	startedAt    Seconds // when the order went out, or the cold group opened
	loadCost     Seconds // what the ledger counts for its cold group
	noRoomUntil  Seconds // no copy can be had there until then
}

// health is what failures and answers told of one scope: a worker, or one tenant and model group there.
type health struct {
	failureShare  float64 // smoothed share of attempts that failed for the scope's own reasons
	ejected       bool
	rampRate      float64 // attempts a second let through while ejected
	nextAttemptAt Seconds // no attempt before then while ejected
	fullUntil     Seconds // turned work away; no new group until then
	fullCount     float64 // times it turned work away since it last answered
	answeredAt    Seconds // last answer
	answeredWell  bool    // which was a good one
}

// worker is one worker as this dispatcher knows it.
type worker struct {
	WorkerInfo
	health
	classes      []health // by model group and tenant
	index        int      // in the models' lists of places
	goneAt       Seconds  // since when it is listed as gone, +Inf where it is not
	queued       Seconds  // run time of own attempts there
	meanQueued   Seconds  // work, smoothed over time
	meanQueuedAt Seconds
	pendingLoads Seconds // load times of own cold groups there
	pending      int
	coldNextAt   Seconds // cold budget: the next attempt fits then
	abandoned    float64 // called-off attempts it may still work on, as of abandonedAt
	abandonedAt  Seconds
	pendingCold  int     // own attempts out that wait for a load
	noLoadUntil  Seconds // it turned a load away; none until then
	cost         Seconds // what the request at hand would wait there
	rank         uint64  // its place in the order of preferred workers of the model at hand
	warm         bool    // a copy of the model at hand is taken to stand there
	preferredAt  uint64  // the placement at which it was one of the preferred workers
	reported     float64 // requests it reported to hold, smoothed
	reportedAt   Seconds
}

// model is one model: its estimates and its replicas, by worker index.
type model struct {
	id           ModelID
	group        *modelGroup
	runTime      Seconds // smoothed warm answer time
	loadTime     Seconds // load time, told or learned
	loadKnown    bool    // load time learned from an answer
	runKnown     bool    // run time learned from an answer
	replicas     []*replica
	openReplicas []*replica // those with members, in order of workers; some may have none by now
	heldCount    int        // requests held here for a worker to have room

	recent, recentAt float64 // requests taken of late, and as of when
	preferred        int     // workers it should live on
}

// replica returns the replica record of a model on a worker; it stays where it is, as requests and orders point to it.
func (m *model) replica(w *worker) *replica {
	for len(m.replicas) <= w.index {
		m.replicas = append(m.replicas, nil)
	}
	if m.replicas[w.index] == nil {
		m.replicas[w.index] = &replica{worker: w, model: m, warmUntil: math.Inf(-1)}
	}
	return m.replicas[w.index]
}

// unknownReplica stands for one of which nothing is known.
var unknownReplica = replica{warmUntil: math.Inf(-1)}

// peek returns that record to be read only: unknownReplica if there is none.
func (m *model) peek(w *worker) *replica {
	if w.index < len(m.replicas) && m.replicas[w.index] != nil {
		return m.replicas[w.index]
	}
	return &unknownReplica
}

// markOpen notes that a replica has members.
func (m *model) markOpen(rep *replica) {
	if !rep.listed {
		rep.listed = true
		i, _ := slices.BinarySearchFunc(m.openReplicas, rep, func(a, b *replica) int { return cmp.Compare(a.worker.index, b.worker.index) })
		m.openReplicas = slices.Insert(m.openReplicas, i, rep)
	}
}

// openGroups returns the replicas with members, in order of workers: few, however many workers there are.
func (m *model) openGroups() []*replica {
	n := 0
	for _, rep := range m.openReplicas {
		if rep.listed = rep.members+rep.held > 0; rep.listed {
			m.openReplicas[n] = rep
			n++
		}
	}
	clear(m.openReplicas[n:])
	m.openReplicas = m.openReplicas[:n]
	return m.openReplicas
}

// topRanked returns the n workers of highest rank, and maybe some more, first in order first. Ranks are hashes: of many,
// only those above where about twice as many are to be expected are put in order.
func topRanked(list []*worker, n int) []*worker {
	if much := 2*n + 16; len(list) > 2*much {
		above := ^uint64(0) / uint64(len(list)) * uint64(len(list)-much)
		k := 0
		for i, w := range list {
			if w.rank >= above {
				list[i], list[k] = list[k], w
				k++
			}
		}
		if k >= n {
			list = list[:k]
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(b.rank, a.rank) })
	return list
}

// loadSettled notes that a replica's cold group has its first answer.
func (d *Dispatcher) loadSettled(rep *replica) {
	if rep.loading {
		rep.loading = false
		rep.worker.pendingLoads = math.Max(0, rep.worker.pendingLoads-rep.loadCost)
	}
}

// countWorkers counts the workers listed as ready, and those ejected.
func (d *Dispatcher) countWorkers() {
	d.readyWorkers, d.ejectedWorkers = 0, 0
	for _, w := range d.workers {
		if w.State == Ready {
			d.readyWorkers++
		}
		if w.ejected {
			d.ejectedWorkers++
		}
	}
}

// restarted forgets what was believed of a worker that started anew: it is empty, and owed a new judgement.
func (d *Dispatcher) restarted(w *worker) {
	for _, m := range d.models {
		if w.index < len(m.replicas) && m.replicas[w.index] != nil {
			m.replicas[w.index].warmUntil, m.replicas[w.index].noRoomUntil = math.Inf(-1), 0
		}
	}
	clear(w.classes)
	w.health, w.coldNextAt, w.abandoned = health{}, math.Inf(-1), 0
	d.countWorkers()
}

// abandon counts one more called-off attempt that the worker may still work on; each counts for about so long.
func (w *worker) abandon(now, span Seconds) {
	w.abandoned, w.abandonedAt = w.stillAbandoned(now, span)+1, now
}

// stillAbandoned is how many of those it may still work on.
func (w *worker) stillAbandoned(now, span Seconds) float64 {
	if w.abandoned == 0 {
		return 0
	}
	return w.abandoned * math.Exp((w.abandonedAt-now)/math.Max(span, spanMin))
}

// concurrency is how many own attempts it has out that wait for no load, called-off ones included.
func (w *worker) concurrency(now, span Seconds) float64 {
	return float64(w.pending-w.pendingCold) + w.stillAbandoned(now, span)
}
