package control

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the traces anew: only where decisions are meant to change")

// drawn is a world drawn from a seed: it answers what the dispatcher does, well or badly, after a while.
type drawn struct {
	rnd   *rand.Rand
	d     *Dispatcher
	now   Seconds
	due   []due
	lines []string
	n     map[RequestID]int
	final map[RequestID]bool
}

type due struct {
	at  Seconds
	seq int
	f   func()
}

func (w *drawn) say(f string, a ...any) {
	w.lines = append(w.lines, fmt.Sprintf("%.4f ", w.now)+fmt.Sprintf(f, a...))
}

func (w *drawn) after(s Seconds, f func()) { w.due = append(w.due, due{w.now + s, len(w.due), f}) }

func (w *drawn) SendAttempt(i RequestID, to WorkerID, _ Seconds) {
	w.say("attempt %d %d", i, to)
	f := w.n[i]
	w.n[i]++
	o := AttemptResult{ID: i, Attempt: f, Worker: to, SameModelInFlight: -1, Duration: 0.02 + w.rnd.ExpFloat64()*0.08, LoadReport: []float64{float64(w.rnd.IntN(9)), 1}}
	switch w.rnd.IntN(12) {
	case 0:
		o.Result = AtCapacity
	case 1:
		o.Result = []Result{WorkerError, ConnectionReset, ConnectFailed, TimedOut}[w.rnd.IntN(4)]
	case 2:
		o.Result, o.Duration = ModelNotLoaded, 0.002
	case 3:
		o.Duration = 2
	default:
		o.ModelState = []ModelState{ModelWarm, ModelWarm, ModelWarm, LoadStarted, LoadAwaited}[w.rnd.IntN(5)]
		if o.ModelState != ModelWarm {
			o.Duration += 0.5
		}
	}
	if int(to)%7 == 3 && math.Mod(w.now, 6) > 4 { // silence now and then
		o.Duration += 4
	}
	w.after(o.Duration, func() {
		o.RequestAnswered = w.final[i] || o.Result == Succeeded
		w.final[i] = o.RequestAnswered
		w.d.AttemptFinished(o)
	})
}
func (w *drawn) Shed(i RequestID, s Seconds)      { w.say("shed %d %.4f", i, s); w.final[i] = true }
func (w *drawn) Fail(i RequestID)                 { w.say("fail %d", i); w.final[i] = true }
func (w *drawn) CancelAttempt(i RequestID, f int) { w.say("cancel %d.%d", i, f) }
func (w *drawn) LoadModel(to WorkerID, m ModelID, n int) {
	w.say("order %d %d %d", to, m, n)
	r := LoadResult{Worker: to, Model: m, Duration: 0.2 + w.rnd.Float64(), Replicas: 1}
	if w.rnd.IntN(6) == 0 {
		r.Result, r.Replicas = AtCapacity, 0
	}
	w.after(r.Duration, func() { w.d.LoadFinished(r) })
}
func (w *drawn) UnloadModel(to WorkerID, m ModelID) { w.say("unload %d %d", to, m) }
func (w *drawn) ProbeWorker(to WorkerID) {
	w.say("probe %d", to)
	w.after(0.003, func() { w.d.ProbeFinished(ProbeResult{Worker: to, LoadReport: []float64{float64(w.rnd.IntN(9)), 1}}) })
}
func (w *drawn) CloseIdleConnections(WorkerID)  {}
func (w *drawn) SendPeerMessage(PeerID, []byte) {}
func (w *drawn) SubscribeWorkerList(on bool)    { w.say("subscribe %v", on) }
func (w *drawn) FetchWorkerList()               { w.say("fetch") }
func (w *drawn) SetTimer(s Seconds, t TimerID) {
	w.after(s, func() { w.d.TimerFired(t) })
}
func (w *drawn) Log(string) {}

// world plays one seed and returns what the dispatcher did; settled, if any, is called after each event.
func world(seed uint64, settled func(*drawn)) []string {
	w := &drawn{rnd: rand.New(rand.NewPCG(seed, 5)), n: map[RequestID]int{}, final: map[RequestID]bool{}}
	rnd := w.rnd
	pick := func(s ...string) string { return s[rnd.IntN(len(s))] }
	workers, fellows := 4+rnd.IntN(40), []float64{1, 2, 40}[rnd.IntN(3)]
	s := SettingValues{"limits.max_attempts": float64(1 + rnd.IntN(6)), "limits.hedging": rnd.IntN(3) > 0, "limits.cancel": rnd.IntN(4) > 0,
		"limits.probes": rnd.IntN(2) == 0, "limits.retry_after": true, "limits.max_retry_after": 0.5, "models.keep": 1 + 8*rnd.Float64(), "models.on_miss": pick("miss", "load"),
		"models.orders": rnd.IntN(4) > 0, "rules.warm_after": 5.0, "rules.cold_share": 0.2, "rules.fall": 1.0, "rules.overload_factor": 3.0,
		"tick": 0.001, "dispatchers": fellows, "discovery": pick("push", "ask"), "groups": 3.0, "tenants": 2.0, "tenants.0.quota": 20.0 * fellows,
		"load_report.fields": float64(rnd.IntN(2)), "load_report.fields.0": "inflight"}
	if rnd.IntN(2) == 0 {
		s["models.load_window"], s["models.load_few"], s["models.load_share"] = 5.0, 3.0, 0.2
	}
	for i, e := range []string{"retriable", "deduped", "non-retriable"} {
		at := fmt.Sprintf("groups.%d.", i)
		s[at+"effect"], s[at+"scope"], s[at+"window"] = e, pick("all", "zone", "cell"), 2.0
		s[at+"slo"], s[at+"timeout"] = 0.5+rnd.Float64(), 3.0
	}
	w.d = New(seed, ParseSettings(s), w)
	list := make([]WorkerInfo, workers)
	for i := range list {
		list[i] = WorkerInfo{ID: WorkerID(1000 + i), Zone: ZoneID(i % 3), Cell: CellID(i % 2), State: Ready, Weight: 1, StartedAt: math.Inf(-1)}
	}
	w.d.SetNow(0)
	w.d.UpdateWorkers(ListSnapshot, 1, list)
	w.d.Reconcile()
	rate := float64(workers) * (1 + 8*rnd.Float64())
	if fellows > 2 {
		rate /= 20
	}
	models := 1 + rnd.IntN(3*workers)
	id := RequestID(0)
	var arrive func()
	arrive = func() {
		id++
		i := id
		m := ModelID(float64(models) * math.Pow(rnd.Float64(), 2.5))
		q := Request{ID: i, Model: m, Group: GroupID(m % 3), Tenant: TenantID(rnd.IntN(3)), Deadline: math.Inf(1), ClientRetry: rnd.IntN(9) == 0}
		if rnd.IntN(2) == 0 {
			q.Deadline = w.now + 0.02 + 2*rnd.Float64()
		}
		if rnd.IntN(3) == 0 {
			q.LoadTimeHint, q.WorkHint = rnd.Float64(), 0.1*rnd.Float64()
		}
		w.d.RequestArrived(q)
		if rnd.IntN(25) == 0 {
			w.after(0.3*rnd.Float64(), func() {
				if !w.final[i] {
					w.final[i] = true
					w.d.RequestCancelled(i)
				}
			})
		}
		w.after(rnd.ExpFloat64()/rate, arrive)
	}
	w.after(0, arrive)
	var change func()
	change = func() {
		l := &list[rnd.IntN(workers)]
		switch rnd.IntN(5) {
		case 0:
			l.State = Draining
		case 1:
			l.State = Gone
		case 2:
			l.StartedAt, l.State = w.now, Ready
		default:
			l.State = Ready
		}
		w.d.UpdateWorkers(ListDelta, 2, []WorkerInfo{*l})
		w.after(rnd.ExpFloat64()*0.7, change)
	}
	w.after(1, change)
	for len(w.due) > 0 && id < 1200 {
		sort.SliceStable(w.due, func(i, j int) bool { return w.due[i].at < w.due[j].at })
		e := w.due[0]
		w.due = w.due[1:]
		w.now = math.Max(w.now, e.at)
		w.d.SetNow(w.now)
		e.f()
		w.d.Reconcile()
		if settled != nil {
			settled(w)
		}
	}
	return w.lines
}

// blockOf is how many actions one line of a kept trace stands for.
const blockOf = 200

// TestTraces compares what the dispatcher does in drawn worlds, action by action, with what it did when the traces were
// kept. A change that only makes it quicker must not change one of them.
func TestTraces(t *testing.T) {
	for seed := range uint64(40) {
		file := fmt.Sprintf("testdata/traces/%02d.txt", seed)
		lines := world(seed, nil)
		var out strings.Builder
		for i := 0; i < len(lines); i += blockOf {
			h := fnv.New32a()
			h.Write([]byte(strings.Join(lines[i:min(len(lines), i+blockOf)], "\n")))
			fmt.Fprintf(&out, "%08x\n", h.Sum32())
		}
		if *update {
			os.MkdirAll("testdata/traces", 0o755)
			os.WriteFile(file, []byte(out.String()), 0o644)
			continue
		}
		kept, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if string(kept) == out.String() {
			continue
		}
		want, got := strings.Split(string(kept), "\n"), strings.Split(out.String(), "\n")
		i := 0
		for i < min(len(want), len(got)) && want[i] == got[i] {
			i++
		}
		t.Errorf("seed %d: the first difference is among actions %d to %d of %d:\n%s", seed, i*blockOf+1, (i+1)*blockOf, len(lines),
			strings.Join(lines[min(len(lines), i*blockOf):min(len(lines), (i+1)*blockOf)], "\n"))
	}
}
