package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
)

const (
	memoryLimitMB       = 48
	slowStartCapacity   = 0.2  // fraction of its full capacity that a worker has at its start
	slowStartDuration   = 4.0  // s until a worker has full capacity
	overloadFactor      = 2.0  // multiple of its capacity that crashes a worker in slow start
	overloadWindow      = 1.0  // s over which the load is measured
	seedsPerRun         = 1000 // dispatcher seeds that are reserved for each seed of a plan
	resolutionMicros    = 2000
	idleUnloadMicros    = 8_000_000
	loadTimeoutMicros   = 2_000_000
	maxRetryAfterMicros = 500_000
	maxAttempts         = 4
	maxOpenRequests     = 20_000
)

// configuration returns the text of the dispatcher's configuration file.
func (d *dispatcher) configuration() []byte {
	plan := &d.run.plan
	text, err := json.Marshal(map[string]any{
		"name":      fmt.Sprintf("n%d", d.index),
		"listen":    d.address,
		"seed":      fmt.Sprintf("%016x", plan.Seed*seedsPerRun+uint64(d.index)),
		"limits":    map[string]any{"cores": 1, "memory_mb": memoryLimitMB, "sockets": plan.Site.Sockets},
		"changelog": d.run.changeLog.addrs[d.changeLogIndex],
		"known":     json.RawMessage(d.run.changeLog.EventsAfter(0)),
		"settings":  plan.Site.settings(),
	})
	if err != nil {
		panic(err) // not reached: maps of plain values are always encodable
	}
	return text
}

// settings returns the part of the configuration that all dispatchers of a run share.
func (s Site) settings() map[string]any {
	return map[string]any{
		"request_classes": []any{s.requestClass(retriableClass, "pure"), s.requestClass(deduplicatedClass, "token"),
			s.requestClass(nonRetriableClass, "side_effect")},
		"discovery":     "automatic",
		"peers_total":   s.Dispatchers,
		"resolution_us": resolutionMicros,
		"family_info": map[string]any{"when_absent": "load", "may_order": true, "stays_loaded_us": idleUnloadMicros,
			"order_limit_us": loadTimeoutMicros, "marks_cold": true},
		"load_report": map[string]any{"fields": []string{"inflight", "queue"}, "via": "answers"},
		"limits": map[string]any{"cancel": s.Cancel, "parallel_tries": s.Hedge, "probing": true, "retry_after": s.RetryAfter,
			"max_retry_after_us": maxRetryAfterMicros, "max_attempts": maxAttempts, "streams_per_conn": s.Streams,
			"conn_idle_us": microseconds(s.ConnIdle), "connect_timeout_us": microseconds(s.ConnectTimeout), "open_cap": maxOpenRequests},
		"rules": map[string]any{"drain_grace_us": microseconds(s.Grace), "cold_share": slowStartCapacity,
			"warm_after_us": microseconds(slowStartDuration), "overload_factor": overloadFactor, "fall_us": microseconds(overloadWindow)},
	}
}

func (s Site) requestClass(name class, effect string) map[string]any {
	return map[string]any{"name": name, "effect": effect, "aim_us": microseconds(s.Deadline / 3), "deadline_us": microseconds(s.Deadline),
		"group": cmp.Or(s.Scope, scopeAll), "window_us": microseconds(s.Window)}
}

func microseconds(s float64) int { return int(s * 1e6) }
