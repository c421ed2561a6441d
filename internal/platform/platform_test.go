package platform

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

func TestConfigurationIsChecked(t *testing.T) {
	log := newFakeChangeLog(t)
	good := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"1f","limits":{"cores":1,"memory_mb":32,"sockets":256},"changelog":%q,"known":{"seq":0,"results":[]},"settings":%s}`,
		log.server.Listener.Addr(), testSettings("load"))
	f, err := parseFile([]byte(good))
	if err != nil || f.seed != 0x1f || f.timeout() != 2 || f.set.Text("groups.2.effect") != "non-retriable" {
		t.Errorf("%+v %v", f, err)
	}
	for _, bad := range []string{"", "{", strings.Replace(good, "127.0.0.1:0", "nowhere", 1), strings.Replace(good, `"1f"`, `"x"`, 1),
		strings.Replace(good, `"sockets":256`, `"sockets":8`, 1), strings.Replace(good, "request_classes", "x", 1)} {
		if _, err := parseFile([]byte(bad)); err == nil {
			t.Errorf("%.60q is taken", bad)
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
		text := strings.Replace(good, setting[0], setting[1], 1)
		if _, err := parseFile([]byte(text)); text == good || err == nil || !strings.Contains(err.Error(), named) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", setting[1], err)
		}
	}
	for _, setting := range [][2]string{{`"effect":"pure"`, `"effect":"as_yet_unknown"`}, {`"discovery":"automatic"`, `"discovery":"gossip"`},
		{`"fall_us":1000000`, `"fall_us":0`}, {`"open_cap":20000`, `"open_cap":0,"brand_new":{"a":[1]}`}, {`"peers_total":1,`, ``}} {
		text := strings.Replace(good, setting[0], setting[1], 1)
		if f, err := parseFile([]byte(text)); text == good || err != nil || f.host().Limits.Requests < 1 {
			t.Errorf("%s: %v", setting[1], err)
		}
	}
	f, err = parseFile([]byte(strings.Replace(good, `"effect":"pure"`, `"effect":"pure","aim_stretch":4.5`, 1)))
	if err != nil || f.set["groups.0.slo_stretch"] != 4.5 {
		t.Errorf("%v %v", f, err)
	}
	t.Setenv("LB_CONFIG", t.TempDir()+"/none")
	var out bytes.Buffer
	if code := Run(&out); code == 0 || strings.Count(out.String(), "\n") != 1 {
		t.Errorf("code %d, %q", code, out.String())
	}
}
