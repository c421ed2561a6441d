package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"mastchute/control"
)

// settingNames translates setting names of the wire to those of control.SettingValues. Other names are the same in
// both.
var settingNames = map[string]string{
	"aim":              "slo",
	"aim_stretch":      "slo_stretch",
	"azs":              "zones",
	"costs":            "prices",
	"counts_alike":     "tells_crowd",
	"deadline":         "timeout",
	"family_info":      "models",
	"gain":             "value",
	"group":            "scope",
	"late_fail":        "late_failure",
	"late_worth":       "late_value",
	"load_floor":       "load_few",
	"load_period":      "load_window",
	"marks_cold":       "tells_warm",
	"may_order":        "orders",
	"order_limit":      "order_timeout",
	"over_share_worth": "over_share_value",
	"parallel_tries":   "hedging",
	"peers_total":      "dispatchers",
	"portion":          "share",
	"probing":          "probes",
	"quota_rps":        "quota",
	"request_classes":  "groups",
	"resolution":       "tick",
	"stays_loaded":     "keep",
	"when_absent":      "on_miss",
	"worth_by":         "value_by",
}

// enumValues translates the wire's values of enumerated settings, by the name of the setting in control.SettingValues.
var enumValues = map[string]map[string]string{
	"effect":    {"pure": "retriable", "token": "deduped", "side_effect": "non-retriable"},
	"discovery": {"automatic": "push", "subscribe": "ask"},
}

// microsSuffix ends the wire's names of durations in microseconds.
const microsSuffix = "_us"

// ParseSettings parses the settings of the wire, a JSON object. It translates names and enumerated values, and converts
// durations to seconds.
func ParseSettings(text []byte) (control.SettingValues, error) {
	var root map[string]any
	err := json.Unmarshal(text, &root)
	if err != nil {
		return nil, fmt.Errorf("settings are not a JSON object: %w", err)
	}
	values := control.SettingValues{}
	flatten(values, "", "", root)
	return values, nil
}

// flatten adds a value to values, and the members and entries of an object or list under their own paths. path is the
// dotted path of the value, and key the last part of the path that is not an index.
func flatten(values control.SettingValues, path, key string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for wireName, member := range value {
			name, translated := translateMember(wireName, member)
			flatten(values, joinPath(path, name), name, translated)
		}
	case []any:
		values[path] = control.ListLength(len(value))
		for i, entry := range value {
			flatten(values, joinPath(path, strconv.Itoa(i)), key, entry)
		}
	case string:
		enumValue, ok := enumValues[key][value]
		if !ok {
			enumValue = value
		}
		values[path] = enumValue
	case nil: // the same as absent
	default:
		values[path] = value
	}
}

// translateMember returns the translated name of a member of an object, and its value, in seconds if it is a duration.
func translateMember(wireName string, value any) (string, any) {
	name, inMicros := strings.CutSuffix(wireName, microsSuffix)
	translated, ok := settingNames[name]
	if ok {
		name = translated
	}
	micros, isNumber := value.(float64)
	if inMicros && isNumber {
		value = micros / microsPerSecond
	}
	return name, value
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
