package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// unit is a suffix of a quantity and its factor to the base unit, seconds or bytes.
type unit struct {
	suffix string
	factor float64
}

// cutUnit selects the first suffix that matches, so ms stands before s, and KiB before B.
var (
	durationUnits = []unit{{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}}
	sizeUnits     = []unit{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}
)

const maxSize = 1 << 60 // bytes, exclusive: fits in an int64 and exceeds any machine's memory

// cutUnit separates the number of a quantity from its unit.
func cutUnit(text string, units []unit) (number string, factor float64, found bool) {
	for _, u := range units {
		number, found = strings.CutSuffix(text, u.suffix)
		if found {
			return number, u.factor, true
		}
	}
	return "", 0, false
}

// Duration is a length of time that is written with its unit, such as 250ms, 1.5s or 2m.
type Duration struct {
	Seconds float64
	text    string // as in the file, until Decode has parsed it
}

// Seconds returns a Duration of the given number of seconds.
func Seconds(seconds float64) Duration { return Duration{Seconds: seconds} }

// UnmarshalYAML keeps the text. Decode parses it afterwards, when it can report line and column.
func (d *Duration) UnmarshalYAML(get func(any) error) error { return get(&d.text) }

// MarshalYAML returns the duration in seconds, in the form that UnmarshalYAML reads.
func (d Duration) MarshalYAML() (any, error) {
	return strconv.FormatFloat(d.Seconds, 'f', -1, 64) + "s", nil
}

func (d *Duration) parse() error {
	number, factor, found := cutUnit(d.text, durationUnits)
	value, err := strconv.ParseFloat(number, 64)
	inRange := value >= 0 && !math.IsInf(value, 0) // false for NaN
	if !found || err != nil || !inRange {
		return fmt.Errorf("%q is not a span: write a number and its unit (us, ms, s, m, h), such as 250ms or 1.5s", d.text)
	}
	*d = Seconds(value * factor)
	return nil
}

// Size is a number of bytes that is written with its unit, such as 300MB or 8MiB.
type Size struct {
	Bytes int64
	text  string // as in the file, until Decode has parsed it
}

// Bytes returns a Size of n bytes.
func Bytes(n int64) Size { return Size{Bytes: n} }

// MB returns the size in megabytes of 10^6 bytes.
func (s Size) MB() float64 { return float64(s.Bytes) / 1e6 }

// UnmarshalYAML keeps the text. Decode parses it afterwards, when it can report line and column.
func (s *Size) UnmarshalYAML(get func(any) error) error { return get(&s.text) }

// MarshalYAML returns the size in bytes, in the form that UnmarshalYAML reads.
func (s Size) MarshalYAML() (any, error) { return strconv.FormatInt(s.Bytes, 10) + "B", nil }

func (s *Size) parse() error {
	number, factor, found := cutUnit(s.text, sizeUnits)
	value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	inRange := value >= 0 && value*factor < maxSize // false for NaN
	if !found || err != nil || !inRange {
		return fmt.Errorf("%q is not a size: write a number and its unit (B, kB, MB, GB, KiB, MiB, GiB), such as 300MB", s.text)
	}
	*s = Bytes(int64(value * factor))
	return nil
}
