package membership

import "math"

const (
	minProbeBackoff = 0.1 // s from a probe without a response to the next; a restart takes longer
	maxProbeBackoff = 2.0 // s between probes at most: restarted workers warm up over seconds
)

// StartupProbe decides when to probe a worker for its start: after connections to it were lost, which mostly means that
// its process ended, and then until it responds. It probes at most once for what was sent since the previous probe, so that
// a worker that closes idle connections is not probed forever. Its zero value is ready to use.
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
