package platform

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"mastchute/control"
	"mastchute/internal/config"
)

// parseSettings parses a configuration with the given settings.
func parseSettings(t *testing.T, settings string) *ConfigFile {
	t.Helper()
	file, err := parseConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","seed":"1f","limits":{"cores":1,"memory_mb":32,"sockets":256},
	"changelog":"127.0.0.1:1","known":{"seq":0,"results":[]},"settings":%s}`, settings))
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// Settings, including zeros, are passed to the gateway as they are written; absent ones have defaults.
func TestGatewayConfig(t *testing.T) {
	f := parseSettings(t, `{"request_classes":[{"name":"absent"},{"name":"zero","aim_us":0,"deadline_us":0},
		{"name":"unknown","effect":"odd","group":"region"},{"name":"all","effect":"token","group":"zone","window_us":2000000,"aim_us":250000,"deadline_us":3000000}],
		"tenants":[{"name":"north"},{}],"load_report":{"fields":["queue",5]},"discovery":"subscribe","rules":{"drain_grace_us":1500000},
		"limits":{"conn_idle_us":0,"connect_timeout_us":125000,"retry_after":true},"family_info":{"order_limit_us":4000000}}`)
	c := f.gatewayConfig()
	if want := []config.Group{
		{Name: "absent", Effect: "non-retriable", SLO: config.Seconds(1), Timeout: config.Seconds(60)},
		{Name: "zero", Effect: "non-retriable"},
		{Name: "unknown", Effect: "non-retriable", SLO: config.Seconds(1), Timeout: config.Seconds(60)},
		{Name: "all", Effect: "deduped", DedupScope: "zone", DedupWindow: config.Seconds(2), SLO: config.Seconds(0.25), Timeout: config.Seconds(3)},
	}; !slices.Equal(c.Groups, want) {
		t.Errorf("groups %+v, want %+v", c.Groups, want)
	}
	if len(c.Tenants) != 2 || c.Tenants[0].Name != "north" || !slices.Equal(c.LoadReportFields, []string{"queue", ""}) {
		t.Errorf("tenants %v, report %q", c.Tenants, c.LoadReportFields)
	}
	if c.Discovery.Mode != "ask" || c.Limits.ConnectTimeout.Seconds != 0.125 || c.Limits.WorkerIdleTimeout.Seconds != 15 || c.Loads.Timeout.Seconds != 4 {
		t.Errorf("discovery %s, limits %+v, loads %+v", c.Discovery.Mode, c.Limits, c.Loads)
	}
	if f.drainGrace() != 1.5 || f.maxGroupTimeout() != 3 || !f.settings.RetryAfter.Allowed || f.settings.Discovery.Mode != control.DiscoverySubscribe {
		t.Errorf("drain grace %g, longest timeout %g, settings %+v", f.drainGrace(), f.maxGroupTimeout(), f.settings)
	}
}

// Every changed setting is detected, even an unknown one. A null setting is the same as an absent one.
func TestChangedFieldsDetectsSettings(t *testing.T) {
	const before = `{"request_classes":[{"name":"read"}],"limits":{"open_cap":5}}`
	for after, changed := range map[string]bool{
		before: false,
		`{"limits":{"open_cap":5},"request_classes":[{"name":"read"}],"brand_new":null}`: false,
		`{"request_classes":[{"name":"read"}],"limits":{"open_cap":6}}`:                  true,
		`{"request_classes":[{"name":"read"}],"limits":{"open_cap":5},"brand_new":1}`:    true,
		`{"request_classes":[{"name":"read","aim_us":0}],"limits":{"open_cap":5}}`:       true,
		`{"request_classes":[{"name":"read"},{"name":"x"}],"limits":{"open_cap":5}}`:     true,
	} {
		got := parseSettings(t, before).changedFields(parseSettings(t, after))
		if slices.Contains(got, "settings") != changed {
			t.Errorf("%s: %q differ", after, got)
		}
	}
}

// An invalid configuration is rejected with an error of one line that names the invalid part. Unknown names and values,
// which the platform may add later, are accepted.
func TestParseConfigValidation(t *testing.T) {
	changeLog := newFakeChangeLog(t)
	valid := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"1f","limits":{"cores":1,"memory_mb":32,"sockets":256},"changelog":%q,"known":{"seq":0,"results":[]},"settings":%s}`,
		changeLog.server.Listener.Addr(), testSettings("load"))
	f, err := parseConfig([]byte(valid))
	if err != nil || f.seed != 0x1f || f.maxGroupTimeout() != 2 || f.settingValues.Text("groups.2.effect") != "non-retriable" ||
		len(f.settings.Groups) != 5 || f.settings.Groups[0].Effect != control.Retriable || f.settings.Groups[2].Effect != control.NonRetriable {
		t.Errorf("%+v %v", f, err)
	}
	for _, bad := range []string{"", "{", strings.Replace(valid, "127.0.0.1:0", "nowhere", 1), strings.Replace(valid, `"1f"`, `"x"`, 1),
		strings.Replace(valid, `"sockets":256`, `"sockets":8`, 1), strings.Replace(valid, "request_classes", "x", 1)} {
		if _, err := parseConfig([]byte(bad)); err == nil {
			t.Errorf("%.60q is accepted", bad)
		}
	}
	for setting, named := range map[[2]string]string{
		{`"fall_us":1000000`, `"fall_us":-5`}:                        "rules.fall",
		{`"cold_share":0.2`, `"cold_share":"some"`}:                  "rules.cold_share",
		{`"cancel":true`, `"cancel":"yes"`}:                          "limits.cancel",
		{`"peers_total":1`, `"peers_total":-300`}:                    "dispatchers",
		{`"open_cap":20000`, `"open_cap":-1`}:                        "limits.open_cap",
		{`"streams_per_conn":32`, `"streams_per_conn":[1]`}:          "limits.streams_per_conn",
		{`"name":"write"`, `"name":"read"`}:                          "model group 1",
		{`"name":"write",`, ``}:                                      "model group 1",
		{`"request_classes":` + testGroups, `"request_classes":3`}:   "model group 0",
		{`"request_classes":` + testGroups, `"request_classes":9e9`}: "groups",
	} {
		text := strings.Replace(valid, setting[0], setting[1], 1)
		if _, err := parseConfig([]byte(text)); text == valid || err == nil || !strings.Contains(err.Error(), named) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", setting[1], err)
		}
	}
	for _, setting := range [][2]string{{`"effect":"pure"`, `"effect":"as_yet_unknown"`}, {`"discovery":"automatic"`, `"discovery":"gossip"`},
		{`"fall_us":1000000`, `"fall_us":0`}, {`"open_cap":20000`, `"open_cap":0,"brand_new":{"a":[1]}`}, {`"peers_total":1,`, ``}} {
		text := strings.Replace(valid, setting[0], setting[1], 1)
		if f, err := parseConfig([]byte(text)); text == valid || err != nil || f.gatewayConfig().Limits.Requests < 1 {
			t.Errorf("%s: %v", setting[1], err)
		}
	}
	f, err = parseConfig([]byte(strings.Replace(valid, `"effect":"pure"`, `"effect":"pure","aim_stretch":4.5`, 1)))
	if err != nil || f.settings.Groups[0].SLOStretch != 4.5 {
		t.Errorf("%v %v", f, err)
	}
	t.Setenv("LB_CONFIG", t.TempDir()+"/none")
	var out bytes.Buffer
	if code := Run(&out); code == 0 || strings.Count(out.String(), "\n") != 1 {
		t.Errorf("code %d, %q", code, out.String())
	}
}
