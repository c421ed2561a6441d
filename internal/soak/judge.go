package soak

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
)

// Find is a broken promise.
type Find struct {
	Rule string // as docs/promises.md numbers it
	What string
	At   float64
}

func (f Find) String() string { return fmt.Sprintf("%s at %.3f s: %s", f.Rule, f.At, f.What) }

const (
	lateAnswer   = 0.5  // s past a client's time within which an answer only earns nothing
	goneSlack    = 0.1  // s after a client has gone within which an attempt may begin
	budgetSlack  = 0.15 // s that a deadline may be too long
	ruleSlack    = 0.05 // s on each time limit of the rules
	harnessSlack = 0.06 // s for the harness's own reading and writing
	outageTold   = 7.0  // s after the begin of an outage of the change log at which what it would tell counts as told
)

// judge returns the broken promises, by what the sockets carried.
func (s *stage) judge() []Find {
	h := s.hist
	h.mu.Lock()
	defer h.mu.Unlock()
	j := &judge{s: s, h: h}
	for _, r := range h.Requests {
		j.request(r)
	}
	for _, list := range h.Attempts {
		sort.Slice(list, func(a, b int) bool { return list[a].First < list[b].First })
	}
	for _, r := range h.Requests {
		if r.Ending != Crossed {
			j.attempts(r, h.Attempts[r.ID])
		}
	}
	for _, o := range h.Orders {
		j.drain("a load order", o.Worker, o.First)
	}
	for worker, at := range h.Started {
		j.coldStart(worker, at)
	}
	for _, text := range h.Stray {
		j.add("P13", 0, "%s", text)
	}
	return j.finds
}

type judge struct {
	s     *stage
	h     *History
	finds []Find
}

func (j *judge) add(rule string, at float64, text string, args ...any) {
	j.finds = append(j.finds, Find{Rule: rule, At: at, What: fmt.Sprintf(text, args...)})
}

// request judges the ending of one request.
func (j *judge) request(r *Request) {
	p := j.s.processes[r.Dispatcher]
	due := r.Sent + r.Patience + lateAnswer
	due += p.stoppedWithin(r.Sent, due) + j.s.mute(r.Dispatcher, r.Sent, due, r.New) + harnessSlack + j.s.lateness(r.Sent, due)
	switch r.Ending {
	case Gone, Refused, Crossed:
		return
	case Closed, NoAnswer, unending, Garbled:
		if p.killedWithin(r.Sent, max(r.Ended, due)) {
			r.Ending = Excused
			return
		}
		j.add("P1", r.Sent, "request %s (%s) to dispatcher %d from %s: %s after %.3f s of %.3f, client left after %.3f", r.ID, r.Class, r.Dispatcher, r.Local,
			r.Ending, r.Ended-r.Sent, r.Patience, max(0, r.Left-r.Sent))
	default:
		if r.Ended > due {
			j.add("P1", r.Sent, "request %s (%s) to dispatcher %d: %s only after %.3f s of %.3f", r.ID, r.Class, r.Dispatcher, r.Ending, r.Ended-r.Sent, r.Patience)
		}
	}
}

// attempts judges what was sent to workers for a request.
func (j *judge) attempts(r *Request, list []*Attempt) {
	for i, a := range list {
		slack := harnessSlack + j.s.lateness(a.First-0.3, a.First+0.1)
		deaf := j.s.mute(r.Dispatcher, r.Sent, a.First, r.New) // what a client says can't be read meanwhile
		if r.Left > 0 && a.First > r.Left+goneSlack+slack+deaf {
			j.add("P2", a.First, "attempt of %s begins %.3f s after its client left dispatcher %d", r.ID, a.First-r.Left, r.Dispatcher)
		}
		if left := r.Patience - (a.First - r.Sent); a.Whole > 0 && a.Budget > max(left, 0)+budgetSlack+slack {
			j.add("P3", a.First, "attempt of %s at dispatcher %d: deadline %.3f s, its client has %.3f s left", r.ID, r.Dispatcher, a.Budget, left)
		}
		if r.Ending != Gone && r.Ended > 0 && r.Ending != Closed && r.Ending != Excused && a.First > r.Ended+ruleSlack+slack {
			j.add("P4", a.First, "attempt of %s begins %.3f s after its final answer (%s) from dispatcher %d", r.ID, a.First-r.Ended, r.Ending, r.Dispatcher)
		}
		j.drain("an attempt", a.Worker, a.First)
		if a.Whole > 0 && a.Key != r.Key {
			j.add("P13", a.First, "attempt of %s: key %q, its client's %q", r.ID, a.Key, r.Key)
		}
		for _, b := range list[:i] {
			j.pair(r, b, a, slack)
		}
		if r.Class == OnceClass && r.Ending == Shed && a.Whole > 0 && a.Whole < r.Ended-slack && !a.neverRan(r.Ended+slack) {
			j.add("P5", r.Ended, "%s is shed by dispatcher %d, and an attempt may have run at %s", r.ID, r.Dispatcher, a.Worker)
		}
	}
	if r.Ending == Served && !slices.ContainsFunc(list, func(a *Attempt) bool { return a.Whole > 0 && r.Body == "answer to "+r.ID }) {
		j.add("P13", r.Ended, "%s is served with %q, which no worker made for it", r.ID, r.Body)
	}
}

// coldStart judges what a worker gets in the first span after its start: the settings allow it a share of what a worker is
// asked for in the mean. Where the change log failed at the time, who had been told is not known, and nothing is judged.
func (j *judge) coldStart(worker string, at float64) {
	for _, t := range j.s.plan.Troubles {
		if t.Kind == LogFails && t.From < at+fallSpan && t.To > at-fallSpan {
			return
		}
	}
	got, all := 0, 0
	for _, r := range j.h.Requests {
		if r.Sent < j.s.plan.Span {
			all++
		}
	}
	for _, list := range j.h.Attempts {
		for _, a := range list {
			if a.Worker == worker && a.Whole >= at && a.Whole < at+fallSpan {
				got++
			}
		}
	}
	each := float64(all) / j.s.plan.Span / float64(j.s.plan.Site.Workers)
	allowed := overloadFactor * each * fallSpan * (coldShare + (1-coldShare)*fallSpan/2/warmAfter)
	most := allowed + 2*math.Sqrt(allowed) + 2
	if allowed < 30 {
		most = allowed + 3*math.Sqrt(allowed) + 3
	}
	if float64(got) > most {
		j.add("P8", at, "%s gets %d attempts in its first %g s, %.0f are allowed", worker, got, fallSpan, most)
	}
}

// pair judges an attempt that follows another of the same request.
func (j *judge) pair(r *Request, before, a *Attempt, slack float64) {
	if before.neverRan(a.First+slack) || a.Whole == 0 || r.Class == ReadClass {
		return
	}
	if before.Latest >= a.First && a.neverRan(before.Latest+slack) {
		return // a deaf worker read the other late: it may as well have followed this one, which never ran
	}
	if r.Class == OnceClass {
		j.add("P5", a.First, "%s (sent %.3f, %s at %.3f, left %.3f) goes to %s by dispatcher %d, and an attempt may have run at %s: came at %.3f, %s at %.3f",
			r.ID, r.Sent, r.Ending, r.Ended, r.Left, a.Worker, r.Dispatcher, before.Worker, before.Whole, before.Answer, before.Answered)
	} else if a.First > max(before.Whole, before.Latest)+j.s.plan.Site.Window+ruleSlack+slack {
		j.add("P6", a.First, "a repeat of %s %.3f s after an attempt that may have run", r.ID, a.First-before.Whole)
	}
}

// drain judges what reaches a worker that drains or has gone.
func (j *judge) drain(what, worker string, first float64) {
	told, ok := j.h.Told[worker]
	if !ok {
		return
	}
	for _, t := range j.s.plan.Troubles {
		if t.Kind == LogFails && told >= t.From-1 && told < t.To+2 {
			told = max(told, min(t.To+2, t.From+outageTold))
		}
	}
	if over := first - told - j.s.plan.Site.Grace - ruleSlack; over > harnessSlack+j.s.lateness(first-0.3, first+0.1) {
		j.add("P7", first, "%s reaches %s %.3f s past the grace", what, worker, over)
	}
}

// mute is how long a dispatcher's reads and writes fail for want of memory, or come in scraps, from one time to another: it
// can neither hear nor answer meanwhile. On a new connection the same holds while it can accept none.
func (s *stage) mute(dispatcher int, from, to float64, isNew bool) (sum float64) {
	for _, t := range s.plan.Troubles {
		deaf := t.Kind == WriteFails || t.Kind == ReadFails || isNew && (t.Kind == AcceptFails || t.Kind == Descriptors)
		if deaf && t.Target == dispatcher && t.To > from && t.From < to {
			sum += t.To - t.From
		}
	}
	return sum
}

func (p *process) stoppedWithin(from, to float64) (sum float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.stops {
		if s.to > from && s.from < to {
			sum += s.to - s.from
		}
	}
	return sum
}

// killedWithin tells whether a process was killed while a request was open.
func (p *process) killedWithin(from, to float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.kills, func(k float64) bool { return k >= from-harnessSlack && k <= to+harnessSlack })
}

// coverage counts the requests and attempts that met each trouble, and each two at once.
func (s *stage) coverage() map[string]int {
	count := map[string]int{}
	for _, r := range s.hist.Requests {
		var met []string
		for _, t := range s.plan.Troubles {
			mine := t.Kind.everywhere() || !t.Kind.ofWorker() && t.Target == r.Dispatcher ||
				t.Kind.ofWorker() && slices.ContainsFunc(s.hist.Attempts[r.ID], func(a *Attempt) bool { return strings.HasPrefix(a.Worker, fmt.Sprintf("s-%02d-", t.Target)) })
			if mine && r.Sent < t.To+0.2 && max(r.Ended, r.Sent) > t.From && !slices.Contains(met, string(t.Kind)) {
				met = append(met, string(t.Kind))
			}
		}
		sort.Strings(met)
		for i, a := range met {
			count[a]++
			for _, b := range met[i+1:] {
				count[a+" x "+b]++
			}
		}
	}
	return count
}
