// Package gateway performs the I/O for the control module: it accepts requests from clients, passes events to
// control.Module, executes the module's actions towards workers, and gives each request exactly one final response. It
// reaches clients and workers through the interfaces in interfaces.go; HTTP/1.1 is one implementation of them.
//
// It makes no routing decisions. It enforces guarantees that do not depend on the module's decisions: one final response per
// request, nothing sent after it, no new work sent to a draining worker, a response by the client's deadline. A metric counts
// the interventions of each guard. docs/host.md describes the order of events.
//
// All state belongs to one event loop. Every method runs on it unless its comment says otherwise.
package gateway

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/eventloop"
	"mastchute/internal/flightrecorder"
	"mastchute/internal/incarnation"
	"mastchute/internal/lease"
	"mastchute/internal/membership"
)

const (
	maxAttempts     = 8  // attempts of one request, as many as the control module tracks
	requestSlotBits = 20 // low bits of a request id that hold its slot; the others hold the slot's generation
)

// Gateway is a dispatcher: the control module, and the I/O and state around it. New creates one.
type Gateway struct {
	Loop    *eventloop.Loop
	Metrics *Metrics
	Members *membership.List

	// Set at construction. A reload replaces log and some of cfg.
	cfg             *config.Config
	log             zerolog.Logger
	clients         ClientTransport
	settings        control.Settings
	discovery       control.DiscoveryMode
	requestIDPrefix string // unique to this start of the dispatcher
	tenants         map[string]int
	groups          []*group
	anyLimitedScope bool       // only some workers drop repeats of some group
	random          *rand.Rand // for jitter, so that dispatchers do not act in unison

	// The control module, nil before it is created and after it has panicked.
	module         control.Module
	batchOpen      bool // the module has received events since its last Reconcile
	moduleTimers   map[control.TimerID]*eventloop.Timer
	listSubscribed bool // the module is notified of changes to the endpoint list

	// The leases under which workers are sent new work. The list's lease never ends unless leaseTerms is set.
	leaseTerms     lease.Terms
	listLease      lease.List
	listLeaseTimer eventloop.Timer                 // fires at the end of listLease
	listLeaseEnded bool                            // the end of listLease has been logged
	checkCounts    [control.ModelNotLoaded + 1]int // finished checks of workers, by result

	models    modelCache
	maxModels int
	workers   map[control.WorkerID]*Worker
	addresses map[netip.AddrPort]*incarnation.Address // of the workers

	// When the sources of the list that are read repeatedly were last read. Other sources show the workers as of now.
	sourceReadAt map[membership.Source]float64

	// The workers whose connections do not identify their processes yet, which is checked again while some group has a limited
	// scope.
	awaitingIdentity   []*Worker
	identityTimer      eventloop.Timer
	changedConnections []*Worker // to be processed by reportChangedConnections
	reportChangedFn    func()

	// The request table: requests holds every slot, freeSlots the indexes of those not in use.
	requests  []*Request
	freeSlots []int32
	inFlight  int
	lastSeq   uint64

	// The completions to be processed by reportFinished, and those being processed. The two slices swap on each report.
	pendingCompletions   []completion
	reportingCompletions []completion
	reportFinishedFn     func()

	freeAttempts       []*Attempt
	freeWorkerCommands []*WorkerCommand

	stopping      bool
	stopDeadline  float64
	stopEndBy     float64 // when the loop stops even if client connections are open, +Inf for lingerTimeout after the last final response
	stopTimer     eventloop.Timer
	evictionTimer eventloop.Timer
	exitStatus    ExitStatus

	flightRecorder flightrecorder.Ring
}

// group is a model group of the configuration with its settings resolved.
type group struct {
	config.Group
	effect     control.Effect
	dedupScope control.DedupScope
	index      control.GroupID
	metrics    groupMetrics
}

// Options configure a Gateway.
type Options struct {
	Config             *config.Config                            // for the gateway itself
	Settings           control.Settings                          // passed to the control module
	Seed               uint64                                    // of all random numbers but the request id prefix; 0 for one from the clock
	NewClientTransport func(g *Gateway) (ClientTransport, error) // called once by New
	Source             membership.Source                         // of Workers
	Workers            []membership.Entry                        // the initial endpoint list
	MaxModels          int                                       // maximum number of cached models; 0 means the default

	// LeaseTerms limit how long the endpoint list is valid without a confirmation; nil means without limit. The initial list
	// is complete as of ListCompleteAt on the loop's clock, and ConfirmEndpointList renews its lease.
	LeaseTerms     *lease.Terms
	ListCompleteAt float64
}

// New returns a Gateway on a loop that is not running yet. It serves once the loop runs; the control module is created in the
// loop's first turn.
func New(loop *eventloop.Loop, options Options, log zerolog.Logger, newModule NewModule) (*Gateway, error) {
	g := newGateway(loop, options, log)
	seed := options.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	g.random = rand.New(rand.NewPCG(seed, 5))
	clients, err := options.NewClientTransport(g)
	if err != nil {
		return nil, err
	}
	g.clients = clients
	loop.AfterEvents = g.endBatch
	loop.Defer(func() { g.start(options, seed, newModule) })
	return g, nil
}

// newGateway returns a Gateway without its transport, randomness and control module.
func newGateway(loop *eventloop.Loop, options Options, log zerolog.Logger) *Gateway {
	cfg := options.Config
	g := &Gateway{
		Loop:    loop,
		Members: membership.New(config.WorkerID),

		cfg:       cfg,
		log:       log,
		settings:  options.Settings,
		discovery: control.ParseDiscoveryMode(cfg.Discovery.Mode),
		// Random instead of the time: a stepped wall clock can show the same time at two starts.
		requestIDPrefix: cfg.Name + "-" + strconv.FormatUint(rand.Uint64(), 36) + "-",
		tenants:         map[string]int{},

		moduleTimers: map[control.TimerID]*eventloop.Timer{},
		maxModels:    options.MaxModels,
		workers:      map[control.WorkerID]*Worker{},
		addresses:    map[netip.AddrPort]*incarnation.Address{},
		sourceReadAt: map[membership.Source]float64{},
	}
	if g.maxModels == 0 {
		g.maxModels = defaultMaxModels
	}
	if options.LeaseTerms != nil {
		g.leaseTerms = *options.LeaseTerms
		g.listLease = lease.NewList(g.leaseTerms, options.ListCompleteAt)
	}
	g.listLeaseTimer.Fire = g.listLeaseExpired
	g.identityTimer.Fire = g.checkIdentitiesPeriodically
	g.models.init()
	g.reportFinishedFn = g.reportFinished
	g.reportChangedFn = g.reportChangedConnections
	g.stopTimer.Fire = g.continueShutdown
	g.evictionTimer.Fire = g.evictPeriodically
	g.Metrics = newMetrics(&loop.Stats)
	if g.listLease.Limited() {
		g.Metrics.registerListAge(loop.Clock)
	}
	g.addGroups()
	for i, t := range cfg.Tenants {
		g.tenants[t.Name] = i
	}
	return g
}

// addGroups resolves the settings of the model groups.
func (g *Gateway) addGroups() {
	for i, c := range g.cfg.Groups {
		g.groups = append(g.groups, &group{
			Group:      c,
			effect:     control.ParseEffect(c.Effect),
			dedupScope: control.ParseDedupScope(c.DedupScope),
			index:      control.GroupID(i),
			metrics:    g.Metrics.forGroup(c.Name),
		})
	}
	g.anyLimitedScope = slices.ContainsFunc(g.groups, (*group).hasLimitedScope)
}

// start creates the control module and passes it the initial endpoint list, in the loop's first turn.
func (g *Gateway) start(options Options, seed uint64, newModule NewModule) {
	g.beginBatch()
	g.createModule(newModule, seed)
	if g.module == nil {
		return
	}
	g.setModuleTime()
	g.announceListLease()
	if err := g.ReplaceWorkers(options.Source, options.Workers); err != nil {
		g.log.Error().Err(err).Msg("configured workers rejected")
	}
	if g.discovery == control.DiscoveryPush {
		g.listSubscribed = true
		g.sendEndpointList(control.ListSnapshot)
	} else {
		g.sendEndpointList(control.ListCached)
	}
	g.Loop.StartTimer(&g.evictionTimer, evictionInterval)
	if g.anyLimitedScope && !g.listLease.Limited() {
		g.checkIdentitiesPeriodically()
	}
}

// RandomFloat returns a random number in [0, 1), for jitter.
func (g *Gateway) RandomFloat() float64 { return g.random.Float64() }

// SetLog replaces the logger and its sampling: one in sample final responses is logged at info level, none if sample is 0.
func (g *Gateway) SetLog(log zerolog.Logger, sample int) { g.log, g.cfg.Log.Sample = log, sample }

// ModelCount returns the number of cached models.
func (g *Gateway) ModelCount() int { return len(g.models.byID) }
