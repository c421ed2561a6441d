package lab

import (
	"fmt"
	"math"
	"sort"

	"mastchute/internal/config"
	"mastchute/internal/emulator"
)

// Try is one try of a client, as its socket carried it. Times are seconds since 1970.
type Try struct {
	Key        string  `json:"key"` // the client's own mark of the logical call, kept over its tries
	Number     int     `json:"try"`
	Model      string  `json:"model"`
	Group      string  `json:"group"`
	Dispatcher string  `json:"dispatcher"`
	Sent       float64 `json:"sent"`
	Answered   float64 `json:"answered,omitempty"` // when the answer was whole; 0 for none
	Timeout    float64 `json:"timeout"`            // s the client had for it
	Status     int     `json:"status,omitempty"`
	Answer     string  `json:"answer,omitempty"` // Mastchute-Answer; empty: nothing was taken
	Request    string  `json:"inference,omitempty"`
	Left       bool    `json:"left,omitempty"`    // the client went early, on purpose
	Refused    bool    `json:"refused,omitempty"` // no connection came about
	Error      string  `json:"error,omitempty"`
	Extra      int     `json:"extra_bytes,omitempty"` // bytes that came behind the answer
}

// Word is what a dispatcher was told of a worker, and when it had certainly heard.
type Word struct {
	Dispatcher string  `json:"dispatcher"`
	Worker     string  `json:"worker"`
	State      string  `json:"state"`
	Heard      float64 `json:"heard"`
}

// Down is a span in which a dispatcher did not run.
type Down struct {
	Dispatcher string  `json:"dispatcher"`
	From       float64 `json:"from"`
	To         float64 `json:"to"`
}

// Evidence is all that was seen of a day.
type Evidence struct {
	Settings *config.Config
	Zones    map[string]string // of workers
	Cells    map[string]string
	Tries    []Try
	Records  []emulator.Record
	Words    []Word
	Downs    []Down
}

// Finding is the verdict on one rule.
type Finding struct {
	Rule   int      `json:"rule"`
	Name   string   `json:"name"`
	Tests  int      `json:"tests"` // how often it was really put to the test
	Breaks []string `json:"breaks,omitempty"`
	Broken int      `json:"broken"`
	// Nearest is how near to its limit the rule came at the worst, 1 for at the limit: of the client's time for rule 1,
	// the grace for 3, the work that pushes a cold worker over for 4 (simulated only), and the ration for 5.
	Nearest float64 `json:"nearest,omitempty"`
}

// Verdict is broken, kept, or not shown where nothing put the rule to the test.
func (f Finding) Verdict() string {
	switch {
	case f.Broken > 0:
		return "BROKEN"
	case f.Tests == 0:
		return "not shown"
	}
	return "kept"
}

const (
	answerSlack = 0.25 // s that a final answer may come after the client's time: scheduling on a loaded machine
	wireSlack   = 0.10 // s that a message may be under way, on loopback and in stand-ins that are busy
	breaksTold  = 5    // breaks told in full, a rule
)

func (f *Finding) broke(format string, a ...any) {
	if f.Broken++; len(f.Breaks) < breaksTold {
		f.Breaks = append(f.Breaks, fmt.Sprintf(format, a...))
	}
}

// sending is one attempt as a worker saw it.
type sending struct {
	emulator.Record
	turned float64 // when it was turned away unrun; 0 if not
}

// Judge decides the five rules from what the sockets carried. It knows nothing of how dispatchers decide.
func Judge(e *Evidence) []Finding {
	records := append([]emulator.Record(nil), e.Records...)
	sort.SliceStable(records, func(i, j int) bool { return records[i].T < records[j].T })
	sent := map[string][]*sending{} // by request, in order of arrival
	for _, r := range records {
		switch r.Event {
		case "arrive":
			sent[r.Request] = append(sent[r.Request], &sending{Record: r})
		case "turned":
			if r.Why != "full" && r.Why != "miss" {
				continue
			}
			for _, s := range sent[r.Request] {
				if s.Attempt == r.Attempt && s.turned == 0 {
					s.turned = r.T
				}
			}
		}
	}
	groups := map[string]config.Group{}
	for _, g := range e.Settings.Groups {
		groups[g.Name] = g
	}
	out := []Finding{e.answers(sent), e.effects(sent, records, groups), e.drains(records), e.cold(records), e.loads(records)}
	for i := range out {
		out[i].Rule = i + 1
	}
	return out
}

// down tells whether a dispatcher was killed or not there in a span.
func (e *Evidence) down(dispatcher string, from, to float64) bool {
	for _, d := range e.Downs {
		if d.Dispatcher == dispatcher && from <= d.To+wireSlack && to >= d.From-wireSlack {
			return true
		}
	}
	return false
}

// answers is rule 1: one final answer each, in time, and nothing sent after it.
func (e *Evidence) answers(sent map[string][]*sending) Finding {
	f := Finding{Name: "one final answer each, in time, nothing sent after"}
	seen := map[string]int{}
	for _, t := range e.Tries {
		if t.Extra > 0 {
			f.broke("%s: %d bytes came behind the answer of try %d of %s: a second answer", t.Request, t.Extra, t.Number, t.Key)
		}
		switch {
		case t.Left || t.Refused:
			continue
		case t.Answered == 0:
			until := t.Sent + t.Timeout + answerSlack
			if !e.down(t.Dispatcher, t.Sent, until) {
				f.Tests++
				f.broke("try %d of %s at %s: no answer within %.2f s (%s)", t.Number, t.Key, t.Dispatcher, t.Timeout, t.Error)
			}
			continue
		case t.Answer == "":
			continue // refused before it was taken
		}
		f.Tests++
		f.Nearest = math.Max(f.Nearest, (t.Answered-t.Sent)/t.Timeout)
		if late := t.Answered - t.Sent - t.Timeout; late > answerSlack {
			f.broke("%s: answered %.3f s after the client's time", t.Request, late)
		}
		if t.Answer != "returned" && t.Answer != "shed" && t.Answer != "failed" {
			f.broke("%s: %q is no final answer", t.Request, t.Answer)
		}
		if seen[t.Request]++; seen[t.Request] > 1 {
			f.broke("%s: answered %d times", t.Request, seen[t.Request])
		}
		for _, s := range sent[t.Request] {
			if s.T > t.Answered+wireSlack {
				f.broke("%s: forward %d came to %s %.3f s after the final answer", t.Request, s.Attempt, s.Worker, s.T-t.Answered)
			}
		}
	}
	return f
}

// effects is rule 2.
func (e *Evidence) effects(sent map[string][]*sending, records []emulator.Record, groups map[string]config.Group) Finding {
	f := Finding{Name: "no effect twice"}
	sheds := map[string]Try{}
	for _, t := range e.Tries {
		if t.Answer == "shed" {
			sheds[t.Request] = t
		}
	}
	var ids []string
	for id := range sent {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		list := sent[id]
		g := groups[list[0].Group]
		if g.Effect == "retriable" {
			continue
		}
		var first *sending // the earliest that may have run
		for i, s := range list {
			if i > 0 {
				f.Tests++
			}
			if first != nil && g.Effect == "non-retriable" {
				f.broke("%s of non-retriable %s: forward %d came to %s while forward %d at %s may have run", id, g.Name, s.Attempt, s.Worker, first.Attempt, first.Worker)
			} else if first != nil {
				if !e.within(g, first.Worker, s.Worker) {
					f.broke("%s of deduped %s: forward %d went to %s, outside the %s of %s", id, g.Name, s.Attempt, s.Worker, g.Scope, first.Worker)
				}
				if past := s.T - first.T - g.Window.Seconds; past > wireSlack {
					f.broke("%s of deduped %s: forward %d came %.3f s past the window of %gs", id, g.Name, s.Attempt, past, g.Window.Seconds)
				}
			}
			// It is known not to have run only if it was turned away before the next one came.
			next := math.Inf(1)
			if i+1 < len(list) {
				next = list[i+1].T
			}
			if first == nil && (s.turned == 0 || s.turned > next) {
				first = s
			}
		}
		if t, ok := sheds[id]; ok {
			f.Tests++
			if first != nil && first.T < t.Answered && (g.Effect == "non-retriable" || g.Scope != "all") {
				f.broke("%s of %s %s: shed, though forward %d at %s may have run", id, g.Effect, g.Name, first.Attempt, first.Worker)
			}
		}
	}
	ran := map[string][]emulator.Record{}
	for _, r := range records {
		if r.Event == "ran" && r.Key != "" && groups[r.Group].Effect == "non-retriable" {
			if ran[r.Key] = append(ran[r.Key], r); len(ran[r.Key]) == 2 {
				f.broke("%s of non-retriable %s ran twice: at %s as %s, and at %s as %s", r.Key, r.Group, ran[r.Key][0].Worker, ran[r.Key][0].Request, r.Worker, r.Request)
			}
		}
	}
	return f
}

// within tells whether b drops repeats of what a was sent.
func (e *Evidence) within(g config.Group, a, b string) bool {
	switch g.Scope {
	case "zone":
		return e.Zones[a] == e.Zones[b]
	case "cell":
		return e.Zones[a] == e.Zones[b] && e.Cells[a] == e.Cells[b]
	}
	return true
}

// drains is rule 3. A word was put to the test if its dispatcher had sent that worker something in the 2 s before.
func (e *Evidence) drains(records []emulator.Record) Finding {
	f := Finding{Name: "nothing new to a draining or gone worker"}
	grace := e.Settings.Rules.DrainGrace.Seconds
	type pair struct{ dispatcher, worker string }
	words, sent := map[pair][]Word{}, map[pair][]emulator.Record{}
	for _, w := range e.Words {
		words[pair{w.Dispatcher, w.Worker}] = append(words[pair{w.Dispatcher, w.Worker}], w)
	}
	for _, r := range records {
		if r.Event == "arrive" || r.Event == "order" {
			sent[pair{r.Dispatcher, r.Worker}] = append(sent[pair{r.Dispatcher, r.Worker}], r)
		}
	}
	for _, w := range e.Words {
		if w.State == "ready" {
			continue
		}
		p, until := pair{w.Dispatcher, w.Worker}, math.Inf(1)
		for _, o := range words[p] {
			if o.State == "ready" && o.Heard >= w.Heard {
				until = o.Heard - wireSlack // it was told a little before it certainly had heard
				break
			}
		}
		for _, d := range e.Downs { // a dispatcher that starts anew is told anew
			if d.Dispatcher == w.Dispatcher && d.From >= w.Heard {
				until = math.Min(until, d.From)
			}
		}
		tested := false
		for _, r := range sent[p] {
			if r.T > w.Heard-2 && r.T <= w.Heard {
				tested = true
			}
			if r.T > w.Heard && r.T < until {
				f.Nearest = math.Max(f.Nearest, (r.T-w.Heard)/(grace+wireSlack))
			}
			if r.T > w.Heard+grace+wireSlack && r.T < until {
				f.broke("%s sent %s an %s of %s %.3f s after it heard that it is %s", w.Dispatcher, w.Worker, kindOf(r), r.Model, r.T-w.Heard, w.State)
			}
		}
		if tested {
			f.Tests++
		}
	}
	return f
}

func kindOf(r emulator.Record) string {
	if r.Event == "order" {
		return "order to load"
	}
	return "inference"
}
