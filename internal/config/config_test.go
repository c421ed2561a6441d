package config

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"

	"mastchute/control"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const good = `name: d0
groups:
  - {name: read, effect: retriable, slo: 800ms, timeout: 5s, value: 1}
  - {name: write, effect: deduped, scope: zone, window: 4s, slo: 1s, timeout: 1m}
tenants: [{name: north, quota: 20}, {name: south}]
models: [{name: "species-*", group: read, memory: 300MB, lanes: 4, load: 1.2s}, {name: "*", group: write}]
workers: [{name: w1, address: "127.0.0.1:9001", zone: a}, {name: w2, address: "[::1]:9002"}]
rules: {drain_grace: 500ms}
`

// Each YAML file of testdata/bad holds settings with faults, and the text file of the same name all problems to be reported.
func TestProblemsOfBadSettings(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.yaml")
	if err != nil || len(files) < 10 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		_, err := Load(file)
		if err == nil {
			t.Errorf("%s: no problem reported", file)
			continue
		}
		got := strings.ReplaceAll(err.Error(), file, filepath.Base(file)) + "\n"
		golden := strings.TrimSuffix(file, ".yaml") + ".txt"
		if *update {
			if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		if string(want) != got {
			t.Errorf("%s:\ngot  %swant %s", file, got, want)
		}
	}
}

func TestDefaultsApplyWhereNothingIsWritten(t *testing.T) {
	c, err := Parse("x", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	d := Default()
	if c.Rules.DrainGrace.Seconds != 0.5 || c.Rules.ColdShare != d.Rules.ColdShare || c.Limits != d.Limits || c.Models[0].Memory.Bytes != 300e6 {
		t.Errorf("%+v", c.Rules)
	}
	// Marshalled and parsed again, the settings are the same.
	text, err := yaml.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("again", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if diff := c.RestartRequired(again); len(diff) > 0 {
		t.Errorf("marshalling and parsing changed %v", diff)
	}
}

// What the decisions read is what the settings hold, by the names that control asks for.
func TestSettingsReachTheDecisions(t *testing.T) {
	c, err := Parse("x", []byte(good+"loads: {on_miss: miss, window: 10s, few: 5, share: 0.1, keep: 3s}\nforwards: {most: 5, probes: true, probe_price: 0.02}\n"))
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings()
	for name, want := range map[string]any{"groups": 2.0, "groups.1.effect": "deduped", "groups.1.scope": "zone", "groups.1.window": 4.0,
		"groups.1.timeout": 60.0, "tenants": 2.0, "tenants.0.quota": 20.0, "rules.drain_grace": 0.5, "models.on_miss": "miss",
		"models.load_window": 10.0, "models.load_few": 5.0, "models.keep": 3.0, "limits.max_attempts": 5.0, "limits.probes": true, "prices.probe": 0.02,
		"load_report.fields.0": "inflight", "tick": 0.001, "discovery": "push"} {
		if s[name] != want {
			t.Errorf("%s is %v, want %v", name, s[name], want)
		}
	}
	if _, ok := s["tenants.1.quota"]; ok {
		t.Error("a tenant without a share has a quota")
	}
	// Every name that control reads is set.
	if err := control.Check(s); err != nil {
		t.Errorf("the decisions can't use them: %v", err)
	}
	src, err := os.ReadFile("../../control/settings.go")
	if err != nil {
		t.Fatal(err)
	}
	names := regexp.MustCompile(`r\.(?:number|span|flag|word|count)\((at\+)?"([^"]+)"`).FindAllStringSubmatch(string(src), -1)
	if len(names) < 25 {
		t.Fatalf("control reads %d names", len(names))
	}
	for _, n := range names {
		name := n[2]
		if n[1] != "" {
			name = "groups.1." + name
		}
		if _, ok := s[name]; !ok && !strings.HasSuffix(name, ".") {
			t.Errorf("control reads %q, which no setting gives", name)
		}
	}
}

func TestRestartRequired(t *testing.T) {
	before, err := Parse("before", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	after, err := Parse("after", []byte(strings.Replace(good, "drain_grace: 500ms", "drain_grace: 400ms", 1)+"listen: 127.0.0.1:1\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(before.RestartRequired(after), " "); got != "listen rules" {
		t.Errorf("restart required for %q, want listen and rules", got)
	}
}

// Parse returns an error or settings for any text, and never panics.
func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add("groups: [{name: a, effect: x}]")
	f.Add("workers: [{address: 5}]\nlimits: {body: 1ZB}")
	f.Fuzz(func(t *testing.T, text string) {
		cfg, err := Parse("x", []byte(text))
		if (cfg == nil) == (err == nil) {
			t.Errorf("settings %v and error %v", cfg, err)
		}
	})
}
