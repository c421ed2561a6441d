package config

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Source is a parsed YAML file that collects the problems found in it, each with its line and column. It is not safe
// for concurrent use.
type Source struct {
	file     string
	root     ast.Node // nil if the file is empty
	problems Problems
}

// Decode strictly parses YAML into target, a pointer to a struct that holds the defaults. Its durations and sizes are
// parsed after all other values. An error is of type Problems: the text is not valid YAML or does not match target.
// A duration or size that cannot be parsed is not an error; it is added to the problems of the Source, as are those of
// later checks. file is used in messages only.
func Decode(file string, text []byte, target any) (*Source, error) {
	s := &Source{file: file}
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return s, s.decodeProblems(err)
	}
	if len(tree.Docs) > 1 {
		return s, Problems{{File: file, Text: "more than one document: write one"}}
	}
	if len(tree.Docs) == 1 {
		s.root = tree.Docs[0].Body
	}
	if s.root != nil {
		err = yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(target)
		if err != nil {
			return s, s.decodeProblems(err)
		}
	}
	s.parseQuantities("$", reflect.ValueOf(target).Elem())
	return s, nil
}

// AddProblem reports a problem of the setting at path, such as $.groups[0].slo. If the file does not contain the
// setting, the position is that of its nearest ancestor in the file.
func (s *Source) AddProblem(path, format string, args ...any) {
	problem := Problem{File: s.file, Text: strings.TrimPrefix(path, "$.") + ": " + fmt.Sprintf(format, args...)}
	problem.Line, problem.Column = s.position(path)
	s.problems = append(s.problems, problem)
}

// position returns the line and column of the node at path, or of its nearest ancestor in the file, or zeros if there
// is none.
func (s *Source) position(path string) (line, column int) {
	if s.root == nil {
		return 0, 0
	}
	for ; len(path) > 1; path = parentPath(path) {
		node := s.node(path)
		if node == nil {
			continue
		}
		if token := node.GetToken(); token != nil {
			return token.Position.Line, token.Position.Column
		}
		return 0, 0
	}
	return 0, 0
}

// node returns the node at path, or nil if there is none.
func (s *Source) node(path string) ast.Node {
	query, err := yaml.PathString(path)
	if err != nil {
		return nil
	}
	node, err := query.FilterNode(s.root)
	if err != nil {
		return nil
	}
	return node
}

func parentPath(path string) string { return path[:max(1, strings.LastIndexAny(path, ".["))] }

// Problems returns the problems reported so far.
func (s *Source) Problems() Problems { return s.problems }

// err returns the problems reported so far, or nil if there are none.
func (s *Source) err() error {
	if len(s.problems) == 0 {
		return nil
	}
	return s.problems
}

// decodeProblems converts an error of the parser or decoder to a problem with its position, in terms of settings
// instead of Go types.
func (s *Source) decodeProblems(err error) Problems {
	problem := Problem{File: s.file, Text: err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		problem.Text = yamlErr.GetMessage()
		if token := yamlErr.GetToken(); token != nil {
			problem.Line = token.Position.Line
			problem.Column = token.Position.Column
		}
	}
	problem.Text = explainTypeMismatch(problem.Text)
	if strings.HasPrefix(problem.Text, "unknown field") {
		problem.Text += ": there is no such setting here; docs/operators.md lists all"
	}
	return Problems{problem}
}

// typeDescriptions holds the descriptions of types in messages, by the prefix of the Go type's name.
var typeDescriptions = []struct{ prefix, description string }{
	{"int", "a whole number"},
	{"uint", "a whole number"},
	{"float", "a number"},
	{"bool", "true or false"},
	{"[]", "a list"},
}

// explainTypeMismatch rewords the decoder's "cannot unmarshal X into Go ... of type Y". It returns other messages
// unchanged.
func explainTypeMismatch(message string) string {
	found, wanted, isMismatch := strings.Cut(strings.TrimPrefix(message, "cannot unmarshal "), " into Go ")
	if !isMismatch {
		return message
	}
	wanted = wanted[strings.LastIndexByte(wanted, ' ')+1:]
	for _, t := range typeDescriptions {
		if strings.HasPrefix(wanted, t.prefix) {
			wanted = t.description
			break
		}
	}
	return fmt.Sprintf("a %s stands here: write %s", found, wanted)
}

// parseQuantities parses every Duration and Size below path that the file sets, and reports those that cannot be
// parsed.
func (s *Source) parseQuantities(path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		switch quantity := v.Addr().Interface().(type) {
		case *Duration:
			if quantity.text != "" {
				s.reportError(path, quantity.parse())
			}
		case *Size:
			if quantity.text != "" {
				s.reportError(path, quantity.parse())
			}
		default:
			s.parseFieldQuantities(path, v)
		}
	case reflect.Slice:
		for i := range v.Len() {
			s.parseQuantities(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}

func (s *Source) parseFieldQuantities(path string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if field.IsExported() && key != "" && key != "-" {
			s.parseQuantities(path+"."+key, v.Field(i))
		}
	}
}

// reportError reports err as a problem at path. It does nothing if err is nil.
func (s *Source) reportError(path string, err error) {
	if err != nil {
		s.AddProblem(path, "%s", err)
	}
}
