// Package gateway is the host around the decisions: it takes requests from clients, lets control.Module decide, carries
// out its actions towards workers, and gives each request its one final answer. It knows clients and workers by the
// interfaces of interfaces.go; HTTP/1.1 is one implementation of them.
//
// It decides nothing about routing. What it adds are guards that hold whatever the decisions say: one final answer,
// nothing sent after it, nothing sent to a worker that drains, an answer by the client's time. Each guard counts when
// it acts. docs/host.md describes the order of events.
package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/eventloop"
	"mastchute/internal/flightrecorder"
	"mastchute/internal/membership"
)

const (
	maxAttempts = 8     // as many as the decisions' record holds
	viewMost    = 1000  // requests told in a status
	helloSpan   = 1.0   // s a newly listed worker may take to tell its start, before it is listed without
	stopPoll    = 0.01  // s between looks while stopping
	stopLinger  = 1.5   // s for the last answers to be read after the last request has ended
	forgetEvery = 5.0   // s between looks for what may be forgotten
	goneLong    = 300.0 // s after which a gone worker is forgotten, as the decisions do
	slotBits    = 20    // of a request's id: its place; the rest counts uses of the place
)

// NewModule makes the decisions of a dispatcher.
type NewModule func(seed uint64, s control.Settings, a control.Actions) control.Module

// Gateway is one dispatcher. Its methods run on its loop, but for those that say otherwise.
type Gateway struct {
	Loop    *eventloop.Loop
	Metrics *Metrics
	Members *membership.List
	Events  flightrecorder.Ring // the latest state changes

	cfg    *config.Config
	log    zerolog.Logger
	front  ClientTransport
	module control.Module
	set    control.Settings
	epoch  float64 // seconds since 1970 at the loop's second 0
	name   string  // of this start: what request ids begin with
	seq    uint64
	batch  bool // the module has heard events since its last Settle

	models     models
	mostModels int
	tenants    map[string]int
	groups     []*group
	workers    map[control.WorkerID]*Worker

	requests     []*Request
	free         []int32
	inFlight     int
	freeAttempts []*Attempt     // free ones
	orders       []*ControlCall // free ones
	ended        []ending       // outcomes to be told in this turn
	ending       []ending
	tellFn       func()

	subscribed  bool
	stopping    bool
	stopBy      float64
	stopTimer   eventloop.Timer
	forgetTimer eventloop.Timer
	wakes       map[control.TimerID]*eventloop.Timer
	exit        *ExitStatus
	rnd         *rand.Rand // spreads what dispatchers would else do in step
}

// ExitStatus tells how a gateway ended.
type ExitStatus struct {
	PanicMessage   string // the decisions failed: what they said
	FailedRequests int    // requests that were failed because the stop's grace ran out
}

type group struct {
	config.Group
	effect control.Effect
	index  control.GroupID
	meter  groupMeter
}

// Options say what a host serves. Settings are what the decisions are told; Config holds what the host itself needs.
type Options struct {
	Config             *config.Config
	Settings           control.Settings
	Seed               uint64
	NewClientTransport func(g *Gateway) (ClientTransport, error) // called once, before the loop runs
	Source             membership.Source                         // of Workers
	Workers            []membership.Entry                        // as listed at the start
	MaxModels          int                                       // kept at most; 0 means the usual
}

// timer is short for the loop's.
type timer = eventloop.Timer

// New makes a host with a front of its own. Run the loop to serve.
func New(l *eventloop.Loop, o Options, log zerolog.Logger, start NewModule) (*Gateway, error) {
	cfg := o.Config
	g := &Gateway{Loop: l, cfg: cfg, log: log, set: o.Settings, tenants: map[string]int{}, workers: map[control.WorkerID]*Worker{},
		Members: membership.New(config.WorkerID), wakes: map[control.TimerID]*eventloop.Timer{}, exit: &ExitStatus{}, mostModels: o.MaxModels}
	if g.mostModels == 0 {
		g.mostModels = mostModels
	}
	g.models.init()
	g.epoch, _ = l.WallClock()
	g.name = cfg.Name + "-" + strconv.FormatUint(rand.Uint64(), 36) + "-" // by chance: a wall clock can tell a time twice
	g.tellFn = g.tell
	g.stopTimer.Fire = g.stopLook
	g.forgetTimer.Fire = g.forget
	g.Metrics = newMetrics(g)
	for i, c := range cfg.Groups {
		g.groups = append(g.groups, &group{Group: c, effect: control.ParseEffect(c.Effect), index: control.GroupID(i), meter: g.Metrics.group(c.Name)})
	}
	for i, t := range cfg.Tenants {
		g.tenants[t.Name] = i
	}
	seed := o.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	g.rnd = rand.New(rand.NewPCG(seed, 5))
	var err error
	if g.front, err = o.NewClientTransport(g); err != nil {
		return nil, err
	}
	l.AfterEvents = g.turn
	l.Defer(func() {
		g.begin()
		g.guard(func() { g.module = start(seed, g.set, g) })
		if g.module == nil {
			return
		}
		g.guard(func() { g.module.SetNow(l.Now()) })
		if err := g.ReplaceWorkers(o.Source, o.Workers); err != nil {
			g.log.Error().Err(err).Msg("workers of the settings not taken")
		}
		if g.cfg.Roster.Discovery == "push" {
			g.subscribed = true
			g.tellList(control.ListSnapshot)
		} else {
			g.tellList(control.ListCached)
		}
		l.Start(&g.forgetTimer, forgetEvery)
	})
	return g, nil
}

// MembershipEntries turns configured workers into entries of the list of workers.
func MembershipEntries(list []config.Worker) ([]membership.Entry, error) {
	var out []membership.Entry
	for _, w := range list {
		addr, err := netip.ParseAddrPort(w.Address)
		if err != nil {
			return nil, err
		}
		e := membership.Entry{Name: w.Name, Addr: addr, Zone: w.Zone, Cell: w.Cell, Kind: w.Kind, Weight: w.Weight, State: control.Ready}
		if e.Weight == 0 {
			e.Weight = 1
		}
		switch w.State {
		case "draining":
			e.State = control.Draining
		case "gone":
			e.State = control.Gone
		}
		out = append(out, e)
	}
	return out, nil
}

// ExitStatus tells how it ended, once the loop has.
func (g *Gateway) ExitStatus() ExitStatus { return *g.exit }

// begin opens a batch of events: the module's clock is set once a turn.
func (g *Gateway) begin() {
	if !g.batch {
		g.batch = true
		g.clock()
	}
}

// The calls of the ordinary path, each guarded without a closure.

func (g *Gateway) clock() {
	defer g.caught()
	if g.module != nil {
		g.module.SetNow(g.Loop.Now())
	}
}

func (g *Gateway) settle() {
	defer g.caught()
	g.module.Reconcile()
}

func (g *Gateway) request(in *control.Request) {
	defer g.caught()
	g.module.RequestArrived(*in)
}

func (g *Gateway) outcome(o *control.AttemptResult) {
	defer g.caught()
	g.module.AttemptFinished(*o)
}

func (g *Gateway) timer(id control.TimerID) {
	defer g.caught()
	g.module.TimerFired(id)
}

func (g *Gateway) caught() {
	if v := recover(); v != nil {
		g.crash(fmt.Sprint(v), debug.Stack())
	}
}

// turn closes the batch.
func (g *Gateway) turn() {
	if !g.batch {
		return
	}
	g.batch = false
	if g.module != nil {
		g.settle()
	}
}

// guard runs decision code. A panic in it ends the dispatcher: all in flight is failed, nothing is guessed.
func (g *Gateway) guard(f func()) {
	defer g.caught()
	if g.exit.PanicMessage == "" {
		f()
	}
}

func (g *Gateway) crash(why string, stack []byte) {
	g.exit.PanicMessage = why
	g.module = nil
	g.DumpFlightRecorder("crash")
	g.log.Error().Str("panic", why).Str("stack", string(stack)).Int("in_hand", g.inFlight).Msg("decision code failed; this dispatcher ends")
	g.Loop.Defer(func() {
		g.front.Drain()
		g.failAll("the dispatcher failed")
		g.stopping, g.stopBy = true, g.Loop.Now()
		g.stopLook()
	})
}

// failAll gives everything in flight its final answer: at a stop shed where that is true, else failed, which promises
// nothing.
func (g *Gateway) failAll(why string) int {
	n := 0
	for _, q := range g.requests {
		if q.live && !q.answered {
			n++
			if g.exit.PanicMessage != "" {
				g.fail(q, false, why)
			} else {
				g.answerAtStop(q, why)
			}
			g.begin()
			if g.module != nil {
				g.guard(func() { g.module.RequestCancelled(q.id) })
			}
		}
	}
	return n
}

// Stop ends the gateway: nothing new is accepted, all in flight is answered, within grace seconds, and then the loop
// stops. A second call shortens the grace.
func (g *Gateway) Stop(grace float64) {
	by := g.Loop.Now() + grace
	if g.stopping {
		g.stopBy = math.Min(g.stopBy, by)
	} else {
		g.log.Info().Int("in_hand", g.inFlight).Float64("grace_s", grace).Msg("stopping")
		g.RecordEvent("stopping", "", nil, nil, grace)
		g.stopping, g.stopBy = true, by
		g.front.Drain()
	}
	g.stopLook()
}

func (g *Gateway) stopLook() {
	now := g.Loop.Now()
	if g.inFlight > 0 && now >= g.stopBy {
		if n := g.failAll("the dispatcher is stopping"); n > 0 {
			g.exit.FailedRequests += n
			g.log.Warn().Int("failed", n).Msg("stop grace ran out; what was in hand is failed")
		}
	}
	if !g.anyOpen() {
		for _, w := range g.workers {
			w.link.Close()
			w.link.FailUnsent()
		}
		g.stopBy = math.Min(g.stopBy, now)
		if g.Loop.Stats.Connections.Load() == 0 && g.front.ConnectionCount() == 0 || now > g.stopBy+stopLinger || g.front.ConnectionCount() == 0 && g.lingered(now) {
			g.log.Info().Msg("stopped")
			g.Loop.Stop()
			return
		}
	}
	g.Loop.Start(&g.stopTimer, stopPoll)
}

// lingered gives the last answers some turns to leave the kernel.
func (g *Gateway) lingered(now float64) bool { return now > g.stopBy+0.1 }

// anyOpen tells whether anything still waits for its final answer.
func (g *Gateway) anyOpen() bool {
	for _, q := range g.requests {
		if q.live && !q.answered {
			return true
		}
	}
	return false
}

// RandomFloat is a number from 0 up to 1, for what dispatchers would else do in step.
func (g *Gateway) RandomFloat() float64 { return g.rnd.Float64() }

// SetLog changes the log in service.
func (g *Gateway) SetLog(log zerolog.Logger, sample int) { g.log, g.cfg.Log.Sample = log, sample }

// forget drops what is long gone, now and then.
func (g *Gateway) forget() {
	now := g.Loop.Now()
	g.EvictIdle(now - goneLong)
	g.Loop.Start(&g.forgetTimer, forgetEvery)
}

// EvictIdle drops models nobody has asked for, and workers taken off the list, since a time.
func (g *Gateway) EvictIdle(since float64) {
	g.models.forget(since, math.MaxInt)
	g.Members.EvictGone(since, func(r *membership.Worker) bool {
		w := g.workers[r.ID]
		if w == nil {
			return true
		}
		if w.pending > 0 || w.hello != nil || w.again.Pending() || w.link.ConnectionCount() > 0 {
			return false
		}
		delete(g.workers, r.ID)
		g.Metrics.forget(r.Name)
		return true
	})
}

// ModelCount is how many models are in use of late.
func (g *Gateway) ModelCount() int { return len(g.models.byID) }
