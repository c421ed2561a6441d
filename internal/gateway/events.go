package gateway

import (
	"github.com/rs/zerolog"

	"mastchute/internal/flightrecorder"
)

// This file writes to the flight recorder and logs final responses.

// RecordEvent records a state change and its reason in the flight recorder. The request and the worker may be nil. what and
// why should be constants, because formatting allocates.
func (g *Gateway) RecordEvent(what, why string, r *Request, w *Worker, value float64) {
	e := flightrecorder.Event{At: g.Loop.Now(), What: what, Why: why, Value: value}
	if r != nil {
		e.Request = r.seq
	}
	if w != nil {
		e.Worker = uint32(w.ID)
	}
	g.flightRecorder.Add(e)
}

// DumpFlightRecorder logs the recorded events, oldest first, and the requests in flight.
func (g *Gateway) DumpFlightRecorder(why string) {
	g.log.Warn().Str("why", why).Uint64("events", g.flightRecorder.Count()).Int("in_flight", g.inFlight).Msg("flight recorder")
	g.flightRecorder.Each(func(e *flightrecorder.Event) {
		g.log.Warn().Float64("at", e.At).Str("what", e.What).Str("reason", e.Why).Uint64("request", e.Request).
			Uint32("worker_id", e.Worker).Float64("value", e.Value).Msg("event")
	})
	for _, r := range g.requests {
		if r.inUse {
			g.log.Warn().Uint64("request", r.seq).Bytes("trace", r.traceID[:]).Bool("finished", r.finished).Int("attempts", r.attemptCount).
				Int("unreported_attempts", r.unreportedAttempts).Float64("time_left_s", r.deadline-g.Loop.Now()).Msg("in flight")
		}
	}
}

// logFinished logs a final response: one in cfg.Log.Sample at info level, the others at debug level. The fields are in
// seconds: held_s is the time until the last attempt was made, connect_s from then until it was written to a connection, and
// worker_s from then until the response.
func (g *Gateway) logFinished(r *Request, o outcome, now float64) {
	level := zerolog.DebugLevel
	if n := g.cfg.Log.Sample; n > 0 && r.seq%uint64(n) == 0 {
		level = zerolog.InfoLevel
	}
	if g.log.GetLevel() > level {
		return
	}
	e := g.log.WithLevel(level).Str("request_id", string(g.appendRequestID(nil, r))).Str("model", r.model.Name).
		Str("group", r.group.Name).Stringer("answer", o).Int("attempts", r.attemptCount)
	if r.tenant >= 0 {
		e = e.Str("tenant", g.cfg.Tenants[r.tenant].Name)
	}
	queueDelay := now - r.arrivedAt
	if r.attemptCount > 0 {
		last := r.attempts[r.attemptCount-1]
		queueDelay = last.createdAt - r.arrivedAt
		e = e.Str("worker", last.Worker.Name)
		sentAt := last.Worker.transport.SentAt(last)
		if sentAt > 0 {
			e = e.Float64("connect_s", sentAt-last.createdAt).Float64("worker_s", now-sentAt)
		}
	}
	e.Float64("held_s", queueDelay).Float64("total_s", now-r.arrivedAt).Msg("final answer")
}
