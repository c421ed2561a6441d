package membership

import "math"

const (
	minProbeBackoff = 0.1 // s from a probe without a response to the next one; a restart takes longer
	maxProbeBackoff = 2.0 // s; a restart must be noticed during the worker's slow start, which lasts seconds
)

// StartupProbe schedules the probes that ask a worker for its start time. A worker is probed after it closes a connection,
// which usually means that its process has ended, and again until it responds. After that, it is probed again only if an
// attempt was sent since the previous probe, so that a worker that closes idle connections is not probed forever. The zero
// value is ready to use.
type StartupProbe struct {
	pending        bool // a probe is in flight or scheduled
	sentSinceProbe bool
	backoff        float64 // s, the latest one; 0 after a response
}

// MarkSent records that an attempt was sent to the worker.
func (p *StartupProbe) MarkSent() { p.sentSinceProbe = true }

// ConnectionLost records that the worker closed a connection, and reports whether to probe it now. If so, it has called
// BeginProbe.
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
// adds jitter, so that the probes of several dispatchers do not coincide.
func (p *StartupProbe) ProbeFinished(succeeded bool, random float64) (retryAfter float64) {
	if succeeded {
		p.pending = false
		p.backoff = 0
		return 0
	}
	p.backoff = math.Min(maxProbeBackoff, math.Max(minProbeBackoff, 2*p.backoff))
	return p.backoff * (0.5 + random)
}
