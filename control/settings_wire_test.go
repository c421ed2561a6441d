package control_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"mastchute/control"
	"mastchute/internal/simwire"
)

var updateSettings = flag.Bool("update-settings", false, "write testdata/settings/wire.golden again: only where settings are meant to be read differently")

// resolvedFromWire returns what a dispatcher makes of a settings text, as far as it differs from the defaults.
func resolvedFromWire(t *testing.T, text string) []string {
	t.Helper()
	values, err := simwire.ParseSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	defaults := control.ResolvedSettings(control.Settings{})
	return slices.DeleteFunc(control.ResolvedSettings(control.ParseSettings(values)), func(line string) bool {
		return slices.Contains(defaults, line)
	})
}

// TestSettingsFromTheWire reads settings texts with usual and odd values. The golden file holds each text, followed by what
// it resolves to; it was written by the reader of dotted names that the typed settings replaced.
func TestSettingsFromTheWire(t *testing.T) {
	const golden = "testdata/settings/wire.golden"
	text, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	cases := 0
	for block := range strings.SplitSeq(strings.TrimSuffix(string(text), "\n"), "\n\n") {
		settings, want, _ := strings.Cut(block, "\n")
		got := strings.Join(resolvedFromWire(t, settings), "\n")
		if got != strings.TrimSuffix(want, "\n") && !*updateSettings {
			t.Errorf("%s\ngot\n%s\nwant\n%s", settings, got, want)
		}
		if out.WriteString(settings + "\n"); got != "" {
			out.WriteString(got + "\n")
		}
		out.WriteString("\n")
		cases++
	}
	if cases < 700 {
		t.Errorf("%d cases", cases)
	}
	if *updateSettings {
		if err := os.WriteFile(golden, []byte(strings.TrimSuffix(out.String(), "\n")), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// TestTooLongListsFromTheWire: a list of more entries than are allowed counts as absent and is reported; of model groups the
// first one is read all the same.
func TestTooLongListsFromTheWire(t *testing.T) {
	const allowed = 4096
	for _, c := range []struct {
		text string
		name string
		want []string
	}{
		{`{"request_classes":[%s]}`, "groups", []string{"group 0: effect=retriable scope= window=0 slo=1 stretch=0 timeout=60"}},
		{`{"tenants":[%s]}`, "tenants", nil},
		{`{"load_report":{"fields":[%s]}}`, "load_report.fields", nil},
	} {
		list := strings.Repeat(`{"effect":"pure","quota_rps":1},`, allowed) + "{}"
		want := append(c.want, fmt.Sprintf("unusable: setting %s is %d: it should be a number from 0 to %d", c.name, allowed+1, allowed))
		if got := resolvedFromWire(t, fmt.Sprintf(c.text, list)); !slices.Equal(got, want) {
			t.Errorf("%s: got %.300q, want %q", c.name, got, want)
		}
		list = strings.TrimSuffix(list, ",{}")
		if got := resolvedFromWire(t, fmt.Sprintf(c.text, list)); slices.ContainsFunc(got, func(line string) bool { return strings.HasPrefix(line, "unusable") }) {
			t.Errorf("%s: %.300q with as many as are allowed", c.name, got)
		}
	}
}
