package lab

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"mastchute/internal/emulator"
)

// startedWorker is a worker since its last start.
type startedWorker struct {
	startedAt   float64
	respondedAt map[string]float64 // first response by dispatcher, from which it knows of the start
	attempts    []emulator.Record
	tested      bool
}

// checkSlowStart checks rule 4: no worker in slow start is crashed by overload. A crash counts if two thirds of the attempts
// within the overload window came from dispatchers that had a response from the worker since its start.
func (c *invariantChecker) checkSlowStart() Finding {
	f := Finding{Name: "no cold worker pushed over"}
	workers := map[string]*startedWorker{}
	for _, r := range c.records {
		w := workers[r.Worker]
		if r.Event == emulator.EventStarted {
			workers[r.Worker] = &startedWorker{startedAt: r.T, respondedAt: map[string]float64{}}
			continue
		}
		if w == nil {
			continue
		}
		switch r.Event {
		case emulator.EventArrived:
			w.attempts = append(w.attempts, r)
			if !w.tested && r.T < w.startedAt+c.Settings.Rules.SlowStartDuration.Seconds {
				w.tested = true
				f.Tests++
			}
		case emulator.EventServed, emulator.EventRejected, emulator.EventDuplicate:
			if _, ok := w.respondedAt[r.Dispatcher]; !ok {
				w.respondedAt[r.Dispatcher] = r.T
			}
		case emulator.EventOverloaded:
			c.checkOverload(&f, w, r)
		}
	}
	return f
}

// checkOverload checks who sent the attempts that crashed a worker.
func (c *invariantChecker) checkOverload(f *Finding, w *startedWorker, crash emulator.Record) {
	window := c.Settings.Rules.OverloadWindow.Seconds
	all, informed := 0, 0
	senders := map[string]int{} // informed ones
	for _, a := range w.attempts {
		if a.T < crash.T-window {
			continue
		}
		all++
		if at, ok := w.respondedAt[a.Dispatcher]; ok && at+wireSlack < a.T {
			informed++
			senders[a.Dispatcher]++
		}
	}
	if all > 0 && 3*informed >= 2*all {
		f.violation("%s fell over %.2f s after its start: %d inferences within %gs, %d of them by those who knew (%s)", crash.Worker, crash.T-w.startedAt, all,
			window, informed, formatCounts(senders))
	}
}

func formatCounts(counts map[string]int) string {
	var out []string
	for name, n := range counts {
		out = append(out, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// checkLoadBudget checks rule 5: at each load request, those within the window are at most a number, and a share of the
// requests that the dispatcher took in the window.
func (c *invariantChecker) checkLoadBudget() Finding {
	f := Finding{Name: "orders to load rationed"}
	loads := c.Settings.Loads
	if loads.BudgetWindow.Seconds <= 0 {
		return f
	}
	requestedAt := map[string][]float64{} // requests by dispatcher
	for _, a := range c.ClientAttempts {
		if !a.NotAccepted {
			requestedAt[a.Dispatcher] = append(requestedAt[a.Dispatcher], a.SentAt)
		}
	}
	loadedAt := map[string][]float64{} // load requests by dispatcher
	for _, r := range c.records {
		if r.Event != emulator.EventLoadRequested {
			continue
		}
		f.Tests++
		since := c.budgetStart(r.Dispatcher, r.T, loads.BudgetWindow.Seconds)
		loadedAt[r.Dispatcher] = append(loadedAt[r.Dispatcher], r.T)
		used := countWithin(loadedAt[r.Dispatcher], since+wireSlack, r.T)
		requests := countWithin(requestedAt[r.Dispatcher], since-wireSlack, r.T)
		budget := loads.BudgetBase + loads.BudgetPerRequest*float64(requests)
		f.nearest(float64(used) / math.Max(1, budget))
		if float64(used) > budget {
			f.violation("%s ordered %d loads within %gs, where %d inferences allow %.1f", r.Dispatcher, used, loads.BudgetWindow.Seconds, requests, budget)
		}
	}
	return f
}

// budgetStart returns when the window of a dispatcher's budget began. A dispatcher that restarted counts anew.
func (c *invariantChecker) budgetStart(dispatcher string, now, window float64) float64 {
	since := now - window
	for _, outage := range c.Outages {
		if outage.Dispatcher == dispatcher && outage.To <= now {
			since = math.Max(since, outage.From)
		}
	}
	return since
}

// countWithin counts the times after from and up to to.
func countWithin(times []float64, from, to float64) (n int) {
	for _, t := range times {
		if t > from && t <= to {
			n++
		}
	}
	return n
}
