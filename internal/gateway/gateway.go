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
	maxAttempts          = 8     // as many as the decisions' record holds
	maxListedRequests    = 1000  // requests told in a status
	probeTimeout         = 1.0   // s a newly listed worker may take to tell its start, before it is listed without
	shutdownPollInterval = 0.01  // s between looks while stopping
	lingerTimeout        = 1.5   // s for the last answers to be read after the last request has ended
	evictionInterval     = 5.0   // s between looks for what may be forgotten
	evictAfter           = 300.0 // s after which a gone worker is forgotten, as the decisions do
	requestSlotBits      = 20    // of a request's id: its place; the rest counts uses of the place
)

// NewModule makes the decisions of a dispatcher.
type NewModule func(seed uint64, s control.Settings, a control.Actions) control.Module

// Gateway is one dispatcher. Its methods run on its loop, but for those that say otherwise.
type Gateway struct {
	Loop    *eventloop.Loop
	Metrics *Metrics
	Members *membership.List
	Events  flightrecorder.Ring // the latest state changes

	cfg             *config.Config
	log             zerolog.Logger
	clients         ClientTransport
	module          control.Module
	settings        control.Settings
	startEpoch      float64 // seconds since 1970 at the loop's second 0
	requestIDPrefix string  // of this start: what request ids begin with
	lastSeq         uint64
	batchOpen       bool // the module has heard events since its last Settle

	models    modelCache
	maxModels int
	tenants   map[string]int
	groups    []*group
	workers   map[control.WorkerID]*Worker

	requests         []*Request
	freeSlots        []int32
	inFlight         int
	freeAttempts     []*Attempt        // free ones
	freeControlCalls []*ControlCall    // free ones
	finished         []finishedAttempt // outcomes to be told in this turn
	reporting        []finishedAttempt
	reportFinishedFn func()

	subscribed    bool
	stopping      bool
	stopDeadline  float64
	stopTimer     eventloop.Timer
	evictionTimer eventloop.Timer
	moduleTimers  map[control.TimerID]*eventloop.Timer
	exitStatus    *ExitStatus
	random        *rand.Rand // spreads what dispatchers would else do in step
}

// ExitStatus tells how a gateway ended.
type ExitStatus struct {
	PanicMessage   string // the decisions failed: what they said
	FailedRequests int    // requests that were failed because the stop's grace ran out
}

type group struct {
	config.Group
	effect  control.Effect
	index   control.GroupID
	metrics groupMetrics
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
	g := &Gateway{Loop: l, cfg: cfg, log: log, settings: o.Settings, tenants: map[string]int{}, workers: map[control.WorkerID]*Worker{},
		Members: membership.New(config.WorkerID), moduleTimers: map[control.TimerID]*eventloop.Timer{}, exitStatus: &ExitStatus{}, maxModels: o.MaxModels}
	if g.maxModels == 0 {
		g.maxModels = defaultMaxModels
	}
	g.models.init()
	g.startEpoch, _ = l.WallClock()
	g.requestIDPrefix = cfg.Name + "-" + strconv.FormatUint(rand.Uint64(), 36) + "-" // by chance: a wall clock can tell a time twice
	g.reportFinishedFn = g.reportFinished
	g.stopTimer.Fire = g.continueShutdown
	g.evictionTimer.Fire = g.evictPeriodically
	g.Metrics = newMetrics(g)
	for i, c := range cfg.Groups {
		g.groups = append(g.groups, &group{Group: c, effect: control.ParseEffect(c.Effect), index: control.GroupID(i), metrics: g.Metrics.forGroup(c.Name)})
	}
	for i, t := range cfg.Tenants {
		g.tenants[t.Name] = i
	}
	seed := o.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	g.random = rand.New(rand.NewPCG(seed, 5))
	var err error
	if g.clients, err = o.NewClientTransport(g); err != nil {
		return nil, err
	}
	l.AfterEvents = g.endBatch
	l.Defer(func() {
		g.beginBatch()
		g.callModule(func() { g.module = start(seed, g.settings, g) })
		if g.module == nil {
			return
		}
		g.callModule(func() { g.module.SetNow(l.Now()) })
		if err := g.ReplaceWorkers(o.Source, o.Workers); err != nil {
			g.log.Error().Err(err).Msg("workers of the settings not taken")
		}
		if g.cfg.Roster.Discovery == "push" {
			g.subscribed = true
			g.sendWorkerList(control.ListSnapshot)
		} else {
			g.sendWorkerList(control.ListCached)
		}
		l.Start(&g.evictionTimer, evictionInterval)
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
func (g *Gateway) ExitStatus() ExitStatus { return *g.exitStatus }

// beginBatch opens a batch of events: the module's clock is set once a turn.
func (g *Gateway) beginBatch() {
	if !g.batchOpen {
		g.batchOpen = true
		g.setModuleTime()
	}
}

// The calls of the ordinary path, each guarded without a closure.

func (g *Gateway) setModuleTime() {
	defer g.recoverPanic()
	if g.module != nil {
		g.module.SetNow(g.Loop.Now())
	}
}

func (g *Gateway) reconcile() {
	defer g.recoverPanic()
	g.module.Reconcile()
}

func (g *Gateway) deliverRequest(in *control.Request) {
	defer g.recoverPanic()
	g.module.RequestArrived(*in)
}

func (g *Gateway) deliverAttemptResult(o *control.AttemptResult) {
	defer g.recoverPanic()
	g.module.AttemptFinished(*o)
}

func (g *Gateway) deliverTimer(id control.TimerID) {
	defer g.recoverPanic()
	g.module.TimerFired(id)
}

func (g *Gateway) recoverPanic() {
	if v := recover(); v != nil {
		g.handlePanic(fmt.Sprint(v), debug.Stack())
	}
}

// endBatch closes the batch.
func (g *Gateway) endBatch() {
	if !g.batchOpen {
		return
	}
	g.batchOpen = false
	if g.module != nil {
		g.reconcile()
	}
}

// callModule runs decision code. A panic in it ends the dispatcher: all in flight is failed, nothing is guessed.
func (g *Gateway) callModule(f func()) {
	defer g.recoverPanic()
	if g.exitStatus.PanicMessage == "" {
		f()
	}
}

func (g *Gateway) handlePanic(why string, stack []byte) {
	g.exitStatus.PanicMessage = why
	g.module = nil
	g.DumpFlightRecorder("crash")
	g.log.Error().Str("panic", why).Str("stack", string(stack)).Int("in_hand", g.inFlight).Msg("decision code failed; this dispatcher ends")
	g.Loop.Defer(func() {
		g.clients.Drain()
		g.finishAll("the dispatcher failed")
		g.stopping, g.stopDeadline = true, g.Loop.Now()
		g.continueShutdown()
	})
}

// finishAll gives everything in flight its final answer: at a stop shed where that is true, else failed, which promises
// nothing.
func (g *Gateway) finishAll(why string) int {
	n := 0
	for _, q := range g.requests {
		if q.inUse && !q.finished {
			n++
			if g.exitStatus.PanicMessage != "" {
				g.failRequest(q, false, why)
			} else {
				g.finishAtShutdown(q, why)
			}
			g.beginBatch()
			if g.module != nil {
				g.callModule(func() { g.module.RequestCancelled(q.id) })
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
		g.stopDeadline = math.Min(g.stopDeadline, by)
	} else {
		g.log.Info().Int("in_hand", g.inFlight).Float64("grace_s", grace).Msg("stopping")
		g.RecordEvent("stopping", "", nil, nil, grace)
		g.stopping, g.stopDeadline = true, by
		g.clients.Drain()
	}
	g.continueShutdown()
}

func (g *Gateway) continueShutdown() {
	now := g.Loop.Now()
	if g.inFlight > 0 && now >= g.stopDeadline {
		if n := g.finishAll("the dispatcher is stopping"); n > 0 {
			g.exitStatus.FailedRequests += n
			g.log.Warn().Int("failed", n).Msg("stop grace ran out; what was in hand is failed")
		}
	}
	if !g.hasUnfinishedRequests() {
		for _, w := range g.workers {
			w.transport.Close()
			w.transport.FailUnsent()
		}
		g.stopDeadline = math.Min(g.stopDeadline, now)
		if g.Loop.Stats.Connections.Load() == 0 && g.clients.ConnectionCount() == 0 || now > g.stopDeadline+lingerTimeout || g.clients.ConnectionCount() == 0 && g.lingered(now) {
			g.log.Info().Msg("stopped")
			g.Loop.Stop()
			return
		}
	}
	g.Loop.Start(&g.stopTimer, shutdownPollInterval)
}

// lingered gives the last answers some turns to leave the kernel.
func (g *Gateway) lingered(now float64) bool { return now > g.stopDeadline+0.1 }

// hasUnfinishedRequests tells whether anything still waits for its final answer.
func (g *Gateway) hasUnfinishedRequests() bool {
	for _, q := range g.requests {
		if q.inUse && !q.finished {
			return true
		}
	}
	return false
}

// RandomFloat is a number from 0 up to 1, for what dispatchers would else do in step.
func (g *Gateway) RandomFloat() float64 { return g.random.Float64() }

// SetLog changes the log in service.
func (g *Gateway) SetLog(log zerolog.Logger, sample int) { g.log, g.cfg.Log.Sample = log, sample }

// evictPeriodically drops what is long gone, now and then.
func (g *Gateway) evictPeriodically() {
	now := g.Loop.Now()
	g.EvictIdle(now - evictAfter)
	g.Loop.Start(&g.evictionTimer, evictionInterval)
}

// EvictIdle drops models nobody has asked for, and workers taken off the list, since a time.
func (g *Gateway) EvictIdle(since float64) {
	g.models.evict(since, math.MaxInt)
	g.Members.EvictGone(since, func(r *membership.Worker) bool {
		w := g.workers[r.ID]
		if w == nil {
			return true
		}
		if w.callsInFlight > 0 || w.startupProbeCall != nil || w.probeRetryTimer.Pending() || w.transport.ConnectionCount() > 0 {
			return false
		}
		delete(g.workers, r.ID)
		g.Metrics.forgetWorker(r.Name)
		return true
	})
}

// ModelCount is how many models are in use of late.
func (g *Gateway) ModelCount() int { return len(g.models.byID) }
