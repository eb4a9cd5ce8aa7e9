package strict

import (
	"fmt"
	"strings"
)

// Problem is what is wrong in a document, with its place.
type Problem struct {
	File string `json:"file,omitempty"`
	// Line and Column are counted from 1, Column in characters; both are 0 if the document's text is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the path of the value, such as teams[3].limit.tasks; it is empty for the whole document.
	Path string `json:"path,omitempty"`
	Text string `json:"text"`
}

// Error formats the problem as file:line:column: path: text, without the parts that are unknown.
func (p Problem) Error() string {
	parts := make([]string, 0, 3)
	switch {
	case p.File != "" && p.Line > 0:
		parts = append(parts, fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column))
	case p.File != "":
		parts = append(parts, p.File)
	}
	if p.Path != "" {
		parts = append(parts, p.Path)
	}
	return strings.Join(append(parts, p.Text), ": ")
}

// Problems is an error that holds one or more problems.
type Problems []Problem

// Error formats one problem per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
