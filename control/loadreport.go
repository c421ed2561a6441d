package control

import "math"

const (
	reportWindow       = 10.0 // s in which a load report loses two thirds of its weight; with a shorter window, placements are clearly worse
	reportSmoothing    = 0.5  // weight of a new load report that came with a response
	probesPerPlacement = 2    // preferred workers probed before a cohort starts; sparse traffic doesn't show their load, but probes have a price
	maxProbeCost       = 0.03 // fraction of a request's value that its probes may cost: about what they gain
	maxReportAge       = 0.3  // s for which a load report makes a probe unnecessary: about the interval at which workers update it
)

// loadReport is the latest load report of a worker.
type loadReport struct {
	inFlight   float64 // requests in flight and queued, smoothed
	receivedAt Seconds // -Inf before the first report
}

// probesPerRequest returns how many workers may be probed for one request, given the price of a probe as a fraction of the
// request's value.
func probesPerRequest(price float64) int {
	return int(math.Min(probesPerPlacement, maxProbeCost/math.Max(minRatio*maxProbeCost, price)))
}

// reportFieldsInFlight returns the indexes of the load report's values that count requests in flight. If both fields are
// reported, requests queued at the worker count twice.
func reportFieldsInFlight(fields []string) []int {
	var indexes []int
	for i, field := range fields {
		if field == "inflight" || field == "queue" {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// probeCandidates schedules probes of some preferred workers, drawn at random, if own traffic is too sparse to show their
// load and there is no recent load report. It reports whether it has scheduled any: the request is then queued
// until the responses, for one or two timer intervals.
func (d *Dispatcher) probeCandidates(req *request) bool {
	canProbe := d.probesAllowed && len(d.inFlightFields) > 0
	if !canProbe || !d.sparseTraffic || req.probed || req.attempted > 0 {
		return false
	}
	candidates := d.placement.candidates
	eligible := min(len(candidates), max(req.model.preferred, probesPerPlacement))
	for i := range min(eligible, d.maxProbes) {
		drawn := i + int(d.rnd.float()*float64(eligible-i))
		candidates[i], candidates[drawn] = candidates[drawn], candidates[i]
		if candidates[i].report.receivedAt < d.now-maxReportAge {
			d.pending.probes = append(d.pending.probes, candidates[i])
			req.probed = true
		}
	}
	return req.probed
}

// ProbeFinished records the load report in the response to a probe, and places the queued requests again.
func (d *Dispatcher) ProbeFinished(result ProbeResult) {
	probed := d.workers.byID[result.Worker]
	if probed != nil && result.Result == Succeeded {
		d.recordLoadReport(probed, result.LoadReport, 1)
	}
	d.queue.capacityMayHaveChanged = true
	d.scanRequests()
}

// recordLoadReport updates the estimate of a worker's load with a load report. It ignores an incomplete or invalid report.
func (d *Dispatcher) recordLoadReport(from *worker, values []float64, weight float64) {
	inFlight := 0.0
	for _, field := range d.inFlightFields {
		if field >= len(values) {
			return
		}
		inFlight += values[field]
	}
	if !(inFlight >= 0 && inFlight < infinity) { // true for NaN too
		return
	}
	estimate := d.estimatedInFlight(from)
	from.report.inFlight = estimate + float64(weight*(inFlight-estimate))
	from.report.receivedAt = d.now
}

// estimatedInFlight estimates the requests in flight at a worker from its load reports. As they age, the estimate approaches
// the mean over all workers by Little's law. The mean of the reports would be too high, as busy workers send more of them.
func (d *Dispatcher) estimatedInFlight(target *worker) float64 {
	mean := d.dispatchers * d.requestRate() * d.runTime / math.Max(1, float64(d.workers.ready))
	return mean + float64((target.report.inFlight-mean)*math.Exp((target.report.receivedAt-d.now)/reportWindow))
}
