package control

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// The notation, one step a line or several with ; between:
//
//	set NAME VALUE                     a setting, before the first event
//	workers [full] A[,zone=N,cell=N,start=T,state=ready|draining|gone] ...
//	take N model=M [group=G] [until=T] [load=S] [work=S] [lanes=N] [tenant=N]   N may be a span: 1-20
//	end N.F RESULT [warm|began|waited|failed]      attempt F of request N ends
//	ordered A M RESULT COPIES          a load order is answered
//	leave N | asked-failed             the client leaves | a call to discovery failed
//	wait S                             time passes, timers fire
//	expect ACTION                      the next action; $x stands for any word, the same each time
//	expect-none | forget               no action is open | drops the open actions
//	count N WORD...                    so many of the open actions begin with these words
type player struct {
	t     *testing.T
	set   SettingValues
	d     *Dispatcher
	now   Seconds
	wakes []Seconds
	acts  []string
	words map[string]string
}

var results = map[string]Result{"returned": Succeeded, "errored": WorkerError, "full": AtCapacity, "timed-out": TimedOut,
	"no-connection": ConnectFailed, "reset": ConnectionReset, "cancelled": Cancelled, "missed": ModelNotLoaded}
var founds = map[string]ModelState{"": ModelStateUnknown, "warm": ModelWarm, "began": LoadStarted, "waited": LoadAwaited, "failed": LoadFailed}
var states = map[string]WorkerState{"": Ready, "ready": Ready, "draining": Draining, "gone": Gone}

func (p *player) say(f string, a ...any) { p.acts = append(p.acts, fmt.Sprintf(f, a...)) }

func name(w WorkerID) string { return string(rune(w)) }

func (p *player) SendAttempt(i RequestID, w WorkerID, _ Seconds) { p.say("attempt %d %s", i, name(w)) }
func (p *player) Shed(i RequestID, back Seconds)                 { p.say("shed %d %.1f", i, back) }
func (p *player) Fail(i RequestID)                               { p.say("fail %d", i) }
func (p *player) CancelAttempt(i RequestID, f int)               { p.say("cancel %d.%d", i, f) }
func (p *player) LoadModel(w WorkerID, m ModelID, n int)         { p.say("order %s %d %d", name(w), m, n) }
func (p *player) UnloadModel(w WorkerID, m ModelID)              { p.say("unload %s %d", name(w), m) }
func (p *player) ProbeWorker(w WorkerID)                         { p.say("probe %s", name(w)) }
func (p *player) CloseIdleConnections(w WorkerID)                { p.say("close %s", name(w)) }
func (p *player) SendPeerMessage(PeerID, []byte)                 { p.say("tell") }
func (p *player) SubscribeWorkerList(on bool)                    { p.say("subscribe %v", on) }
func (p *player) FetchWorkerList()                               { p.say("fetch") }
func (p *player) SetTimer(after Seconds, _ TimerID)              { p.wakes = append(p.wakes, p.now+after) }
func (p *player) Log(string)                                     {}

// event plays one event at the present time.
func (p *player) event(f func()) {
	if p.d == nil {
		p.d = New(7, ParseSettings(p.set), p)
	}
	p.d.SetNow(p.now)
	f()
	p.d.Reconcile()
}

// options splits k=v words.
func options(words []string) map[string]string {
	o := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		o[k] = v
	}
	return o
}

func num(s string, fallback float64) float64 {
	if v, err := strconv.ParseFloat(s, 64); err == nil {
		return v
	}
	return fallback
}

func (p *player) play(line string) {
	w := strings.Fields(line)
	switch w[0] {
	case "set":
		if v, err := strconv.ParseFloat(w[2], 64); err == nil {
			p.set[w[1]] = v
		} else if w[2] == "true" {
			p.set[w[1]] = true
		} else {
			p.set[w[1]] = w[2]
		}
	case "workers":
		kind, list := ListDelta, []WorkerInfo{}
		for _, s := range w[1:] {
			if s == "full" {
				kind = ListSnapshot
				continue
			}
			o := options(strings.Split(s, ",")[1:])
			if v, ok := p.words[strings.Split(s, ",")[0]]; ok {
				s = v
			}
			list = append(list, WorkerInfo{ID: WorkerID(s[0]), Zone: ZoneID(num(o["zone"], 0)), State: states[o["state"]],
				Cell: CellID(num(o["cell"], 0)), Weight: 1, StartedAt: num(o["start"], math.Inf(-1))})
		}
		p.event(func() { p.d.UpdateWorkers(kind, 0, list) })
	case "take":
		o := options(w[2:])
		first, last, span := strings.Cut(w[1], "-")
		if !span {
			last = first
		}
		for i := num(first, 0); i <= num(last, 0); i++ {
			q := Request{ID: RequestID(i), Model: ModelID(num(o["model"], 1)), Group: GroupID(num(o["group"], 0)),
				Tenant: TenantID(num(o["tenant"], 0)), Concurrency: num(o["lanes"], 4), WorkHint: num(o["work"], 0),
				LoadTimeHint: num(o["load"], 0), Deadline: num(o["until"], p.now+5), ClientRetry: o["repeat"] != ""}
			p.event(func() { p.d.RequestArrived(q) })
		}
	case "end":
		i, f, _ := strings.Cut(w[1], ".")
		found := ""
		if len(w) > 3 {
			found = w[3]
		}
		p.event(func() {
			p.d.AttemptFinished(AttemptResult{ID: RequestID(num(i, 0)), Attempt: int(num(f, 0)), Duration: 0.1, Result: results[w[2]],
				ModelState: founds[found], RequestAnswered: w[2] == "returned"})
		})
	case "ordered":
		at := w[1]
		if v, ok := p.words[at]; ok {
			at = v
		}
		p.event(func() {
			p.d.LoadFinished(LoadResult{Worker: WorkerID(at[0]), Model: ModelID(num(w[2], 0)), Result: results[w[3]],
				Duration: 1, Replicas: int(num(w[4], 0))})
		})
	case "leave":
		p.event(func() { p.d.RequestCancelled(RequestID(num(w[1], 0))) })
	case "asked-failed":
		p.event(func() { p.d.UpdateWorkers(ListFailed, 0, nil) })
	case "wait":
		for end := p.now + num(w[1], 0); ; {
			if len(p.wakes) == 0 || p.wakes[0] > end {
				p.now = end
				break
			}
			p.now, p.wakes = p.wakes[0], p.wakes[1:]
			p.event(func() { p.d.TimerFired(0) })
		}
	case "expect":
		if len(p.acts) == 0 {
			p.t.Fatalf("%s: nothing came", line)
		}
		got := strings.Fields(p.acts[0])
		p.acts = p.acts[1:]
		for i, want := range w[1:] {
			if i < len(got) && strings.HasPrefix(want, "$") {
				if _, ok := p.words[want]; !ok {
					p.words[want] = got[i]
				}
				want = p.words[want]
			}
			if i >= len(got) || want != got[i] {
				p.t.Fatalf("%s: got %q", line, strings.Join(got, " "))
			}
		}
	case "expect-none":
		if len(p.acts) > 0 {
			p.t.Fatalf("%s: got %q at %.2f s", line, p.acts, p.now)
		}
	case "forget":
		p.acts = nil
	case "count":
		n, prefix := 0, strings.Join(w[2:], " ")
		if v, ok := p.words[w[len(w)-1]]; ok {
			prefix = strings.Join(append(w[2:len(w)-1:len(w)-1], v), " ")
		}
		for _, a := range p.acts {
			if strings.HasPrefix(a+" ", prefix+" ") {
				n++
			}
		}
		if n != int(num(w[1], -1)) {
			p.t.Fatalf("%s: %d of %q", line, n, p.acts)
		}
	default:
		p.t.Fatalf("unknown step %q", line)
	}
}

// TestScenarios plays every file of testdata; a file holds scenarios, each headed by "== name".
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no scenarios")
	}
	for _, file := range files {
		text, err := os.Open(file)
		if err != nil {
			t.Fatal(err)
		}
		var names []string
		steps := map[string][]string{}
		for s := bufio.NewScanner(text); s.Scan(); {
			line, _, _ := strings.Cut(s.Text(), "#")
			if n, ok := strings.CutPrefix(line, "== "); ok {
				names = append(names, n)
			} else if line = strings.TrimSpace(line); line != "" && len(names) > 0 {
				steps[names[len(names)-1]] = append(steps[names[len(names)-1]], strings.Split(line, ";")...)
			}
		}
		text.Close()
		for _, n := range names {
			t.Run(strings.ReplaceAll(n, " ", "-"), func(t *testing.T) {
				p := &player{t: t, set: SettingValues{}, words: map[string]string{}}
				for _, line := range append(strings.FieldsFunc(usual, func(c rune) bool { return c == ';' || c == '\n' }), steps[n]...) {
					p.play(line)
				}
			})
		}
	}
}

// usual is what the settings are where a scenario does not say otherwise: one retriable, one deduped and one
// non-retriable model group.
const usual = `set groups 3; set groups.0.effect retriable; set groups.0.slo 1; set groups.1.effect deduped
set groups.1.scope cell; set groups.1.window 2; set groups.1.slo 1; set groups.2.effect non-retriable
set groups.2.slo 1; set limits.max_attempts 6; set limits.hedging true; set limits.cancel true
set limits.retry_after true; set limits.max_retry_after 0.5; set models.orders true
set models.on_miss load; set models.keep 8; set rules.warm_after 10; set rules.cold_share 0.2
set rules.overload_factor 2; set rules.fall 1; set tick 0.002`

// TestOrdinaryPathAllocatesNothing takes and answers requests on a warm worker.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	p := &player{t: t, set: SettingValues{}}
	for _, line := range strings.FieldsFunc(usual, func(c rune) bool { return c == ';' || c == '\n' }) {
		p.play(line)
	}
	d := New(7, ParseSettings(p.set), quiet{})
	list := []WorkerInfo{{ID: 1, State: Ready, StartedAt: math.Inf(-1)}, {ID: 2, State: Ready, StartedAt: math.Inf(-1)}}
	d.UpdateWorkers(ListSnapshot, 0, list)
	id, now := RequestID(0), 0.0
	round := func() {
		now += 0.01
		id++
		d.SetNow(now)
		d.RequestArrived(Request{ID: id, Model: 3, Concurrency: 4, Deadline: now + 5})
		d.Reconcile()
		d.AttemptFinished(AttemptResult{ID: id, Duration: 0.01, ModelState: ModelWarm, RequestAnswered: true})
		d.TimerFired(0)
		d.Reconcile()
	}
	for range 100 {
		round()
	}
	if n := testing.AllocsPerRun(1000, round); n > 0 {
		t.Errorf("%v allocations an inference", n)
	}
}

// quiet takes the actions of the ordinary path and does nothing.
type quiet struct{ Actions }

func (quiet) SendAttempt(RequestID, WorkerID, Seconds) {}
func (quiet) SetTimer(Seconds, TimerID)                {}
