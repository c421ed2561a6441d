package main

// class returns a request class of the settings. Times are in seconds.
func class(name, effect, group string, aim, deadline, window float64) map[string]any {
	return map[string]any{"name": name, "effect": effect, "group": group, "aim_us": micros(aim), "deadline_us": micros(deadline),
		"window_us": micros(window), "gain": 2.0, "late_worth": 0.1, "stream": false}
}

func micros(seconds float64) int64 { return int64(seconds * 1e6) }

// packetSettings returns settings with the figures of the site packet-reader-dud.
func packetSettings(dispatchers int) map[string]any {
	return map[string]any{
		"azs": []string{"east"}, "discovery": "automatic", "family": "warm", "layers": []string{"model-hosts"}, "machine_types": []string{"std"},
		"me": 0, "peers_total": dispatchers, "tenants": []any{}, "tier": 0, "zone": 0, "resolution_us": 2000, "weight_source": "rough", "worth_by": "work",
		"clients":     map[string]any{"marks_retry": false},
		"costs":       map[string]any{"probe": 0.0085, "waste": 0.03, "origin": 0.03},
		"load_report": map[string]any{"fields": []string{"inflight", "queue"}, "via": "answers"},
		"family_info": map[string]any{"when_absent": "load", "may_order": true, "stays_loaded_us": 8600000, "order_limit_us": 10000000,
			"marks_cold": true, "load_period_us": 0, "load_floor": 0.0, "load_share": 0.0},
		"limits": map[string]any{"cancel": true, "conn_idle_us": 15000000, "connect_timeout_us": 250000, "max_attempts": 6,
			"max_retry_after_us": 500000, "open_cap": 20000, "parallel_tries": true, "peers": false, "probing": false, "retry_after": true,
			"streams_per_conn": 32},
		"rules": map[string]any{"answer_slack_us": 8000, "ask_every_us": 10000000, "cold_share": 0.17, "drain_grace_us": 500000,
			"fall_us": 2000000, "overload_factor": 4.0, "warm_after_us": 17000000},
		"request_classes": []any{
			class("taxon-guess", "pure", "all", 1.5, 5, 5),
			class("record-update", "token", "cell", 0.8, 6, 12),
			class("catalogue-number", "side_effect", "all", 0.8, 4, 4),
		},
	}
}
