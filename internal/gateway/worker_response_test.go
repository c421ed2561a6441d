package gateway

import (
	"slices"
	"strings"
	"testing"
)

func TestParseDecimal(t *testing.T) {
	for _, test := range []struct {
		text string
		want float64
	}{
		{"0", 0}, {"1500", 1500}, {"8.2", 8.2}, {".5", 0.5}, {"5.", 5}, {"007", 7}, {"480.19", 480.19}, {"1000.5", 1000.5},
		{strings.Repeat("0", 23) + "1", 1},
		{strings.Repeat("0", 24) + "1", 0},
		{"", 0}, {".", 0}, {"1.2.3", 0}, {"-1", 0}, {"+1", 0}, {" 1", 0}, {"1 ", 0}, {"1,5", 0}, {"1_0", 0}, {"1x", 0},
		{"1e3", 0}, {"2.5E-2", 0}, {"0x1", 0}, {"NaN", 0}, {"Inf", 0},
	} {
		if got := parseDecimal([]byte(test.text)); got != test.want {
			t.Errorf("%q: %.17g, want %.17g", test.text, got, test.want)
		}
	}
}

func TestParseLoadReport(t *testing.T) {
	fields := []string{"inflight", "queue"}
	for _, test := range []struct {
		report string
		want   []float64 // nil if the report is dropped
	}{
		{"TEXT inflight=1, queue=2.5", []float64{1, 2.5}},
		{"TEXT named_metrics.queue=2,named_metrics.inflight=1", []float64{1, 2}},
		{"TEXT cpu_utilization=0.3, inflight=1, malformed, queue=2", []float64{1, 2}},
		{"TEXT inflight=1, queue=2, queue=3", []float64{1, 2}},
		{"TEXT inflight=many, queue=2", []float64{0, 2}},
		{"TEXT inflight=1e3, queue=2", []float64{0, 2}},
		{"TEXT inflight=1, queue", nil},
		{"TEXT inflight=1", nil},
		{"TEXT named_metrics.=1, inflight=1, Queue=2", nil},
		{"JSON inflight=1, queue=2", nil},
		{"", nil},
	} {
		values := make([]float64, 2)
		n := parseLoadReport([]byte(test.report), fields, values)
		if n != len(test.want) || n > 0 && !slices.Equal(values, test.want) {
			t.Errorf("%q: %d values %v, want %v", test.report, n, values, test.want)
		}
	}
}
