package config

import (
	"fmt"
	"strings"
)

// Problem is an error in a settings file. Line and Column count from 1; both are 0 if the problem has no position in
// the file.
type Problem struct {
	File         string
	Line, Column int
	Text         string // what is wrong, and what to write instead
}

// Error returns the position and the text in the form FILE:LINE:COLUMN: TEXT.
func (p Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

// Problems holds all problems found in one file.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
