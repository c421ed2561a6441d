package control

import (
	"errors"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// newPlayerWith returns a player with the default scenario settings after change has modified them.
func newPlayerWith(t *testing.T, change func(SettingValues)) *player {
	p := &player{t: t, settings: SettingValues{}, variables: map[string]string{}}
	for _, line := range strings.FieldsFunc(defaultScenarioSettings, func(c rune) bool { return c == ';' || c == '\n' }) {
		p.play(line)
	}
	change(p.settings)
	return p
}

// attempts returns how many of the remaining actions are attempts.
func (p *player) attempts() (n int) {
	for _, a := range p.actions {
		if strings.HasPrefix(a, "attempt ") {
			n++
		}
	}
	return n
}

// TestUnusableSettings checks for each unusable setting that Check reports its name, and that New uses the default and keeps
// one error for the log.
func TestUnusableSettings(t *testing.T) {
	for name, value := range map[string]any{
		"tick": -1.0, "rules.fall": -1.0, "rules.ask_every": math.NaN(), "rules.cold_share": 1.5, "rules.warm_after": -3.0,
		"rules.overload_factor": -2.0, "models.keep": "long", "models.load_window": math.NaN(), "models.load_share": -0.1,
		"dispatchers": -2.0, "limits.max_attempts": 0.5, "limits.hedging": 1.0, "limits.max_retry_after": math.Inf(-1),
		"prices.probe": -1.0, "groups": 1e9, "tenants": 1e12, "load_report.fields": 1e300,
		"groups.0.slo": -0.2, "groups.0.timeout": -1.0,
		"groups.0.slo_stretch": math.NaN(),
	} {
		s := ParseSettings(SettingValues{"groups": 1.0, "models.orders": true, "limits.retry_after": true, name: value})
		var setting *SettingError
		err := Check(s)
		if !errors.As(err, &setting) || setting.Name != name {
			t.Errorf("%s = %v: Check returned %v", name, value, err)
		}
		d := New(1, s, noopActions{})
		if len(d.settingErrors) != 1 || len(d.groups) != 1 || len(d.tenants) != 0 {
			t.Errorf("%s = %v: %d errors, %d groups, %d tenants", name, value, len(d.settingErrors), len(d.groups), len(d.tenants))
		}
	}
	if err := Check(ParseSettings(SettingValues{"groups": 1.0, "a.new.setting": "word"})); err != nil {
		t.Errorf("unknown setting: Check returned %v", err)
	}
	for _, s := range []Settings{{}, ParseSettings(nil), ParseSettings(SettingValues{})} {
		if err := Check(s); err != nil || !reflect.DeepEqual(s, Settings{}) {
			t.Errorf("no settings: got %+v, Check returned %v", s, err)
		}
	}
	for _, name := range []string{"rules.fall", "rules.ask_every", "rules.overload_factor", "dispatchers", "limits.max_attempts", "groups.0.slo", "groups.0.timeout"} {
		if err := Check(ParseSettings(SettingValues{"groups": 1.0, name: 0.0})); err != nil {
			t.Errorf("a zero, which stands for an absent setting on the wire: Check returned %v", err)
		}
	}
}

// TestZeroAndAbsentSettings checks for which settings a zero is a value and for which it means that the setting is absent.
func TestZeroAndAbsentSettings(t *testing.T) {
	absent, _ := resolve(Settings{Groups: []GroupSettings{{}}, Tenants: []TenantSettings{{}}})
	zero, problems := resolve(Settings{
		Tick:      Some(0.0),
		SlowStart: SlowStartSettings{InitialCapacity: Some(0.0)},
		Loads:     LoadSettings{KeepAlive: Some(0.0)},
		Groups:    []GroupSettings{{SLO: Some(0.0), Timeout: Some(0.0)}},
		Tenants:   []TenantSettings{{Quota: Some(0.0)}},
	})
	if len(problems.unusable) > 0 {
		t.Errorf("zeros reported as unusable: %v", problems.unusable)
	}
	if absent.tick != defaultTick || absent.slowStartCapacity != defaultSlowStartCapacity || absent.modelKeepAlive != infinity || absent.quotas[0] != infinity {
		t.Errorf("absent settings: got %+v", absent)
	}
	if zero.tick != 0 || zero.slowStartCapacity != minRatio || zero.modelKeepAlive != 0 || zero.quotas[0] != 0 {
		t.Errorf("zero settings: got %+v", zero)
	}
	if *zero.groups[0] != *absent.groups[0] || zero.groups[0].objective != defaultObjective || zero.groups[0].timeout != defaultTimeout {
		t.Errorf("groups: zero %+v, absent %+v", zero.groups[0], absent.groups[0])
	}
}

// TestHugeAttemptLimit checks that a limit beyond the range of integers means the most attempts possible.
func TestHugeAttemptLimit(t *testing.T) {
	for _, limit := range []float64{maxAttempts + 1, 1e300, math.MaxFloat64} {
		s, _ := resolve(Settings{Attempts: AttemptSettings{Max: limit}})
		if s.maxAttempts != maxAttempts {
			t.Errorf("limits.max_attempts = %g allows %d attempts, want %d", limit, s.maxAttempts, maxAttempts)
		}
	}
}

// TestUnusableTypedSettings checks unusable values that the types of the settings allow: unknown values of enumerated
// settings are recorded apart from the others.
func TestUnusableTypedSettings(t *testing.T) {
	_, problems := resolve(Settings{
		Tick:             Some(math.NaN()),
		Discovery:        DiscoverySettings{Mode: 7},
		Attempts:         AttemptSettings{Max: 0.5},
		LoadReportFields: make([]string, maxListLength+1),
		Groups:           []GroupSettings{{Effect: 3, Scope: 9, SLO: Some(-1.0)}},
		Tenants:          make([]TenantSettings, maxListLength+1),
	})
	names := func(errs []error) (list []string) {
		for _, err := range errs {
			var setting *SettingError
			if errors.As(err, &setting) {
				list = append(list, setting.Name)
			}
		}
		return list
	}
	unusable := names(problems.unusable)
	if want := []string{"tick", "limits.max_attempts", "load_report.fields", "groups.0.slo", "tenants"}; !slices.Equal(unusable, want) {
		t.Errorf("unusable %q, want %q", unusable, want)
	}
	unknown := names(problems.unknownNames)
	if want := []string{"discovery", "groups.0.effect", "groups.0.scope"}; !slices.Equal(unknown, want) {
		t.Errorf("unknown names %q, want %q", unknown, want)
	}
}

// TestUnknownEnumValues checks that an unknown value of an enumerated setting is replaced by the default, which is the
// strictest one, and is logged once. Each setting has another value than the default otherwise.
func TestUnknownEnumValues(t *testing.T) {
	for name, value := range map[string]any{"discovery": "guess", "groups.0.effect": "purest", "groups.0.scope": 4.0, "models.on_miss": "ask"} {
		values := SettingValues{"groups": 1.0, "models.orders": true, "discovery": discoveryNames[1], "groups.0.effect": effectNames[1],
			"groups.0.scope": scopeNames[1], "models.on_miss": missNames[1]}
		values[name] = value
		s := ParseSettings(values)
		err := Check(s)
		if err != nil {
			t.Errorf("%s = %v: Check returned %v", name, value, err)
		}
		log := &logRecorder{}
		d := New(1, s, log)
		d.Reconcile()
		d.Reconcile()
		if len(log.lines) != 1 || !strings.Contains(log.lines[0], name) {
			t.Errorf("%s = %v: logged %q", name, value, log.lines)
		}
		isDefault := map[string]bool{
			"discovery":       d.discovery == 0,
			"groups.0.effect": d.groups[0].effect == NonRetriable,
			"groups.0.scope":  d.groups[0].dedupScope == 0,
			"models.on_miss":  d.missPolicy == 0,
		}
		for other, got := range isDefault {
			if got != (other == name) {
				t.Errorf("%s = %v: %s is the default: %t", name, value, other, got)
			}
		}
	}
}

// TestSlowStartWithUnusableSettings checks that a worker that has just started receives few attempts even if the slow start
// settings are missing or unusable.
func TestSlowStartWithUnusableSettings(t *testing.T) {
	for name, change := range map[string]func(SettingValues){
		"usual":              func(SettingValues) {},
		"no cold share":      func(s SettingValues) { delete(s, "rules.cold_share") },
		"no overload window": func(s SettingValues) { s["rules.fall"] = 0.0 },
		"negative factor":    func(s SettingValues) { s["rules.overload_factor"] = -3.0 },
		"no dispatchers":     func(s SettingValues) { s["dispatchers"] = 0.0 },
	} {
		p := newPlayerWith(t, change)
		p.play("wait 5")
		p.play("workers A,start=4.5")
		p.play("arrive 1-40 model=1 deadline=50")
		p.play("wait 0.05")
		if n := p.attempts(); n > 2 {
			t.Errorf("%s: a worker in slow start received %d attempts within 50 ms, want at most 2", name, n)
		}
	}
}

// TestNonFiniteValues checks that a request with infinite or NaN values still gets its final response, and that load reports
// with unusable values are ignored.
func TestNonFiniteValues(t *testing.T) {
	for _, q := range []Request{{Deadline: math.NaN()}, {Deadline: math.Inf(1)}, {Deadline: 3, LoadTimeHint: math.Inf(1)},
		{Deadline: 3, LoadTimeHint: math.NaN(), WorkHint: math.NaN()}, {Deadline: math.Inf(-1)}} {
		p := newPlayerWith(t, func(s SettingValues) { s["groups.0.timeout"] = 2.0 })
		p.play("workers A")
		q.ID = 1
		p.event(func() { p.d.RequestArrived(q) })
		p.play("wait 2.1")
		if n := p.attempts(); n > 1 || len(p.actions) < 1 || !strings.HasPrefix(p.actions[n], "shed 1") {
			t.Errorf("%+v: got actions %q", q, p.actions)
		}
	}
	p := newPlayerWith(t, func(s SettingValues) {
		s["load_report.fields"], s["load_report.fields.0"], s["dispatchers"] = 1.0, "queue", 200.0
	})
	p.play("workers A B")
	p.event(func() {
		p.d.ProbeFinished(ProbeResult{Worker: 'A', LoadReport: []float64{math.NaN()}})
		p.d.ProbeFinished(ProbeResult{Worker: 'A', LoadReport: []float64{math.Inf(1)}})
		p.d.ProbeFinished(ProbeResult{Worker: 'A', LoadReport: []float64{-4}})
		p.d.ProbeFinished(ProbeResult{Worker: 'A', LoadReport: nil})
	})
	if w := p.d.workers.byID['A']; w.report.inFlight != 0 || w.report.receivedAt != math.Inf(-1) {
		t.Errorf("load report recorded: %g in flight, received at %g", w.report.inFlight, w.report.receivedAt)
	}
}

// TestTrafficClassLimit checks that all tenants share one traffic class if there would be too many traffic classes otherwise.
func TestTrafficClassLimit(t *testing.T) {
	p := newPlayerWith(t, func(s SettingValues) { s["tenants"] = 4000.0 })
	p.play("workers A B")
	p.play("arrive 1-5 model=1 tenant=3999")
	if w := p.d.workers.byID['A']; len(w.outlierByClass) != len(p.d.groups) || p.attempts() == 0 {
		t.Errorf("%d traffic classes, %d attempts", len(w.outlierByClass), p.attempts())
	}
}

// logRecorder records the log messages.
type logRecorder struct {
	noopActions
	lines []string
}

func (l *logRecorder) SubscribeEndpointList(bool) {}
func (l *logRecorder) Log(text string)            { l.lines = append(l.lines, text) }
