package control

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Defaults of absent settings.
const (
	defaultTick              = 0.001 // s
	defaultSubscribeBackoff  = 10    // s, longest backoff
	defaultOverloadWindow    = 1     // s
	defaultObjective         = 1     // s
	defaultTimeout           = 60    // s; long, but it ensures that each request gets a final response
	defaultSlowStartCapacity = 0.1   // fraction of a worker's full capacity at its start; a cautious estimate
)

// Bounds of the settings.
const (
	maxDispatchers = 1 << 16 // a larger number is considered a mistake
	maxListLength  = 4096    // entries; a longer list is considered a mistake
	minRatio       = 1e-3    // lower bound of fractions and factors that are used as divisors
	minDuration    = 1e-3    // s; the resolution of host clocks is no finer
)

// Settings are the settings of a dispatcher. The zero value stands for the defaults.
//
// A number is absent if its field is zero or, where zero is a meaningful value, if its Optional is unset. A number out of
// range is replaced by the default and reported by Check, except a zero, which counts as absent. Counts are float64, as
// their sources may hold fractions. The name in parentheses is the dotted name under which a SettingError reports the
// setting.
type Settings struct {
	// Tick is the resolution of the host's clock, from 0 to 1 s; 1 ms by default (tick).
	Tick Optional[Seconds]
	// Dispatchers is the number of dispatchers that share the workers, this one included; 1 by default (dispatchers).
	Dispatchers float64
	// Discovery holds the settings of the subscription to the endpoint list.
	Discovery DiscoverySettings
	// SlowStart holds the settings that protect workers that are warming up.
	SlowStart SlowStartSettings
	// Loads holds the settings of model loads.
	Loads LoadSettings
	// Attempts holds the settings of retries and hedged requests.
	Attempts AttemptSettings
	// Probes holds the settings of health checks.
	Probes ProbeSettings
	// RetryAfter holds the settings of the Retry-After time of shed requests.
	RetryAfter RetryAfterSettings
	// LoadReportFields names the fields of a worker's load report in order (load_report.fields).
	LoadReportFields []string
	// Groups holds the settings of the model groups, indexed by GroupID. If it is empty, there is one group with the
	// defaults, which are the strictest values (groups).
	Groups []GroupSettings
	// Tenants holds the settings of the tenants, indexed by TenantID (tenants).
	Tenants []TenantSettings

	malformed map[string]any // by dotted name: values that ParseSettings could not represent in their fields
}

// DiscoverySettings describe how the dispatcher receives changes to the endpoint list.
type DiscoverySettings struct {
	// Mode is the discovery mode (discovery).
	Mode DiscoveryMode
	// MaxBackoff is the longest backoff between two subscribe calls, at least 1 ms; 10 s by default (rules.ask_every).
	MaxBackoff Seconds
}

// SlowStartSettings describe how the capacity of a worker grows after its start, and which overload makes it fail.
type SlowStartSettings struct {
	// InitialCapacity is the fraction of its full capacity that a worker has at its start, from 0 to 1; 0.1 by default
	// (rules.cold_share).
	InitialCapacity Optional[float64]
	// Duration is the time from a worker's start until it has its full capacity (rules.warm_after).
	Duration Seconds
	// OverloadFactor is the multiple of a worker's present capacity that overloads it; 1 by default
	// (rules.overload_factor).
	OverloadFactor float64
	// OverloadWindow is the time for which a worker withstands an overload, at least 1 ms; 1 s by default (rules.fall).
	OverloadWindow Seconds
}

// LoadSettings describe how workers load models, and limit the load requests.
type LoadSettings struct {
	// OnMiss is what a worker does with a request whose model is not loaded there (models.on_miss).
	OnMiss MissPolicy
	// RequestsAllowed allows load requests where workers reject requests whose model is not loaded (models.orders).
	RequestsAllowed bool
	// KeepAlive is the time for which a worker keeps a model loaded after its last use; unlimited by default (models.keep).
	KeepAlive Optional[Seconds]
	// Window is the sliding window of the load request budget; 0 for no budget (models.load_window).
	Window Seconds
	// Base is the number of load requests that are always allowed within the window (models.load_few).
	Base float64
	// PerRequest is the number of load requests allowed on top for each client request that arrived in the window
	// (models.load_share).
	PerRequest float64
}

// AttemptSettings limit what may be done for one request.
type AttemptSettings struct {
	// Max is the largest number of attempts of one request, the first included; 1 by default, and at most 8
	// (limits.max_attempts).
	Max float64
	// Hedging allows a hedged request: another attempt while one is in flight (limits.hedging).
	Hedging bool
	// Cancel allows attempts in flight to be cancelled when they are no longer needed (limits.cancel).
	Cancel bool
}

// ProbeSettings determine whether workers are probed for their load.
type ProbeSettings struct {
	// Allowed allows probes (limits.probes).
	Allowed bool
	// Price is the cost of a probe as a fraction of a request's value (prices.probe).
	Price float64
}

// RetryAfterSettings determine whether the response to a shed request carries a Retry-After time.
type RetryAfterSettings struct {
	// Allowed allows a Retry-After time (limits.retry_after).
	Allowed bool
	// Max is the longest Retry-After time (limits.max_retry_after).
	Max Seconds
	// Resolution is the unit to whose next multiple the host rounds a Retry-After time up, 0 if it does not round
	// (limits.retry_after_resolution).
	Resolution Seconds
}

// GroupSettings are the settings of a model group.
type GroupSettings struct {
	// Effect is the effect of running a request twice (groups.N.effect).
	Effect Effect
	// Scope is the set of workers among which a repeat is dropped, if the effect is Deduplicated (groups.N.scope).
	Scope DedupScope
	// Window is the time for which a repeat is dropped (groups.N.window).
	Window Seconds
	// SLO is the latency objective, at least 1 ms; 1 s by default (groups.N.slo). This package treats a zero as absent; the
	// field is Optional for hosts that do not.
	SLO Optional[Seconds]
	// SLOStretch extends the latency objective by this multiple of a request's own work (groups.N.slo_stretch).
	SLOStretch float64
	// Timeout is the time after which a client no longer waits, at least 1 ms; 60 s by default (groups.N.timeout). This
	// package treats a zero as absent; the field is Optional for hosts that do not.
	Timeout Optional[Seconds]
}

// TenantSettings are the settings of a tenant.
type TenantSettings struct {
	// Quota is the tenant's quota in requests per second over all dispatchers; unlimited by default (tenants.N.quota).
	Quota Optional[float64]
}

// Optional is a value that may be absent. The zero Optional is absent.
type Optional[T any] struct {
	value T
	set   bool
}

// Some returns an Optional that holds the value.
func Some[T any](value T) Optional[T] { return Optional[T]{value, true} }

// Get returns the value, and whether there is one.
func (o Optional[T]) Get() (T, bool) { return o.value, o.set }

// Or returns the value, or the fallback if there is none.
func (o Optional[T]) Or(fallback T) T {
	if o.set {
		return o.value
	}
	return fallback
}

// SettingError reports a setting with an unusable value.
type SettingError struct {
	Name  string // dotted
	Value any
	Want  string // description of the usable values
}

// Error returns a message with the name of the setting, its value and the usable values.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s is %v: it should be %s", e.Name, e.Value, e.Want)
}

// Check returns an error that joins a SettingError for each unusable setting, nil if there is none. A host that can refuse
// to start should call it first; New replaces unusable settings by the defaults. An unknown value of an enumerated setting
// is not an error, as later versions of the platform may add values: New logs it and uses the default.
func Check(s Settings) error {
	_, problems := resolve(s)
	return errors.Join(problems.unusable...)
}

// settings are the resolved settings: checked, and with the default in place of each absent or unusable one. Settings
// documents them.
type settings struct {
	tick        Seconds
	dispatchers float64

	discovery           DiscoveryMode
	maxSubscribeBackoff Seconds

	slowStartCapacity float64
	slowStartDuration Seconds
	overloadFactor    float64
	overloadWindow    Seconds

	missPolicy           MissPolicy
	loadRequestsAllowed  bool
	modelKeepAlive       Seconds
	loadBudgetWindow     Seconds
	loadBudgetBase       float64
	loadBudgetPerRequest float64

	maxAttempts    int // attempts of one request
	hedgingAllowed bool
	cancelAllowed  bool

	probesAllowed     bool
	probePrice        float64
	retryAfterAllowed bool
	maxRetryAfter     Seconds
	retryResolution   Seconds

	reportFields []string
	groups       []*modelGroup
	quotas       []float64 // by tenant, requests/s
}

// resolve checks all settings, and replaces those that are absent or unusable by the defaults.
func resolve(from Settings) (settings, *settingProblems) {
	p := &settingProblems{malformed: from.malformed}
	s := settings{
		tick:                 p.optional("tick", from.Tick, defaultTick, 0, 1),
		dispatchers:          p.number("dispatchers", from.Dispatchers, 1, 1, maxDispatchers),
		discovery:            enumValue(p, "discovery", from.Discovery.Mode, discoveryNames[:]),
		maxSubscribeBackoff:  p.positiveDuration("rules.ask_every", from.Discovery.MaxBackoff, defaultSubscribeBackoff),
		overloadWindow:       p.positiveDuration("rules.fall", from.SlowStart.OverloadWindow, defaultOverloadWindow),
		slowStartDuration:    p.number("rules.warm_after", from.SlowStart.Duration, 0, 0, infinity),
		slowStartCapacity:    math.Max(minRatio, p.optional("rules.cold_share", from.SlowStart.InitialCapacity, defaultSlowStartCapacity, 0, 1)),
		overloadFactor:       p.number("rules.overload_factor", from.SlowStart.OverloadFactor, 1, minRatio, infinity),
		modelKeepAlive:       p.optional("models.keep", from.Loads.KeepAlive, infinity, 0, infinity), // by default until a miss or a restart is observed
		loadRequestsAllowed:  p.flag("models.orders", from.Loads.RequestsAllowed),
		missPolicy:           enumValue(p, "models.on_miss", from.Loads.OnMiss, missNames[:]),
		loadBudgetWindow:     p.number("models.load_window", from.Loads.Window, 0, 0, infinity),
		loadBudgetBase:       p.number("models.load_few", from.Loads.Base, 0, 0, infinity),
		loadBudgetPerRequest: p.number("models.load_share", from.Loads.PerRequest, 0, 0, infinity),
		maxAttempts:          int(min(maxAttempts, p.number("limits.max_attempts", from.Attempts.Max, 1, 1, infinity))),
		hedgingAllowed:       p.flag("limits.hedging", from.Attempts.Hedging),
		cancelAllowed:        p.flag("limits.cancel", from.Attempts.Cancel),
		probesAllowed:        p.flag("limits.probes", from.Probes.Allowed),
		retryAfterAllowed:    p.flag("limits.retry_after", from.RetryAfter.Allowed),
		maxRetryAfter:        p.number("limits.max_retry_after", from.RetryAfter.Max, 0, 0, infinity),
		retryResolution:      p.number("limits.retry_after_resolution", from.RetryAfter.Resolution, 0, 0, infinity),
		probePrice:           p.number("prices.probe", from.Probes.Price, 0, 0, infinity),
	}
	if !s.retryAfterAllowed {
		s.maxRetryAfter = 0
	}
	s.reportFields = slices.Clone(from.LoadReportFields[:p.length("load_report.fields", len(from.LoadReportFields))])
	for i := range max(1, p.length("groups", len(from.Groups))) {
		group := GroupSettings{}
		if i < len(from.Groups) {
			group = from.Groups[i]
		}
		s.groups = append(s.groups, p.group("groups."+strconv.Itoa(i)+".", group))
	}
	for i := range p.length("tenants", len(from.Tenants)) {
		s.quotas = append(s.quotas, p.optional("tenants."+strconv.Itoa(i)+".quota", from.Tenants[i].Quota, infinity, 0, infinity))
	}
	return s, p
}

// settingProblems collects the settings that can't be used, as resolve finds them.
type settingProblems struct {
	malformed    map[string]any // see Settings.malformed
	unusable     []error        // returned by Check and logged after New
	unknownNames []error        // unknown values of enumerated settings, logged after New
}

func (p *settingProblems) add(name string, value any, want string) {
	p.unusable = append(p.unusable, &SettingError{name, value, want})
}

func (p *settingProblems) group(prefix string, from GroupSettings) *modelGroup {
	return &modelGroup{
		effect:           enumValue(p, prefix+"effect", from.Effect, effectNames[:]),
		dedupScope:       enumValue(p, prefix+"scope", from.Scope, scopeNames[:]),
		dedupWindow:      p.number(prefix+"window", from.Window, 0, 0, infinity),
		objective:        p.positiveDuration(prefix+"slo", from.SLO.value, defaultObjective),
		objectiveStretch: p.number(prefix+"slo_stretch", from.SLOStretch, 0, 0, infinity),
		timeout:          p.positiveDuration(prefix+"timeout", from.Timeout.value, defaultTimeout),
	}
}

// number returns the value if it is within the bounds, and the fallback otherwise. A zero out of bounds is not reported: it
// stands for an absent setting.
func (p *settingProblems) number(name string, value, fallback, low, high float64) float64 {
	want := fmt.Sprintf("a number from %g to %g", low, high)
	if malformed, ok := p.malformed[name]; ok {
		p.add(name, malformed, want)
		return fallback
	}
	if value >= low && value <= high {
		return value
	}
	if value != 0 {
		p.add(name, value, want)
	}
	return fallback
}

// optional is like number, for a setting of which zero is a meaningful value.
func (p *settingProblems) optional(name string, value Optional[float64], fallback, low, high float64) float64 {
	return p.number(name, value.Or(fallback), fallback, low, high)
}

// positiveDuration is like number, for a duration that is used as a divisor or as a delay.
func (p *settingProblems) positiveDuration(name string, value, fallback Seconds) Seconds {
	return p.number(name, value, fallback, minDuration, infinity)
}

// length returns the length of a list, 0 if it is malformed or too large.
func (p *settingProblems) length(name string, length int) int {
	return int(p.number(name, float64(length), 0, 0, maxListLength))
}

func (p *settingProblems) flag(name string, value bool) bool {
	if malformed, ok := p.malformed[name]; ok {
		p.add(name, malformed, "true or false")
		return false
	}
	return value
}

// enumValue returns the selected value of an enumerated setting if it has a name, and 0, the default, otherwise.
func enumValue[E ~uint8](p *settingProblems, name string, selected E, names []string) E {
	value, isUnknown := p.malformed[name]
	if int(selected) >= len(names) {
		value = uint8(selected)
		isUnknown = true
	}
	if !isUnknown {
		return selected
	}
	described := slices.Clone(names)
	slices.Reverse(described) // the default is named last
	p.unknownNames = append(p.unknownNames, &SettingError{name, value, fmt.Sprintf("one of %q", described)})
	return 0
}
