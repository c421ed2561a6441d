package thrift

import (
	"fmt"
	"math"
	"strconv"
	"testing"
)

func TestParseDecimal(t *testing.T) {
	for _, text := range []string{"0", "1500", "8.2", "1e3", "2.5E-2", ".5", "5.", "123456789.25", "1e-300"} {
		want, _ := strconv.ParseFloat(text, 64)
		if value, ok := ParseDecimal([]byte(text)); !ok || math.Abs(value-want) > 1e-12*want {
			t.Errorf("%s: %g %v", text, value, ok)
		}
	}
	for _, text := range []string{"", ".", "-1", "+1", "1e", "1e+", "1e1000", "0x1", "NaN", "Inf", "1 ", "1_0", "1.2.3", fmt.Sprintf("%033d", 1)} {
		if value, ok := ParseDecimal([]byte(text)); ok {
			t.Errorf("%q is accepted as %g", text, value)
		}
	}
}
