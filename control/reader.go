package control

import (
	"errors"
	"fmt"
)

// SettingError names a setting that can't be used.
type SettingError struct {
	Name string
	Told any    // its value
	Want string // what may stand there
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s is %v: it should be %s", e.Name, e.Told, e.Want)
}

// Check returns an error that names each setting which can't be used, nil if there is none. A host that may refuse to
// start asks it first; New goes on with the defaults in their place. A word that is not known is no such fault: a later
// platform may have more of them, and the default is the strictest.
func Check(s Settings) error {
	_, r := read(s)
	return errors.Join(r.wrong...)
}

// settingsReader keeps what can't be used, and words that are not known.
type settingsReader struct {
	from           Settings
	wrong, unknown []error
}

// number reads a number within bounds. Zero counts as not told where it is out of them: that is how the wire says so.
func (r *settingsReader) number(name string, fallback, low, high float64) float64 {
	v, told := r.from[name]
	if !told {
		return fallback
	}
	n, ok := v.(float64)
	switch {
	case ok && n >= low && n <= high:
		return n
	case !ok || n != 0:
		r.wrong = append(r.wrong, &SettingError{name, v, fmt.Sprintf("a number from %g to %g", low, high)})
	}
	return fallback
}

// span reads seconds by which something is divided or waited for.
func (r *settingsReader) span(name string, fallback Seconds) Seconds {
	return r.number(name, fallback, spanLeast, never)
}

// count reads the length of a list.
func (r *settingsReader) count(name string) int {
	if n, ok := r.from[name].(Length); ok && n <= listMost {
		return int(n)
	}
	return int(r.number(name, 0, 0, listMost))
}

// word reads one of the words known, the fallback among them.
func (r *settingsReader) word(name, fallback string, others ...string) string {
	v, told := r.from[name]
	if !told || v == fallback {
		return fallback
	}
	for _, w := range others {
		if v == w {
			return w
		}
	}
	r.unknown = append(r.unknown, &SettingError{name, v, fmt.Sprintf("one of %q", append(others, fallback))})
	return fallback
}

func (r *settingsReader) flag(name string) bool {
	v, told := r.from[name]
	on, ok := v.(bool)
	if told && !ok {
		r.wrong = append(r.wrong, &SettingError{name, v, "true or false"})
	}
	return on
}
