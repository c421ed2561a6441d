package lab

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"mastchute/internal/emulator"
)

// cold is rule 4. A fall counts if two thirds of what came within its span was sent by dispatchers that had heard
// from that worker since its start.
func (e *Evidence) cold(records []emulator.Record) Finding {
	f := Finding{Name: "no cold worker pushed over"}
	r4 := e.Settings.Rules
	type startOf struct {
		at    float64
		heard map[string]float64 // dispatchers, since when
		sent  []emulator.Record
		used  bool
	}
	starts := map[string]*startOf{}
	for _, r := range records {
		s := starts[r.Worker]
		switch {
		case r.Event == "start":
			starts[r.Worker] = &startOf{at: r.T, heard: map[string]float64{}}
		case s == nil:
		case r.Event == "arrive":
			s.sent = append(s.sent, r)
			if !s.used && r.T < s.at+r4.WarmAfter.Seconds {
				s.used = true
				f.Tests++
			}
		case r.Event == "served" || r.Event == "turned" || r.Event == "repeat":
			if _, ok := s.heard[r.Dispatcher]; !ok {
				s.heard[r.Dispatcher] = r.T
			}
		case r.Event == "fell":
			all, knew := 0, 0
			who := map[string]int{}
			for _, a := range s.sent {
				if a.T >= r.T-r4.Fall.Seconds {
					all++
					if at, ok := s.heard[a.Dispatcher]; ok && at+wireSlack < a.T {
						knew++
						who[a.Dispatcher]++
					}
				}
			}
			if all > 0 && 3*knew >= 2*all {
				f.broke("%s fell over %.2f s after its start: %d inferences within %gs, %d of them by those who knew (%s)", r.Worker, r.T-s.at, all, r4.Fall.Seconds, knew, counts(who))
			}
		}
	}
	return f
}

func counts(m map[string]int) string {
	var out []string
	for k, n := range m {
		out = append(out, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// loads is rule 5: at each order to load, the orders within the window are at most few + share x requests taken.
func (e *Evidence) loads(records []emulator.Record) Finding {
	f := Finding{Name: "orders to load rationed"}
	l := e.Settings.Loads
	if l.Window.Seconds <= 0 {
		return f
	}
	taken := map[string][]float64{}
	for _, t := range e.Tries {
		if !t.Refused {
			taken[t.Dispatcher] = append(taken[t.Dispatcher], t.Sent)
		}
	}
	orders := map[string][]float64{}
	for _, r := range records {
		if r.Event != "order" {
			continue
		}
		f.Tests++
		since := r.T - l.Window.Seconds
		for _, d := range e.Downs { // one that starts anew counts anew
			if d.Dispatcher == r.Dispatcher && d.To <= r.T {
				since = math.Max(since, d.From)
			}
		}
		orders[r.Dispatcher] = append(orders[r.Dispatcher], r.T)
		n, took := 0, 0
		for _, t := range orders[r.Dispatcher] {
			if t > since+wireSlack {
				n++
			}
		}
		for _, t := range taken[r.Dispatcher] {
			if t > since-wireSlack && t <= r.T {
				took++
			}
		}
		most := l.Few + l.Share*float64(took)
		f.Nearest = math.Max(f.Nearest, float64(n)/math.Max(1, most))
		if float64(n) > most {
			f.broke("%s ordered %d loads within %gs, where %d inferences allow %.1f", r.Dispatcher, n, l.Window.Seconds, took, most)
		}
	}
	return f
}
