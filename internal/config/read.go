package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is one fault of a settings file. Line and Column count from 1; 0 where the file as a whole is meant.
type Problem struct {
	File         string
	Line, Column int
	Text         string // what is wrong, and what to write instead
}

func (p Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

// Problems are all faults found in one file.
type Problems []Problem

func (p Problems) Error() string {
	var lines []string
	for _, e := range p {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// Duration is a span written with its unit, such as 250ms, 1.5s or 2m.
type Duration struct {
	Seconds float64
	text    string
}

// S makes a Duration of seconds.
func S(seconds float64) Duration { return Duration{Seconds: seconds} }

// UnmarshalYAML keeps the text; Check reads it, where the line is known.
func (d *Duration) UnmarshalYAML(get func(any) error) error { return get(&d.text) }

// MarshalYAML writes the span as it would be read.
func (d Duration) MarshalYAML() (any, error) {
	return strconv.FormatFloat(d.Seconds, 'f', -1, 64) + "s", nil
}

func (d *Duration) read() string {
	for _, u := range []struct {
		unit string
		s    float64
	}{{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}} {
		if num, ok := strings.CutSuffix(d.text, u.unit); ok {
			if v, err := strconv.ParseFloat(num, 64); err == nil && v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v) {
				d.Seconds, d.text = v*u.s, ""
				return ""
			}
		}
	}
	return fmt.Sprintf("%q is not a span: write a number and its unit (us, ms, s, m, h), such as 250ms or 1.5s", d.text)
}

// Size is a number of bytes written with its unit, such as 300MB or 8MiB.
type Size struct {
	Bytes int64
	text  string
}

// B makes a Size of bytes.
func B(n int64) Size { return Size{Bytes: n} }

// MB is the size in megabytes (10^6).
func (z Size) MB() float64 { return float64(z.Bytes) / 1e6 }

// UnmarshalYAML keeps the text; Check reads it, where the line is known.
func (z *Size) UnmarshalYAML(get func(any) error) error { return get(&z.text) }

// MarshalYAML writes the size as it would be read.
func (z Size) MarshalYAML() (any, error) { return strconv.FormatInt(z.Bytes, 10) + "B", nil }

func (z *Size) read() string {
	for _, u := range []struct {
		unit string
		n    float64
	}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}} {
		if num, ok := strings.CutSuffix(z.text, u.unit); ok {
			if v, err := strconv.ParseFloat(strings.TrimSpace(num), 64); err == nil && v >= 0 && v*u.n < 1<<60 {
				z.Bytes, z.text = int64(v*u.n), ""
				return ""
			}
		}
	}
	return fmt.Sprintf("%q is not a size: write a number and its unit (B, kB, MB, GB, KiB, MiB, GiB), such as 300MB", z.text)
}

// Source is a parsed file, for telling where a setting stands.
type Source struct {
	file string
	body ast.Node
	out  Problems
}

// At reports a fault at a path such as $.groups[0].slo; the nearest parent that is written tells the line.
func (s *Source) At(path, format string, a ...any) {
	p := Problem{File: s.file, Text: fmt.Sprintf(format, a...)}
	for at := path; s.body != nil && len(at) > 1; at = parent(at) {
		if y, err := yaml.PathString(at); err == nil {
			if n, err := y.FilterNode(s.body); err == nil && n != nil {
				if t := n.GetToken(); t != nil {
					p.Line, p.Column = t.Position.Line, t.Position.Column
				}
				break
			}
		}
	}
	p.Text = strings.TrimPrefix(path, "$.") + ": " + p.Text
	s.out = append(s.out, p)
}

func parent(path string) string { return path[:max(1, strings.LastIndexAny(path, ".["))] }

// Problems are the faults found so far.
func (s *Source) Problems() Problems { return s.out }

// Decode reads YAML strictly into v, a pointer to a struct, then all spans and sizes in it; v holds the defaults before.
// The error is Problems. Checks of the values report to the Source by At.
func Decode(file string, text []byte, v any) (*Source, error) {
	s := &Source{file: file}
	tree, err := parser.ParseBytes(text, 0)
	if err == nil {
		if len(tree.Docs) > 1 {
			return s, Problems{{File: file, Text: "more than one document: write one"}}
		}
		if len(tree.Docs) == 1 {
			s.body = tree.Docs[0].Body
		}
		if s.body != nil {
			err = yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(v)
		}
	}
	if err != nil {
		p := Problem{File: file, Text: err.Error()}
		var at yaml.Error
		if errors.As(err, &at) {
			p.Text = at.GetMessage()
			if t := at.GetToken(); t != nil {
				p.Line, p.Column = t.Position.Line, t.Position.Column
			}
		}
		if from, to, ok := strings.Cut(strings.TrimPrefix(p.Text, "cannot unmarshal "), " into Go "); ok {
			to = to[strings.LastIndexByte(to, ' ')+1:]
			for kind, say := range map[string]string{"int": "a whole number", "float": "a number", "bool": "true or false", "[]": "a list", "uint": "a whole number"} {
				if strings.HasPrefix(to, kind) {
					to = say
				}
			}
			p.Text = fmt.Sprintf("a %s stands here: write %s", from, to)
		}
		if strings.HasPrefix(p.Text, "unknown field") {
			p.Text += ": there is no such setting here; docs/operators.md lists all"
		}
		return s, Problems{p}
	}
	s.spans("$", reflect.ValueOf(v).Elem())
	return s, nil
}

// spans reads every Duration and Size that is written.
func (s *Source) spans(path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		var why string
		switch x := v.Addr().Interface().(type) {
		case *Duration:
			if x.text != "" {
				why = x.read()
			}
		case *Size:
			if x.text != "" {
				why = x.read()
			}
		default:
			for i := range v.NumField() {
				if f := v.Type().Field(i); f.IsExported() {
					if name, _, _ := strings.Cut(f.Tag.Get("yaml"), ","); name != "" && name != "-" {
						s.spans(path+"."+name, v.Field(i))
					}
				}
			}
		}
		if why != "" {
			s.At(path, "%s", why)
		}
	case reflect.Slice:
		for i := range v.Len() {
			s.spans(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{{File: path, Text: err.Error()}}
	}
	return text, nil
}
