package config

import "testing"

func TestParseDuration(t *testing.T) {
	for text, want := range map[string]float64{"250ms": 0.25, "1.5s": 1.5, "2m": 120, "1h": 3600, "3us": 3e-6, "0s": 0} {
		d := Duration{text: text}
		if err := d.parse(); err != nil || d != Seconds(want) {
			t.Errorf("%s: %v, %v; want %g s", text, d, err, want)
		}
	}
	for _, text := range []string{"1", "s", "-1s", "NaNs", "Infms", "5 seconds", "1 s", "1e999s"} {
		d := Duration{text: text}
		if err := d.parse(); err == nil {
			t.Errorf("%s: %v, want an error", text, d)
		}
	}
}

func TestParseSize(t *testing.T) {
	for text, want := range map[string]int64{"8MiB": 8 << 20, "300MB": 300e6, "1 kB": 1000, "2GiB": 2 << 30, "0.5KiB": 512, "7B": 7, "1GB": 1e9} {
		s := Size{text: text}
		if err := s.parse(); err != nil || s != Bytes(want) {
			t.Errorf("%s: %v, %v; want %d bytes", text, s, err, want)
		}
	}
	for _, text := range []string{"8", "MB", "-1B", "NaNB", "1e30B", "1152921504606846976B", "1 ZB"} {
		s := Size{text: text}
		if err := s.parse(); err == nil {
			t.Errorf("%s: %v, want an error", text, s)
		}
	}
}
