package membership

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"mastchute/control"
	"mastchute/internal/config"
)

func entry(name string, state control.WorkerState) Entry {
	return Entry{Name: name, Addr: netip.MustParseAddrPort("127.0.0.1:90"), State: state, Weight: 1}
}

func names(list []*Worker) string {
	var out []string
	for _, w := range list {
		out = append(out, w.Name)
	}
	return strings.Join(out, " ")
}

func TestStricterWordHolds(t *testing.T) {
	r := New(config.WorkerID)
	say := func(want string, changed []*Worker, err error) {
		t.Helper()
		if err != nil || names(changed) != want {
			t.Errorf("changed %q, want %q, %v", names(changed), want, err)
		}
	}
	is := func(name string, s control.WorkerState, from Source) {
		t.Helper()
		if w := r.ByName(name); w == nil || w.State != s || w.Advertised().State != s || w.Source != from {
			t.Errorf("%s: %+v", name, w)
		}
	}
	c, err := r.Replace(SourceConfig, []Entry{entry("a", control.Ready), entry("b", control.Ready)}, 1)
	say("a b", c, err)
	c, err = r.Replace(SourceFile, []Entry{entry("a", control.Draining), entry("c", control.Ready)}, 2)
	say("a c", c, err)
	is("a", control.Draining, SourceFile)
	c, err = r.SetAdminState(entry("c", control.Gone), 3)
	say("c", c, err)
	is("c", control.Gone, SourceAdmin)
	if w := r.ByName("c"); w.ChangedAt != 3 || w.Version != r.Version {
		t.Errorf("heard at %g in version %d of %d", w.ChangedAt, w.Version, r.Version)
	}
	c, err = r.Replace(SourceFile, []Entry{entry("c", control.Ready)}, 4) // the file takes a's drain back; c stays ruled
	say("a", c, err)
	if w := r.ByName("a"); !w.AwaitingStartupProbe() || w.Advertised().State != control.Draining || !r.FinishStartupProbe(w) || r.FinishStartupProbe(w) {
		t.Errorf("ready again, and not to be greeted first: %+v", w)
	}
	is("a", control.Ready, SourceConfig)
	is("c", control.Gone, SourceAdmin)
	c, err = r.SetAdminState(entry("c", control.Ready), 5)
	say("c", c, err)
	c, err = r.Replace(SourceConfig, nil, 6) // b is named by nobody now; a neither
	say("a b", c, err)
	is("b", control.Gone, SourceConfig)
	if c, _ = r.Replace(SourceConfig, nil, 7); len(c) > 0 {
		t.Errorf("nothing new, yet %q changed", names(c))
	}
	if _, err := r.SetAdminState(Entry{Name: "x", State: control.Draining}, 8); err == nil {
		t.Error("an unknown worker without an address was taken")
	}
}

// A start that differs from those heard of is another one, whatever its number: clocks are set back. Its time is bounded by
// when the one before was heard and by now.
func TestStartsAreTold(t *testing.T) {
	r := New(config.WorkerID)
	r.Replace(SourceConfig, []Entry{entry("a", control.Ready)}, 0)
	w := r.ByName("a")
	for _, c := range []struct {
		epoch, start, now float64
		news              bool
		want              float64
	}{
		{100, 50, 60, true, 50},  // the first told: it may be of long ago
		{100, 50, 61, false, 50}, // the same
		{90, 40, 62, true, 62},   // the clock was set back: it is not from before the first was heard
		{100, 50, 63, false, 62}, // an answer that was under way
		{101, 62.5, 64, true, 62.5},
		{3701, 3650, 65, true, 65}, // the clock was set ahead
		{90, 40, 66, false, 65},
		{0, 0, 67, false, 65}, // nothing told
	} {
		if got := r.ObserveStart(w, c.epoch, c.start, c.now); got != c.news || w.Advertised().StartedAt != c.want {
			t.Errorf("start %g at %g: news %v, start %g; want %v, %g", c.epoch, c.now, got, w.Advertised().StartedAt, c.news, c.want)
		}
	}
}

// Of the readings that a stepped wall clock allows, the later one that is not in the future holds.
func TestStartAt(t *testing.T) {
	for _, c := range []struct{ atStart, now, epoch, want float64 }{
		{1000, 1000, 1009, 9},   // no step
		{1000, 1000, 1100, 10},  // told by a clock that goes ahead
		{1000, 4600, 1009, 9},   // only ours was stepped, ahead
		{1000, 4600, 4609, 9},   // theirs too
		{5000, 1400, 5009, 9},   // only ours, back
		{5000, 1400, 1409, 9},   // theirs too
		{1000, 1004, 1009, 9},   // by seconds
		{1000, 1000, 400, -600}, // of long ago
	} {
		if got := (WallClock{c.atStart, c.now}).ToMonotonic(c.epoch, 10); got != c.want {
			t.Errorf("%+v: %g", c, got)
		}
	}
}

func TestCollisionIsNamed(t *testing.T) {
	r := New(func(string) control.WorkerID { return 7 })
	if _, err := r.Replace(SourceConfig, []Entry{entry("a", control.Ready)}, 0); err != nil {
		t.Fatal(err)
	}
	_, err := r.Replace(SourceFile, []Entry{entry("b", control.Ready)}, 0)
	if err == nil || !strings.Contains(err.Error(), `"a" and "b"`) {
		t.Errorf("%v", err)
	}
	if _, err := r.SetAdminState(entry("b", control.Gone), 0); err == nil {
		t.Error("a colliding name was taken from the admin interface")
	}
}

// Whatever the sources say in whatever order, a worker is as strict as the strictest word that stands.
func TestAgainstPlainRule(t *testing.T) {
	states := []control.WorkerState{control.Ready, control.Draining, control.Gone}
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		r := New(config.WorkerID)
		said := [2]map[string]control.WorkerState{{}, {}}
		ruled := map[string]control.WorkerState{}
		version := uint32(0)
		for now := range 40 {
			if s := Source(rnd.IntN(3)); s < SourceAdmin {
				said[s] = map[string]control.WorkerState{}
				var list []Entry
				for _, n := range []string{"a", "b", "c"} {
					if rnd.IntN(2) == 0 {
						said[s][n] = states[rnd.IntN(3)]
						list = append(list, entry(n, said[s][n]))
					}
				}
				r.Replace(s, list, float64(now))
			} else if w := r.ByName("a"); w != nil && w.Listed {
				ruled["a"] = states[rnd.IntN(3)]
				r.SetAdminState(Entry{Name: "a", State: ruled["a"]}, float64(now))
			}
			for _, n := range []string{"a", "b", "c"} {
				want, named := control.Ready, false
				for s := range said {
					if st, ok := said[s][n]; ok {
						named = true
						if strictness(st) > strictness(want) {
							want = st
						}
					}
				}
				if st, ok := ruled[n]; ok && strictness(st) > strictness(want) {
					want = st
				}
				if !named {
					want = control.Gone
				}
				if w := r.ByName(n); w != nil && w.State != want {
					t.Fatalf("seed %d step %d: %s is %d, want %d", seed, now, n, w.State, want)
				}
			}
			if r.Version < version {
				t.Fatal("version went back")
			}
			version = r.Version
		}
	}
}

func TestGreetingIsRepeatedUntilAnswered(t *testing.T) {
	var g StartupProbe
	if g.ConnectionLost() {
		t.Error("asked a worker that was sent nothing")
	}
	g.MarkSent()
	if !g.ConnectionLost() || g.ConnectionLost() || !g.pending {
		t.Error("a loss asks once, until the answer")
	}
	sum, last := 0.0, 0.0
	for range 8 {
		last = g.ProbeFinished(false, 0.5)
		sum += last
	}
	if last != maxProbeBackoff || sum > 8*maxProbeBackoff || g.ProbeFinished(false, 0) != maxProbeBackoff/2 {
		t.Errorf("waits of %g in all, the last %g", sum, last)
	}
	if g.ProbeFinished(true, 0.5) != 0 || g.ConnectionLost() {
		t.Error("answered, and asked again without anything sent")
	}
	if g.MarkSent(); !g.ConnectionLost() || g.ProbeFinished(false, 0.5) != minProbeBackoff {
		t.Error("a new loss begins anew")
	}
}
