package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"mastchute/control"
)

// names turns the wire's setting names into ours; a name not listed keeps its own.
var names = map[string]string{
	"request_classes": "groups", "aim": "slo", "aim_stretch": "slo_stretch", "deadline": "timeout", "gain": "value", "group": "scope",
	"peers_total": "dispatchers", "azs": "zones", "costs": "prices",
	"parallel_tries": "hedging", "probing": "probes", "when_absent": "on_miss", "may_order": "orders",
	"stays_loaded": "keep", "order_limit": "order_timeout", "marks_cold": "tells_warm",
	"counts_alike": "tells_crowd", "load_period": "load_window", "load_floor": "load_few",
	"late_worth": "late_value", "over_share_worth": "over_share_value", "quota_rps": "quota", "portion": "share",
	"resolution": "tick", "family_info": "models", "late_fail": "late_failure", "worth_by": "value_by",
}

// effects and words turn the wire's choice words into ours, for the one setting each that holds them.
var words = map[string]map[string]string{
	"effect":    {"pure": "retriable", "token": "deduped", "side_effect": "non-retriable"},
	"discovery": {"automatic": "push", "subscribe": "ask"},
}

// ParseSettings parses the settings text of the wire, a JSON object. Names and words are the project's own, and times are in
// seconds.
func ParseSettings(text []byte) (control.SettingValues, error) {
	var root map[string]any
	if err := json.Unmarshal(text, &root); err != nil {
		return nil, fmt.Errorf("settings are not a JSON object: %w", err)
	}
	flat := control.SettingValues{}
	flatten(flat, "", "", root)
	return flat, nil
}

func flatten(flat control.SettingValues, at, key string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			name, isSpan := strings.CutSuffix(k, "_us")
			if ours, ok := names[name]; ok {
				name = ours
			}
			if n, ok := e.(float64); ok && isSpan {
				e = n / 1e6
			}
			flatten(flat, join(at, name), name, e)
		}
	case []any:
		flat[at] = control.ListLength(len(v))
		for i, e := range v {
			flatten(flat, join(at, strconv.Itoa(i)), key, e)
		}
	case string:
		if ours, ok := words[key][v]; ok {
			v = ours
		}
		flat[at] = v
	case nil:
	default:
		flat[at] = v
	}
}

func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}
