package gateway

import (
	"math"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"mastchute/control"
	"mastchute/internal/eventloop"
)

// Metrics are the metrics of one dispatcher. Labelled counters are looked up once for each model group and worker, so that a
// request costs only a few atomic additions.
type Metrics struct {
	Registry *prometheus.Registry

	loadRequests   prometheus.Counter
	probes         prometheus.Counter
	listFailures   prometheus.Counter
	rejections     *prometheus.CounterVec
	guardActions   *prometheus.CounterVec
	violations     *prometheus.CounterVec
	heldBack       *prometheus.CounterVec
	closedUnread   *prometheus.CounterVec
	accepted       *prometheus.CounterVec
	outcomes       *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	attemptResults *prometheus.CounterVec

	workerChecks      *prometheus.CounterVec
	listLeaseExpiries prometheus.Counter
	listConfirmedAt   atomic.Uint64 // bits of a float64, in seconds of the loop's clock
}

// groupMetrics are the metrics of a model group.
type groupMetrics struct {
	accepted prometheus.Counter
	outcomes [outcomeCount]prometheus.Counter
	latency  prometheus.Observer
}

func (m groupMetrics) requestFinished(o outcome, duration float64) {
	m.outcomes[o].Inc()
	if o == outcomeReturned {
		m.latency.Observe(duration)
	}
}

// workerMetrics are the metrics of a worker.
type workerMetrics struct {
	attempts prometheus.Counter
	results  [control.ModelNotLoaded + 1]prometheus.Counter
}

func (m workerMetrics) attemptFinished(r control.Result) { m.results[r].Inc() }

// resultNames are the values of the metric label "result", indexed by control.Result.
var resultNames = [...]string{"returned", "errored", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot", "missed"}

// registrar creates metrics and registers them.
type registrar struct{ *prometheus.Registry }

func (r registrar) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	r.MustRegister(c)
	return c
}

func (r registrar) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

func (r registrar) gauge(name, help string, value func() float64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

func newMetrics(stats *eventloop.Stats) *Metrics {
	r := registrar{prometheus.NewRegistry()}
	m := &Metrics{
		Registry: r.Registry,

		loadRequests:   r.counter("mastchute_load_orders_total", "Load requests sent to workers."),
		probes:         r.counter("mastchute_probes_total", "Probes sent to workers."),
		listFailures:   r.counter("mastchute_roster_failures_total", "Times a source of the endpoint list could not be read."),
		rejections:     r.counterVec("mastchute_refusals_total", "Requests rejected before they were accepted, by reason.", "reason"),
		guardActions:   r.counterVec("mastchute_guards_total", "Times the gateway prevented what a rule forbids; each is a bug to report.", "guard"),
		violations:     r.counterVec("mastchute_violations_total", "Actions of the control module that a rule forbids; they are not executed. Each is a bug to report.", "rule", "reason"),
		heldBack:       r.counterVec("mastchute_overtaken_total", "Attempts and load requests held back before their first byte, as what the rules allow had changed since they were queued; no fault.", "rule", "reason"),
		closedUnread:   r.counterVec("mastchute_closed_unread_total", "Client connections closed although bytes may have been unread, by reason.", "reason"),
		accepted:       r.counterVec("mastchute_taken_total", "Requests accepted.", "group"),
		outcomes:       r.counterVec("mastchute_answers_total", "Final responses, by outcome; left means that the client disconnected or cancelled before.", "group", "answer"),
		attempts:       r.counterVec("mastchute_forwards_total", "Attempts sent to workers.", "worker"),
		attemptResults: r.counterVec("mastchute_forward_ends_total", "Attempts that ended, by result.", "worker", "result"),
		workerChecks: r.counterVec("mastchute_worker_checks_total",
			"Checks whether workers accept new work while the endpoint list is not confirmed, by result; full means that the worker drains.", "result"),
		listLeaseExpiries: r.counter("mastchute_list_lease_expiries_total", "Times the lease of the endpoint list expired because it was not confirmed."),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "mastchute_returned_seconds",
			Help: "Time from the acceptance of a request to its response, for requests that a worker served.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 16)}, []string{"group"}),
	}
	r.MustRegister(m.latency, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.registerLoopGauges(stats)
	return m
}

// registerLoopGauges registers gauges that read the event loop's counters.
func (r registrar) registerLoopGauges(stats *eventloop.Stats) {
	r.gauge("mastchute_connections", "Open connections, to clients and to workers.", func() float64 { return float64(stats.Connections.Load()) })
	r.gauge("mastchute_accepted_total", "Connections accepted.", func() float64 { return float64(stats.Accepted.Load()) })
	r.gauge("mastchute_no_descriptor_total", "Accept calls that failed for lack of descriptors or kernel memory.", func() float64 { return float64(stats.DescriptorShortages.Load()) })
	r.gauge("mastchute_local_failures_total", "Other system calls that failed for lack of local resources; they are retried.", func() float64 { return float64(stats.LocalFailures.Load()) })
	r.gauge("mastchute_standstills_total", "Times the process stalled for over 0.1 s.", func() float64 { return float64(stats.Stalls.Load()) })
	r.gauge("mastchute_loop_turns_total", "Turns of the loop.", func() float64 { return float64(stats.Turns.Load()) })
	r.gauge("mastchute_loop_late_seconds", "Delay of the latest timer.", func() float64 { return float64(stats.TimerLatenessNs.Load()) / 1e9 })
	r.gauge("mastchute_loop_longest_turn_seconds", "Longest turn of the event loop so far.", func() float64 { return float64(stats.LongestTurnNs.Load()) / 1e9 })
}

// registerListAge registers the age of the endpoint list as a gauge. clock must be safe for use by any goroutine.
func (m *Metrics) registerListAge(clock func() float64) {
	registrar{m.Registry}.gauge("mastchute_endpoint_list_age_seconds", "Time since the endpoint list was known to be complete.",
		func() float64 { return clock() - math.Float64frombits(m.listConfirmedAt.Load()) })
}

func (m *Metrics) setListConfirmedAt(at float64) { m.listConfirmedAt.Store(math.Float64bits(at)) }

// countRejection counts a request rejected before it was accepted.
func (m *Metrics) countRejection(reason string) { m.rejections.WithLabelValues(reason).Inc() }

// countGuard counts an action that a guard prevented.
func (m *Metrics) countGuard(guard string) { m.guardActions.WithLabelValues(guard).Inc() }

func (m *Metrics) forGroup(name string) groupMetrics {
	group := groupMetrics{accepted: m.accepted.WithLabelValues(name), latency: m.latency.WithLabelValues(name)}
	for o := range outcomeCount {
		group.outcomes[o] = m.outcomes.WithLabelValues(name, o.String())
	}
	return group
}

func (m *Metrics) forWorker(name string) workerMetrics {
	worker := workerMetrics{attempts: m.attempts.WithLabelValues(name)}
	for r := range worker.results {
		worker.results[r] = m.attemptResults.WithLabelValues(name, resultNames[r])
	}
	return worker
}

// deleteWorker deletes the counters of a worker.
func (m *Metrics) deleteWorker(name string) {
	m.attempts.DeleteLabelValues(name)
	m.attemptResults.DeletePartialMatch(prometheus.Labels{"worker": name})
}
