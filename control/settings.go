package control

import (
	"errors"
	"fmt"
	"math"
	"strconv"
)

// The settings are read once: looking names up costs more than deciding. A missing one has its default, from the constants
// of control.go; one that can't be used has it too, and is reported by Check and in the log.

// SettingError names a setting that can't be used.
type SettingError struct {
	Name string
	Told any    // its value
	Want string // what may stand there
}

// Error names the setting, its value and what it should be.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s is %v: it should be %s", e.Name, e.Told, e.Want)
}

// Check returns an error that names each setting which can't be used, nil if there is none. A host that may refuse to
// start asks it first; New goes on with the defaults in their place. A word that is not known is no such fault: a later
// platform may have more of them, and the default is the strictest.
func Check(s Settings) error {
	_, r := read(s)
	return errors.Join(r.wrong...)
}

// settings is what they say.
type settings struct {
	tick, askEvery, fall, warmAfter, keepAlive, loadWindow, retryAfterMax  Seconds
	coldShare, overloadFactor, loadFew, loadShare, dispatchers, probePrice float64
	maxAttempts                                                            int // attempts of one request
	hedging, cancel, probing, retryAfter, mayOrder                         bool
	discovery                                                              DiscoveryMode
	onMiss                                                                 MissPolicy
	reportFields                                                           []string
	groups                                                                 []*modelGroup
	quotas                                                                 []float64 // of tenants, requests a second
}

// read reads all settings; the reader keeps what can't be used.
func read(from Settings) (settings, *settingsReader) {
	r := &settingsReader{from: from}
	s := settings{
		tick:           r.number("tick", tickDefault, 0, 1),
		dispatchers:    r.number("dispatchers", 1, 1, dispatchersMax),
		discovery:      ParseDiscoveryMode(r.word("discovery", discoveryWords[:])),
		askEvery:       r.span("rules.ask_every", askEveryDefault),
		fall:           r.span("rules.fall", fallDefault),
		warmAfter:      r.number("rules.warm_after", 0, 0, never),
		coldShare:      math.Max(shareMin, r.number("rules.cold_share", coldShareDefault, 0, 1)),
		overloadFactor: r.number("rules.overload_factor", 1, shareMin, never),
		keepAlive:      r.number("models.keep", never, 0, never), // until a miss or a new start says otherwise
		mayOrder:       r.flag("models.orders"),
		onMiss:         ParseMissPolicy(r.word("models.on_miss", missWords[:])),
		loadWindow:     r.number("models.load_window", 0, 0, never),
		loadFew:        r.number("models.load_few", 0, 0, never),
		loadShare:      r.number("models.load_share", 0, 0, never),
		maxAttempts:    min(maxAttempts, int(r.number("limits.max_attempts", 1, 1, never))),
		hedging:        r.flag("limits.hedging"),
		cancel:         r.flag("limits.cancel"),
		probing:        r.flag("limits.probes"),
		retryAfter:     r.flag("limits.retry_after"),
		retryAfterMax:  r.number("limits.max_retry_after", 0, 0, never),
		probePrice:     r.number("prices.probe", 0, 0, never),
	}
	if !s.retryAfter {
		s.retryAfterMax = 0
	}
	for i := range r.count("load_report.fields") {
		s.reportFields = append(s.reportFields, from.Text("load_report.fields."+strconv.Itoa(i)))
	}
	for i := range max(1, r.count("groups")) { // where none is told there is one, of the strictest kind
		s.groups = append(s.groups, r.group("groups."+strconv.Itoa(i)+"."))
	}
	for i := range r.count("tenants") {
		s.quotas = append(s.quotas, r.number("tenants."+strconv.Itoa(i)+".quota", never, 0, never))
	}
	return s, r
}

// settingsReader keeps what can't be used, and words that are not known.
type settingsReader struct {
	from           Settings
	wrong, unknown []error
}

func (r *settingsReader) group(at string) *modelGroup {
	return &modelGroup{
		effect:     ParseEffect(r.word(at+"effect", effectWords[:])),
		scope:      ParseDedupScope(r.word(at+"scope", scopeWords[:])),
		window:     r.number(at+"window", 0, 0, never),
		slo:        r.span(at+"slo", sloDefault),
		sloStretch: r.number(at+"slo_stretch", 0, 0, never),
		timeout:    r.span(at+"timeout", timeoutDefault),
	}
}

// number reads a number within bounds. Zero counts as not told where it is out of them: that is how the wire says so.
func (r *settingsReader) number(name string, fallback, low, high float64) float64 {
	v, told := r.from[name]
	if !told {
		return fallback
	}
	n, ok := v.(float64)
	switch {
	case ok && n >= low && n <= high:
		return n
	case !ok || n != 0:
		r.wrong = append(r.wrong, &SettingError{name, v, fmt.Sprintf("a number from %g to %g", low, high)})
	}
	return fallback
}

// span reads seconds by which something is divided or waited for.
func (r *settingsReader) span(name string, fallback Seconds) Seconds {
	return r.number(name, fallback, spanMin, never)
}

// count reads the length of a list.
func (r *settingsReader) count(name string) int {
	if n, ok := r.from[name].(Length); ok && n <= listMax {
		return int(n)
	}
	return int(r.number(name, 0, 0, listMax))
}

// word reads one of the known words; the first of them is the fallback.
func (r *settingsReader) word(name string, known []string) string {
	v, told := r.from[name]
	if !told {
		return known[0]
	}
	for _, w := range known {
		if v == w {
			return w
		}
	}
	r.unknown = append(r.unknown, &SettingError{name, v, fmt.Sprintf("one of %q", known)})
	return known[0]
}

func (r *settingsReader) flag(name string) bool {
	v, told := r.from[name]
	on, ok := v.(bool)
	if told && !ok {
		r.wrong = append(r.wrong, &SettingError{name, v, "true or false"})
	}
	return on
}
