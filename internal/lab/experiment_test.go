package lab

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		x    []float64
		want string
	}{
		{[]float64{0.1}, ""}, {[]float64{0.1, 0.11, 0.09, 0.1}, "clear"}, {[]float64{0.001, -0.001, 0.0005, -0.0005}, "hopeless"},
		{[]float64{0.2, -0.2, 0.1, -0.05}, ""}, {[]float64{0, 0, 0, 0}, "hopeless"},
	} {
		if got := verdict(c.x, 0.005); got != c.want {
			t.Errorf("%v: %q, not %q", c.x, got, c.want)
		}
	}
	if h := halfWidth([]float64{1, 2, 3, 4}, 0.95); math.Abs(h-2.0542) > 1e-3 { // t(0.975, 3) = 3.1824
		t.Errorf("half width %g", h)
	}
}

const tinyScenario = `name: tiny
length: 8s
settings:
  groups: [{name: g, effect: retriable, slo: 500ms, timeout: 1s}]
  loads: {on_miss: load, keep: 30s}
fleet: {workers: 3, cores: 2, queue: 8, keep: 30s}
models: [{name: m, count: 2, group: g, memory: 100MB, lanes: 4, work: 50ms, fetch: 50ms, boot: 50ms}]
clients: {rate: 30}
`

func TestExperimentDoesNotDependOnJobs(t *testing.T) {
	list, err := MakeVariants([]byte(tinyScenario), []string{"fleet.workers", "settings.groups[0].slo"}, [][]string{{"1", "3"}, {"500ms", "60ms"}})
	if err != nil || len(list) != 4 || list[3].Name != "fleet.workers=3 settings.groups[0].slo=60ms" {
		t.Fatalf("%v %+v", err, list)
	}
	play := func(jobs int) string {
		rows, err := Experiment(context.Background(), list, Limits{Seeds: 8, MinDifference: 0.005, Concurrency: jobs}, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		if rows[1].Stopped != "clear" || rows[1].Seeds != 4 || rows[1].Difference > -0.05 {
			t.Errorf("an SLO time of little more than the work: %+v", rows[1])
		}
		var b bytes.Buffer
		WriteResults(&b, rows)
		return b.String()
	}
	if a, b := play(1), play(4); a != b {
		t.Errorf("%s\n%s", a, b)
	}
	bad, _ := MakeVariants([]byte(tinyScenario), []string{"fleet.workers"}, [][]string{{"-1", "2"}})
	if _, err := Experiment(context.Background(), bad, Limits{Seeds: 4}, io.Discard); err == nil || !strings.Contains(err.Error(), "fleet.workers") {
		t.Errorf("a variant out of range: %v", err)
	}
	if _, err := Experiment(context.Background(), list, Limits{Seeds: 1}, io.Discard); err == nil {
		t.Error("one seed was taken for an interval")
	}
	for _, key := range []string{"settings.groups[7].slo", "name.x"} {
		if _, err := MakeVariants([]byte(tinyScenario), []string{key}, [][]string{{"1"}}); err == nil {
			t.Errorf("%s was set", key)
		}
	}
}

func TestShrinkKeepsTheWeakness(t *testing.T) {
	text := []byte(tinyScenario + `troubles:
  - {at: 2s, for: 5s, kind: hang}
  - {at: 3s, for: 1s, kind: report_late, worker: w1}
  - {at: 4s, for: 1s, kind: slow_connect, worker: w2}
drains: [{at: 5s, for: 1s, worker: w3}]
`)
	_, rep := simulate(t, string(text), 1)
	_, calm := simulate(t, tinyScenario, 1)
	if calm.Service-rep.Service < 0.3 {
		t.Fatalf("service %g, %g without troubles", rep.Service, calm.Service)
	}
	small, err := ParseScenario("small", Shrink(context.Background(), WeakScenario{Text: text, Service: rep.Service, ServiceWithoutFaults: calm.Service}, io.Discard), Simulated)
	if err != nil || len(small.Faults) != 1 || small.Faults[0].Kind != "hang" || len(small.Drains) > 0 {
		t.Errorf("%v %+v", err, small)
	}
}

// The report holds how near a rule came to its limit, which grows with the load.
func TestNearestToTheLimit(t *testing.T) {
	cold := strings.Replace(tinyScenario, "fleet: {", "fleet: {cold: true, ", 1)
	near := func(rate string) float64 {
		_, rep := simulate(t, strings.Replace(cold, "rate: 30", "rate: "+rate, 1), 1)
		if f := rep.Findings[0]; f.Nearest <= 0 || f.Nearest > 1 {
			t.Errorf("rule 1: %g of the client's time", f.Nearest)
		}
		return rep.Findings[3].Nearest
	}
	if low, high := near("10"), near("60"); !(low > 0 && low < high && high <= 1) {
		t.Errorf("rule 4: %g of the limit, and %g at six times the load", low, high)
	}
}

func TestDrawnScenariosAreValidAndRepeat(t *testing.T) {
	for seed := uint64(1); seed <= 100; seed++ {
		a, err := DrawScenario(seed)
		if err == nil {
			_, err = ParseScenario("drawn", a, Simulated)
		}
		if b, _ := DrawScenario(seed); err != nil || !bytes.Equal(a, b) {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func TestConvertReportsWhatItLeavesOut(t *testing.T) {
	const day = `{"site":"s","kind":"k","length":2e7,"drain_grace":5e5,"fall_for":1e6,"fall_multiple":3,"traffic":{"load":0.5},
"classes":[{"name":"a","share":1,"work":1e5,"aim":1e6,"deadline":3e6,"worth":2,"effect":"keyed","group":"zone","window":2e6}],
"tiers":[{"kinds":[{"cores":4,"queue":20,"cold_from":0.3,"cold":5e6}]}],"zones":["z"],"servers":[{"speed":1},{"speed":1}],"balancers":[{},{}],
"troubles":[{"kind":"hang","at":5e6,"len":1e6,"on":[1]},{"kind":"scan","at":6e6,"len":1e6},{"kind":"origin_slow","at":7e6,"len":1e6,"size":4}],
"fam":{"catalog":0.3,"keep":8e6,"spare":1e6,"zipf":1.1,"fetch_share":0.5,"loads_at_once":3,"store_takes":2,"store_headroom":2,"sorts":[{"lanes":2,"load":1e6,"memory":2e5}]}}`
	text, left, err := Convert([]byte(day))
	if err != nil {
		t.Fatal(err)
	}
	d, err := ParseScenario("converted", text, Simulated)
	if err != nil || len(d.Faults) != 2 || d.Faults[0].Worker != "w2" || d.Faults[1].Kind != "store_slow" || d.Settings.Groups[0].Effect != "deduped" ||
		d.Dispatchers != 2 || d.Clients.Rate != 40 || d.Settings.Loads.OnMiss != "miss" {
		t.Errorf("%v %+v", err, d)
	}
	if !strings.Contains(strings.Join(left, "\n"), "trouble scan at 6.0 s") {
		t.Errorf("not named: %q", left)
	}
	for _, bad := range []string{"{", "{}", `{"length":-1}`} {
		if _, _, err := Convert([]byte(bad)); err == nil {
			t.Errorf("%s was taken", bad)
		}
	}
}

// A gateway that stands still for a while keeps those waiting that were meant to be sent meanwhile: all of them count.
func TestLoadMeasuresFromTheIntendedTime(t *testing.T) {
	var n atomic.Int64
	gate := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n.Add(1) <= 50 {
			<-gate
		}
		w.Header().Set("Mastchute-Answer", "returned")
	}))
	defer srv.Close()
	o := LoadOptions{URL: srv.URL, Timeout: 5, Seed: 1}
	for i := range 50 {
		o.Trace = append(o.Trace, Arrival{At: float64(i) * 0.002, Model: "m"})
	}
	time.AfterFunc(400*time.Millisecond, func() { close(gate) })
	r, err := GenerateLoad(context.Background(), o)
	if err != nil || r.Asked != 50 || r.Answers["returned"] != 50 || r.Returned.P50 < 0.3 || r.Returned.Max < 0.39 {
		t.Errorf("%v %+v", err, r)
	}
	for _, url := range []string{"http://192.0.2.1:80", "https://127.0.0.1:1", "http://localhost:80", "x"} {
		if _, err := GenerateLoad(context.Background(), LoadOptions{URL: url, Models: []string{"m"}, Rate: 1, Duration: 1}); err == nil {
			t.Errorf("%s was taken", url)
		}
	}
	for _, bad := range []string{`{"at":-1,"model":"m"}`, `{"at":1}`, `{"at":2,"model":"m"}` + "\n" + `{"at":1,"model":"m"}`, `{"when":1}`} {
		if _, err := ReadTrace(strings.NewReader(bad)); err == nil {
			t.Errorf("%s was taken", bad)
		}
	}
}

func TestPageIsComplete(t *testing.T) {
	_, a := simulate(t, tinyScenario+"troubles: [{at: 2s, for: 1s, kind: hang, worker: w1}]\n", 1)
	_, b := simulate(t, tinyScenario, 2)
	var out bytes.Buffer
	if err := WritePage(&out, []*Report{a, b}); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	if strings.Count(page, "<svg") != 12 || !strings.Contains(page, "hang w1 2.0 to 3.0 s") || strings.Contains(page, "http://127") || !strings.Contains(page, "m-1") {
		t.Errorf("%d plots in %d bytes", strings.Count(page, "<svg"), len(page))
	}
}
