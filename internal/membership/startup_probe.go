package membership

import "math"

const (
	minProbeBackoff = 0.1 // s until the next probe after one without a response; a restart takes longer
	maxProbeBackoff = 2.0 // s, the longest backoff; restarted workers are in slow start for seconds
)

// StartupProbe schedules the probes of a worker for its start time. A worker is probed after it has closed a connection,
// which mostly means that its process has ended, and then until it responds. It is probed again only if an attempt was sent
// since the previous probe, so that a worker that closes idle connections is not probed forever. The zero value is ready to
// use.
type StartupProbe struct {
	pending        bool // a probe is in flight or scheduled
	sentSinceProbe bool
	backoff        float64
}

// MarkSent records that an attempt was sent to the worker.
func (p *StartupProbe) MarkSent() { p.sentSinceProbe = true }

// ConnectionLost records that the worker ended a connection, and reports whether to probe it now. If so, the probe has
// begun.
func (p *StartupProbe) ConnectionLost() bool {
	probeNow := p.sentSinceProbe && !p.pending
	if probeNow {
		p.BeginProbe()
	}
	return probeNow
}

// BeginProbe records that a probe is sent.
func (p *StartupProbe) BeginProbe() {
	p.pending = true
	p.sentSinceProbe = false
}

// ProbeFinished records the end of a probe, and returns the seconds until the next one, 0 for none. random, in [0, 1),
// adds jitter, so that dispatchers do not probe in step.
func (p *StartupProbe) ProbeFinished(succeeded bool, random float64) (retryAfter float64) {
	if succeeded {
		p.pending = false
		p.backoff = 0
		return 0
	}
	p.backoff = math.Min(maxProbeBackoff, math.Max(minProbeBackoff, 2*p.backoff))
	return p.backoff * (0.5 + random)
}
