package control

import "math"

const (
	reportWindow       = 10.0 // s in which a load report loses two thirds of its weight; 4 lost 0.03 to 0.07
	reportSmoothing    = 0.5  // weight of a new load report that came with an answer
	probesPerPlacement = 2    // preferred workers probed before a group opens; 3 was no better, 0 loses
	maxProbeCost       = 0.03 // of a request's value, paid at most for its probes: what they gain
	maxReportAge       = 0.3  // s for which a load report needs no probe: about what workers take to renew it
)

// loadReport is the latest load report of a worker.
type loadReport struct {
	inFlight   float64 // requests in flight and queued, smoothed
	receivedAt Seconds // -Inf before the first
}

// probesPerRequest returns how many workers may be probed for one request. Fewer are where a probe is priced above what
// it gains, as all dispatchers pay for theirs.
func probesPerRequest(price float64) int {
	return int(math.Min(probesPerPlacement, maxProbeCost/math.Max(minRatio*maxProbeCost, price)))
}

// reportFieldsInFlight returns which values of a load report count requests in flight. Those queued at the worker count
// twice where both fields are reported.
func reportFieldsInFlight(fields []string) []int {
	var indexes []int
	for i, field := range fields {
		if field == "inflight" || field == "queue" {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// probeCandidates wants probes of some preferred workers of a model, drawn by chance, where own traffic is too sparse to
// know their load and no recent report does. It reports whether any is wanted: the request is held for the answers, a
// sweep or two.
func (d *Dispatcher) probeCandidates(req *request) bool {
	if req.probed || req.attempted > 0 || !d.sparseTraffic || len(d.inFlightFields) == 0 || !d.probesAllowed {
		return false
	}
	candidates := d.placement.candidates
	eligible := min(len(candidates), max(req.model.preferred, probesPerPlacement))
	for i := range min(eligible, d.maxProbes) {
		drawn := i + int(d.rnd.float()*float64(eligible-i))
		candidates[i], candidates[drawn] = candidates[drawn], candidates[i]
		if w := candidates[i]; w.report.receivedAt < d.now-maxReportAge {
			d.outbox.probes = append(d.outbox.probes, w)
			req.probed = true
		}
	}
	return req.probed
}

// ProbeFinished records the load report that answers a probe; requests held for it are placed.
func (d *Dispatcher) ProbeFinished(result ProbeResult) {
	if probed := d.workers.byID[result.Worker]; probed != nil && result.Result == Succeeded {
		d.recordLoadReport(probed, result.LoadReport, 1)
	}
	d.held.capacityMayHaveChanged = true
	d.sweep()
}

// recordLoadReport blends a load report into the previous ones. One that is incomplete or unusable is ignored.
func (d *Dispatcher) recordLoadReport(from *worker, values []float64, weight float64) {
	inFlight := 0.0
	for _, field := range d.inFlightFields {
		if field >= len(values) {
			return
		}
		inFlight += values[field]
	}
	if !(inFlight >= 0 && inFlight < never) { // also NaN
		return
	}
	estimate := d.estimatedInFlight(from)
	from.report.inFlight = estimate + weight*(inFlight-estimate)
	from.report.receivedAt = d.now
}

// estimatedInFlight returns how many requests a worker has in flight by its load reports. As they age they are drawn to
// the mean that the fleet must have by Little's law; the mean of the reports themselves leans to the busy workers.
func (d *Dispatcher) estimatedInFlight(at *worker) float64 {
	mean := d.dispatchers * d.requestRate() * d.runTime / math.Max(1, float64(d.workers.ready))
	return mean + (at.report.inFlight-mean)*math.Exp((at.report.receivedAt-d.now)/reportWindow)
}
