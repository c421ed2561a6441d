package soak

import "time"

const (
	maxExtraDescriptors    = 30   // open descriptors above the baseline
	maxExtraMemoryMB       = 12.0 // above twice the baseline
	descriptorPollInterval = 100 * time.Millisecond
	settleTime             = 300 * time.Millisecond // before resource usage is compared with the baseline
	recoveryWindow         = 1.0                    // s before the check; it counts requests sent within this time
	minRecentRequests      = 20                     // requests of a dispatcher below which recovery is not checked
	requiredServed         = 17                     // per requiredOf requests: the share that a recovered dispatcher serves; the check requires half of it
	requiredOf             = 20
	slowStartMargin        = 1.0 // s past slow start until a worker counts as at full capacity
	reloadTimeout          = 4.0 // s until a reload must be in force
)

// checkRecovered checks that every dispatcher serves again after the last fault.
func (r *runner) checkRecovered() {
	for _, d := range r.dispatchers {
		if !d.isReady() {
			r.report("P11", r.history.now(), "dispatcher %d is not ready %.1f s after the last fault", d.index, recoveryTime)
		}
	}
	now := r.history.now()
	total, served, inSlowStart := r.recentRequests(now)
	if inSlowStart {
		return // workers in slow start are expected to serve fewer requests
	}
	servable := r.plan.Site.servableShare()
	for i, n := range total {
		required := float64(n*requiredServed) / 2 * servable
		if n >= minRecentRequests && float64(served[i]*requiredOf) < required {
			r.report("P1", now, "dispatcher %d served only %d of %d requests in the last second of the run", i, served[i], n)
		}
	}
}

// recentRequests counts the requests of each dispatcher that were sent within the recoveryWindow and have ended, and
// those of them that were served. It also reports whether a worker may still be in slow start.
func (r *runner) recentRequests(now float64) (total, served []int, inSlowStart bool) {
	total = make([]int, len(r.dispatchers))
	served = make([]int, len(r.dispatchers))
	r.history.update(func() {
		for _, at := range r.history.StartedAt {
			inSlowStart = inSlowStart || now-at < slowStartDuration+slowStartMargin
		}
		for _, req := range r.history.Requests {
			if req.SentAt <= now-recoveryWindow || req.EndedAt <= 0 || req.AbortedAt != 0 {
				continue
			}
			total[req.Dispatcher]++
			if req.Outcome == Served {
				served[req.Dispatcher]++
			}
		}
	})
	return total, served, inSlowStart
}

// checkResources compares the resource usage of the dispatchers with the baseline from before the faults, and checks
// their logs.
func (r *runner) checkResources(baseline []usage) {
	time.Sleep(settleTime)
	for i, d := range r.dispatchers {
		limit := baseline[i].descriptors + maxExtraDescriptors
		if n := r.settledDescriptors(d, limit); n > limit {
			r.report("P12", r.history.now(), "dispatcher %d has %d open descriptors, %d before the faults", i, n, baseline[i].descriptors)
		}
		if mb := d.residentMB(); mb > 2*baseline[i].residentMB+maxExtraMemoryMB {
			r.report("P12", r.history.now(), "dispatcher %d uses %.0f MB, %.0f MB before the faults", i, mb, baseline[i].residentMB)
		}
		r.checkLog(d)
		r.checkLastReload(d)
	}
}

// settledDescriptors returns the number of open descriptors of a dispatcher. While it is above a limit, it waits until the idle
// connections to workers must have been closed: clients have stopped, and a burst may have left such connections.
func (r *runner) settledDescriptors(d *dispatcher, limit int) int {
	deadline := r.history.now() + r.plan.Site.ConnIdle
	for {
		n := d.descriptors()
		if n <= limit || r.history.now() > deadline {
			return n
		}
		time.Sleep(descriptorPollInterval)
	}
}

// forbiddenLogTexts are texts that no log line of a correct dispatcher contains.
var forbiddenLogTexts = []string{"rule violation barred", "panic", "fatal error", "decision code failed"}

func (r *runner) checkLog(d *dispatcher) {
	for _, text := range forbiddenLogTexts {
		if lines := d.logLines(text); len(lines) > 0 {
			r.report(guaranteeLog, 0, "dispatcher %d wrote %d log lines with %q, first: %.300s", d.index, len(lines), text, lines[0])
		}
	}
}

// checkLastReload checks that the configuration of the last reload came into force. A restarted dispatcher is not
// checked: it read the configuration at its start and logs no reload.
func (r *runner) checkLastReload(d *dispatcher) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.reloads) == 0 || len(d.killTimes)+len(d.sigtermTimes) > 0 {
		return
	}
	last := d.reloads[len(d.reloads)-1]
	if r.history.now()-last.at <= reloadTimeout {
		return
	}
	if len(d.logLines(`"change_log":"`+last.changeLogAddress+`"`)) == 0 {
		r.report("P11", last.at, "dispatcher %d did not apply the configuration of its last reload", d.index)
	}
}
