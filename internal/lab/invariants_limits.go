package lab

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"mastchute/internal/emulator"
)

// startedWorker records what a worker received since its last start.
type startedWorker struct {
	startedAt   float64
	respondedAt map[string]float64 // by dispatcher, the time of the first response, which contains the start time
	attempts    []emulator.Record
	tested      bool
}

// checkSlowStart checks rule 4: no worker in slow start is crashed by overload. A crash is a violation if at least two
// thirds of the attempts within the overload window came from dispatchers that had received a response from the worker
// since its start.
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

// checkOverload checks which dispatchers sent the attempts that crashed a worker.
func (c *invariantChecker) checkOverload(f *Finding, w *startedWorker, crash emulator.Record) {
	window := c.Settings.Rules.OverloadWindow.Seconds
	all, informed := 0, 0
	senders := map[string]int{} // attempts by informed dispatcher
	for _, a := range w.attempts {
		if a.T < crash.T-window {
			continue
		}
		all++
		if at, ok := w.respondedAt[a.Dispatcher]; ok && at+deliveryTolerance < a.T {
			informed++
			senders[a.Dispatcher]++
		}
	}
	if all > 0 && 3*informed >= 2*all {
		f.addViolation("%s crashed by overload %.2f s after its start: %d attempts within %gs, %d of them from dispatchers that knew of the start (%s)", crash.Worker, crash.T-w.startedAt, all,
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

// checkLoadBudget checks rule 5: at any load request, a dispatcher's load requests within the budget window are at most the
// budget's base plus a fraction of the requests that the dispatcher received in the window.
func (c *invariantChecker) checkLoadBudget() Finding {
	f := Finding{Name: "orders to load rationed"}
	loads := c.Settings.Loads
	if loads.BudgetWindow.Seconds <= 0 {
		return f
	}
	requestedAt := map[string][]float64{} // times of requests by dispatcher
	for _, a := range c.ClientAttempts {
		if !a.NotAccepted {
			requestedAt[a.Dispatcher] = append(requestedAt[a.Dispatcher], a.SentAt)
		}
	}
	loadedAt := map[string][]float64{} // times of load requests by dispatcher
	for _, r := range c.records {
		if r.Event != emulator.EventLoadRequested {
			continue
		}
		f.Tests++
		since := c.budgetStart(r.Dispatcher, r.T, loads.BudgetWindow.Seconds)
		loadedAt[r.Dispatcher] = append(loadedAt[r.Dispatcher], r.T)
		used := countWithin(loadedAt[r.Dispatcher], since+deliveryTolerance, r.T)
		requests := countWithin(requestedAt[r.Dispatcher], since-deliveryTolerance, r.T)
		budget := loads.BudgetBase + loads.BudgetPerRequest*float64(requests)
		f.recordLimitUsage(float64(used) / math.Max(1, budget))
		if float64(used) > budget {
			f.addViolation("%s sent %d load requests within %gs, where %d requests allow %.1f", r.Dispatcher, used, loads.BudgetWindow.Seconds, requests, budget)
		}
	}
	return f
}

// budgetStart returns when the window of a dispatcher's load budget began. A restarted dispatcher starts a new window.
func (c *invariantChecker) budgetStart(dispatcher string, now, window float64) float64 {
	since := now - window
	for _, outage := range c.Outages {
		if outage.Dispatcher == dispatcher && outage.To <= now {
			since = math.Max(since, outage.From)
		}
	}
	return since
}

// countWithin returns the number of times that are after from and not after to.
func countWithin(times []float64, from, to float64) (n int) {
	for _, t := range times {
		if t > from && t <= to {
			n++
		}
	}
	return n
}
