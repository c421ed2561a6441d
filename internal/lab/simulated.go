package lab

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"

	"mastchute/control"
	"mastchute/internal/emulator"
)

// A day in simulated time: one goroutine, one queue of events, chance from the day's seed alone, so that the same
// seed gives the same bytes whatever the machine does. Clients, stand-ins, judge and report are those of the sockets;
// only the shells differ: simHost stands for gateway, and messages meet day.Network instead of loopback.

const (
	simEpoch = 1e9  // s since 1970 at which simulated days begin
	resend   = 0.2  // s after which a lost message is sent again: the least retransmission timeout in common use
	simTail  = 60.0 // s past the day's length after which the player gives up waiting for calls to end
)

type event struct {
	at  float64
	seq uint64
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// sim is a day in simulated time.
type sim struct {
	day    *Day
	now    float64
	queue  events
	seq    uint64
	rnd    *rand.Rand
	fleet  *emulator.Fleet
	spec   emulator.Spec
	hosts  []*simHost
	open   int // calls that are not over
	coming bool
	e      *Evidence
	guards map[string]float64
	sends  [][]*simAttempt // those at each worker, for when it vanishes
	says   map[string]string
	models map[string]*simModel
}

func (s *sim) at(t float64, f func()) {
	s.seq++
	heap.Push(&s.queue, event{math.Max(t, s.now), s.seq, f})
}

func (s *sim) after(span float64, f func()) { s.at(s.now+span, f) }

// message has f happen when a message sent now arrives.
func (s *sim) message(f func()) {
	n := s.day.Network
	d := n.Delay.Seconds + n.Jitter.Seconds*s.rnd.ExpFloat64()
	if n.Lost > 0 && s.rnd.Float64() < n.Lost {
		d += resend
	}
	s.after(d, f)
}

// Simulate plays a day in simulated time. It ends early when ctx does; what was seen by then is returned too. start
// makes the decisions; nil for those of control.
func Simulate(ctx context.Context, day *Day, start Start, say io.Writer) (*Evidence, *Report) {
	if say == nil {
		say = io.Discard
	}
	if start == nil {
		start = func(seed uint64, s control.Settings, a control.Actions) control.Module {
			return control.New(seed, s, a)
		}
	}
	spec := day.Spec()
	s := &sim{day: day, rnd: rand.New(rand.NewPCG(day.Seed, 4)), spec: spec, fleet: emulator.NewFleet(spec, day.Fleet.Cold),
		guards: map[string]float64{}, says: map[string]string{}, sends: make([][]*simAttempt, len(spec.Workers)), coming: true,
		models: map[string]*simModel{},
		e:      &Evidence{Settings: &day.Settings, Zones: map[string]string{}, Cells: map[string]string{}}}
	for _, w := range spec.Workers {
		s.e.Zones[w.Name], s.e.Cells[w.Name] = w.Zone, w.Cell
	}
	s.fleet.OnEvent = s.log
	s.fleet.OnWorkerDown = s.vanished
	if day.Fleet.Cold {
		for _, w := range spec.Workers {
			s.log(0, w.Name, emulator.EventStarted, nil)
		}
	}
	for i := range day.Dispatchers {
		h := &simHost{s: s, i: i, name: fmt.Sprintf("d%d", i), start: start}
		s.hosts = append(s.hosts, h)
		h.up()
	}
	s.schedule()
	s.arrive(day.arrivals())
	said := 0.0
	for n := 0; (s.coming || s.open > 0) && s.now < day.Seconds.Seconds+simTail; n++ {
		if n&1023 == 0 && ctx.Err() != nil {
			break
		}
		if next := s.fleet.NextEvent(); next < s.queue[0].at {
			s.now = next
			s.fleet.Advance(next)
		} else {
			e := heap.Pop(&s.queue).(event)
			s.now = e.at
			e.f()
		}
		for _, r := range s.fleet.TakeFinished() {
			if f, ok := r.Owner.(*simAttempt); ok {
				s.answer(f)
			}
		}
		if s.now >= said+day.Seconds.Seconds/10 {
			said = s.now
			fmt.Fprintf(say, "%7.2f s  %d tries, %d forwards and loads\n", s.now, len(s.e.Tries), len(s.e.Records))
		}
	}
	sort.SliceStable(s.e.Words, func(i, j int) bool { return s.e.Words[i].Heard < s.e.Words[j].Heard })
	rep := &Report{Guards: s.guards, Clock: "simulated", Seed: day.Seed, Partial: ctx.Err() != nil}
	for range s.hosts {
		rep.Exits = append(rep.Exits, 0)
	}
	rep.fill(day, s.e)
	rep.Findings[3].Nearest = s.fleet.PeakOverload
	return s.e, rep
}

func (s *sim) log(now float64, w string, event emulator.Event, r *emulator.Request) {
	rec := emulator.Record{T: simEpoch + now, Worker: w, Event: event}
	if r != nil {
		rec.SetRequest(r)
		if f, ok := r.Owner.(*simAttempt); ok && f.h != nil {
			rec.Dispatcher = f.h.name
			if f.request != nil {
				rec.Request, rec.Attempt = f.request.name, f.index
			}
		}
	}
	s.e.Records = append(s.e.Records, rec)
}

// vanished resets the connections to a worker.
func (s *sim) vanished(i int) {
	list := s.sends[i]
	s.sends[i] = nil
	for _, f := range list {
		if !f.answered {
			f.answered = true
			s.message(func() { f.end(&told{lost: true}) })
		}
	}
	for _, h := range s.hosts {
		if h.module != nil && s.now-h.sentAt[i] < s.day.Settings.Limits.WorkerIdleTimeout.Seconds {
			s.message(func() { h.lost(i) })
		}
	}
}

// arrive has the calls of the day come in, one after the other.
func (s *sim) arrive(next func() (arrival, bool)) {
	a, ok := next()
	if !ok {
		s.coming = false
		return
	}
	s.at(a.at, func() {
		s.open++
		s.call(newCaller(s.day, a, len(s.hosts)), s.now)
		s.arrive(next)
	})
}

// call plays one try of a logical call that began at begin, and those after it.
func (s *sim) call(k *caller, begin float64) {
	t, ok := k.next(s.now - begin)
	if !ok {
		s.open--
		return
	}
	s.try(k, t, begin, 0)
}

// simTry is a try under way.
type simTry struct {
	*Try
	over bool
	q    *simRequest
}

// try asks the n-th gateway from the first.
func (s *sim) try(k *caller, t *Try, begin float64, n int) {
	h := s.hosts[(k.first+n)%len(s.hosts)]
	y := &simTry{Try: t}
	t.Dispatcher, t.Sent = h.name, simEpoch+s.now
	done := func(retryAfter float64) {
		y.over = true
		s.e.Tries = append(s.e.Tries, *t)
		if wait, more := k.after(t, retryAfter); more {
			s.after(wait, func() { s.call(k, begin) })
		} else {
			s.open--
		}
	}
	s.message(func() {
		if h.module == nil {
			if n+1 < len(s.hosts) {
				s.message(func() { s.try(k, t, begin, n+1) })
				return
			}
			t.Refused, t.Error = true, "connection refused"
			s.message(func() { done(0) })
			return
		}
		s.after(k.patience+map[bool]float64{false: 2 * answerSlack}[k.patience < t.Timeout], func() {
			if !y.over {
				t.Left, t.Error = k.patience < t.Timeout, "timeout"
				done(0)
				s.message(func() { h.left(y.q) })
			}
		})
		y.q = h.take(y, k, func(a reply) {
			s.message(func() {
				if y.over {
					if a.status > 0 {
						t.Extra++
					}
					return
				}
				t.Status, t.Answer, t.Request = a.status, a.answer, a.request
				if t.Error = a.error; a.error == "" {
					t.Answered = simEpoch + s.now
				}
				done(a.retryAfter)
			})
		})
	})
}

// schedule plays troubles, kills and drains at their times.
func (s *sim) schedule() {
	for _, t := range s.day.Troubles {
		s.at(t.At.Seconds, func() {
			s.fleet.InjectFault(s.now, emulator.Fault{Kind: t.Kind, Worker: t.Worker, Share: t.Share, Factor: t.Factor, Span: t.For.Seconds, What: t.What})
		})
	}
	for _, k := range s.day.Kills {
		s.at(k.At.Seconds, func() {
			h, from := s.hosts[k.Dispatcher], simEpoch+s.now
			h.kill()
			s.after(k.Down.Seconds, func() {
				if h.module != nil {
					return // killed twice
				}
				h.up()
				s.e.Downs = append(s.e.Downs, Down{h.name, from, simEpoch + s.now})
				var list []word
				for _, w := range s.spec.Workers {
					if state := s.says[w.Name]; state != "" && state != "ready" {
						list = append(list, word{s.now, w.Name, state})
					}
				}
				h.hear(list)
			})
		})
	}
	words := map[float64][]word{} // those of a moment are heard as one list
	for _, w := range s.day.words() {
		if words[w.at] = append(words[w.at], w); len(words[w.at]) > 1 {
			continue
		}
		s.at(w.at, func() {
			for _, w := range words[w.at] {
				s.says[w.worker] = w.state
			}
			for _, h := range s.hosts {
				h.hear(words[w.at])
			}
		})
	}
}
