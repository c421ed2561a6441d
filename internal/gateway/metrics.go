package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"mastchute/control"
)

// Metrics are the counters of one dispatcher. Counting on the loop is a few atomic additions: every label the
// ordinary path needs is looked up once, ahead.
type Metrics struct {
	Registry *prometheus.Registry

	loadOrders, probes, listFailures prometheus.Counter
	rejections, guards, accepted     *prometheus.CounterVec
	violations, heldBack             *prometheus.CounterVec
	outcomes                         *prometheus.CounterVec
	latency                          *prometheus.HistogramVec
	attempts, attemptResults         *prometheus.CounterVec
}

type groupMetrics struct {
	accepted prometheus.Counter
	outcomes [outcomeCount]prometheus.Counter
	latency  prometheus.Observer
}

func (m groupMetrics) requestFinished(a outcome, took float64) {
	m.outcomes[a].Inc()
	if a == outcomeReturned {
		m.latency.Observe(took)
	}
}

type workerMetrics struct {
	attempts prometheus.Counter
	results  [control.ModelNotLoaded + 1]prometheus.Counter
}

func (m workerMetrics) attemptFinished(r control.Result) { m.results[r].Inc() }

var resultNames = [...]string{"returned", "errored", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot", "missed"}

func newMetrics(g *Gateway) *Metrics {
	m := &Metrics{Registry: prometheus.NewRegistry()}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		m.Registry.MustRegister(c)
		return c
	}
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		m.Registry.MustRegister(c)
		return c
	}
	gauge := func(name, help string, f func() float64) {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
	}
	m.loadOrders = counter("mastchute_load_orders_total", "Load orders sent to workers.")
	m.probes = counter("mastchute_probes_total", "Probes sent to workers.")
	m.listFailures = counter("mastchute_roster_failures_total", "Times a source of the list of workers could not be read.")
	m.rejections = vec("mastchute_refusals_total", "Requests refused before an inference was taken, by reason.", "reason")
	m.guards = vec("mastchute_guards_total", "Times the host barred what a rule forbids; each is a fault to report.", "guard")
	m.violations = vec("mastchute_violations_total", "Acts that the decisions asked for and a rule forbids; barred, and a fault to report.", "rule", "reason")
	m.heldBack = vec("mastchute_overtaken_total", "Attempts held back at the last moment, as events overtook them; no fault.", "rule", "reason")
	m.accepted = vec("mastchute_taken_total", "Inferences taken.", "group")
	m.outcomes = vec("mastchute_answers_total", "Final answers, by kind; left means that the client went first.", "group", "answer")
	m.attempts = vec("mastchute_forwards_total", "Forwards to workers.", "worker")
	m.attemptResults = vec("mastchute_forward_ends_total", "How forwards ended.", "worker", "result")
	m.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "mastchute_returned_seconds",
		Help: "Time from taking an inference to its returned answer.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 16)}, []string{"group"})
	m.Registry.MustRegister(m.latency, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	stats := &g.Loop.Stats
	gauge("mastchute_connections", "Connections open, to clients and to workers.", func() float64 { return float64(stats.Connections.Load()) })
	gauge("mastchute_accepted_total", "Connections accepted.", func() float64 { return float64(stats.Accepted.Load()) })
	gauge("mastchute_no_descriptor_total", "Times accepting ran out of descriptors.", func() float64 { return float64(stats.DescriptorShortages.Load()) })
	gauge("mastchute_local_failures_total", "System calls that failed for want of the machine's means; they are tried again.", func() float64 { return float64(stats.LocalFailures.Load()) })
	gauge("mastchute_standstills_total", "Times the process stood still for over 0.1 s.", func() float64 { return float64(stats.Stalls.Load()) })
	gauge("mastchute_loop_turns_total", "Turns of the loop.", func() float64 { return float64(stats.Turns.Load()) })
	gauge("mastchute_loop_late_seconds", "How late the latest timer fired.", func() float64 { return float64(stats.LateNs.Load()) / 1e9 })
	gauge("mastchute_loop_longest_turn_seconds", "Longest turn of the loop so far.", func() float64 { return float64(stats.TurnNs.Load()) / 1e9 })
	return m
}

func (m *Metrics) countRejection(why string) { m.rejections.WithLabelValues(why).Inc() }
func (m *Metrics) countGuard(which string)   { m.guards.WithLabelValues(which).Inc() }

func (m *Metrics) forGroup(name string) groupMetrics {
	g := groupMetrics{accepted: m.accepted.WithLabelValues(name), latency: m.latency.WithLabelValues(name)}
	for a := range outcomeCount {
		g.outcomes[a] = m.outcomes.WithLabelValues(name, a.String())
	}
	return g
}

func (m *Metrics) forWorker(name string) workerMetrics {
	w := workerMetrics{attempts: m.attempts.WithLabelValues(name)}
	for r := range w.results {
		w.results[r] = m.attemptResults.WithLabelValues(name, resultNames[r])
	}
	return w
}

// forgetWorker drops the counters of a worker.
func (m *Metrics) forgetWorker(worker string) {
	m.attempts.DeleteLabelValues(worker)
	m.attemptResults.DeletePartialMatch(prometheus.Labels{"worker": worker})
}
