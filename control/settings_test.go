package control

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// usualPlayer is a player under the usual settings, changed by change.
func usualPlayer(t *testing.T, change func(Settings)) *player {
	p := &player{t: t, set: Settings{}, variables: map[string]string{}}
	for _, line := range strings.FieldsFunc(usual, func(c rune) bool { return c == ';' || c == '\n' }) {
		p.play(line)
	}
	change(p.set)
	return p
}

func (p *player) attempts() (n int) {
	for _, a := range p.actions {
		if strings.HasPrefix(a, "attempt ") {
			n++
		}
	}
	return n
}

// TestSettingsThatCannotBeUsed gives one at a time: Check names it, New goes on with its default and says so once.
func TestSettingsThatCannotBeUsed(t *testing.T) {
	for name, v := range map[string]any{
		"tick": -1.0, "rules.fall": -1.0, "rules.ask_every": math.NaN(), "rules.cold_share": 1.5, "rules.warm_after": -3.0,
		"rules.overload_factor": -2.0, "models.keep": "long", "models.load_window": math.NaN(), "models.load_share": -0.1,
		"dispatchers": -2.0, "limits.max_attempts": 0.5, "limits.hedging": 1.0, "limits.max_retry_after": math.Inf(-1),
		"prices.probe": -1.0, "groups": 1e9, "tenants": 1e12, "load_report.fields": 1e300,
		"groups.0.slo": -0.2, "groups.0.timeout": -1.0,
		"groups.0.slo_stretch": math.NaN(),
	} {
		s := Settings{"groups": 1.0, "models.orders": true, "limits.retry_after": true, name: v}
		var wrong *SettingError
		if err := Check(s); !errors.As(err, &wrong) || wrong.Name != name {
			t.Errorf("%s = %v: %v", name, v, err)
		}
		d := New(1, s, quiet{})
		if len(d.settingErrors) != 1 || len(d.groups) != 1 || len(d.tenants) != 0 {
			t.Errorf("%s = %v: %d faults, %d groups, %d tenants", name, v, len(d.settingErrors), len(d.groups), len(d.tenants))
		}
	}
	if err := Check(Settings{"groups": 1.0, "a.new.setting": "word"}); err != nil {
		t.Errorf("an unknown setting: %v", err)
	}
	if err := Check(Settings{}); err != nil {
		t.Errorf("no settings: %v", err)
	}
	for _, name := range []string{"rules.fall", "rules.ask_every", "rules.overload_factor", "dispatchers", "limits.max_attempts", "groups.0.slo", "groups.0.timeout"} {
		if err := Check(Settings{"groups": 1.0, name: 0.0}); err != nil {
			t.Errorf("zero is how the wire says that nothing is told: %v", err)
		}
	}
}

// TestUnknownWords: the strictest default stands in place of a word that is not known, and the log says so once.
func TestUnknownWords(t *testing.T) {
	for name, v := range map[string]any{"discovery": "guess", "groups.0.effect": "purest", "groups.0.scope": 4.0, "models.on_miss": "ask"} {
		s := Settings{"groups": 1.0, "models.orders": true, name: v}
		if err := Check(s); err != nil {
			t.Errorf("%s = %v ends the start: %v", name, v, err)
		}
		log := &logged{}
		d := New(1, s, log)
		d.Reconcile()
		d.Reconcile()
		if len(log.lines) != 1 || !strings.Contains(log.lines[0], name) || d.groups[0].effect != NonRetriable {
			t.Errorf("%s = %v: %q, %s", name, v, log.lines, d.groups[0].effect)
		}
	}
}

// TestColdWorkerUnderOddSettings sends forty requests to a worker that started a moment ago: where the figures of the
// rule are missing or can't be used, it gets no more than under the usual ones.
func TestColdWorkerUnderOddSettings(t *testing.T) {
	for name, change := range map[string]func(Settings){
		"usual":           func(Settings) {},
		"no cold share":   func(s Settings) { delete(s, "rules.cold_share") },
		"no time to fall": func(s Settings) { s["rules.fall"] = 0.0 },
		"negative factor": func(s Settings) { s["rules.overload_factor"] = -3.0 },
		"no dispatchers":  func(s Settings) { s["dispatchers"] = 0.0 },
	} {
		p := usualPlayer(t, change)
		p.play("wait 5")
		p.play("workers A,start=4.5")
		p.play("arrive 1-40 model=1 deadline=50")
		p.play("wait 0.05")
		if n := p.attempts(); n > 2 {
			t.Errorf("%s: %d attempts at a cold worker at once", name, n)
		}
	}
}

// TestValuesThatAreNoNumbers hands in figures that are no numbers: the request is answered all the same, and a report
// with one changes nothing.
func TestValuesThatAreNoNumbers(t *testing.T) {
	for _, q := range []Request{{Deadline: math.NaN()}, {Deadline: math.Inf(1)}, {Deadline: 3, LoadTimeHint: math.Inf(1)},
		{Deadline: 3, LoadTimeHint: math.NaN(), WorkHint: math.NaN()}, {Deadline: math.Inf(-1)}} {
		p := usualPlayer(t, func(s Settings) { s["groups.0.timeout"] = 2.0 })
		p.play("workers A")
		q.ID = 1
		p.event(func() { p.d.RequestArrived(q) })
		p.play("wait 2.1")
		if n := p.attempts(); n > 1 || len(p.actions) < 1 || !strings.HasPrefix(p.actions[n], "shed 1") {
			t.Errorf("%+v: %q", q, p.actions)
		}
	}
	p := usualPlayer(t, func(s Settings) {
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
		t.Errorf("held %g, as of %g", w.report.inFlight, w.report.receivedAt)
	}
}

// TestManyTenants: where model groups times tenants would fill the memory of each worker, tenants share one record.
func TestManyTenants(t *testing.T) {
	p := usualPlayer(t, func(s Settings) { s["tenants"] = 4000.0 })
	p.play("workers A B")
	p.play("arrive 1-5 model=1 tenant=3999")
	if w := p.d.workers.byID['A']; len(w.outlierByClass) != len(p.d.groups) || p.attempts() == 0 {
		t.Errorf("%d records, %d attempts", len(w.outlierByClass), p.attempts())
	}
}

// logged keeps what is logged.
type logged struct {
	quiet
	lines []string
}

func (l *logged) Log(text string) { l.lines = append(l.lines, text) }
