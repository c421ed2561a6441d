package config

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file. Line and Column count from 1; they are 0 if the file as a whole is at fault.
type Problem struct {
	File         string
	Line, Column int
	Text         string // what is wrong, and what to write instead
}

// Error returns the position and the text, in the form FILE:LINE:COLUMN: TEXT.
func (p Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

// Problems are all faults found in one file.
type Problems []Problem

// Error returns the problems, a line each.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
