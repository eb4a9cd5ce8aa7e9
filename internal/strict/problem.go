package strict

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document with its place.
type Problem struct {
	File string `json:"file,omitempty"`
	// Line and Column count from 1, Column in characters; both are zero when the document's text is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path names the object, such as teams[3].limit.tasks; it is empty for the whole document.
	Path string `json:"path,omitempty"`
	Text string `json:"text"`
}

// Error formats the fault as file:line:column: path: text, without the parts that are unknown.
func (f Problem) Error() string {
	parts := make([]string, 0, 3)
	switch {
	case f.File != "" && f.Line > 0:
		parts = append(parts, fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column))
	case f.File != "":
		parts = append(parts, f.File)
	}
	if f.Path != "" {
		parts = append(parts, f.Path)
	}
	return strings.Join(append(parts, f.Text), ": ")
}

// Problems is the error for one or more faults.
type Problems []Problem

// Error formats one fault per line.
func (f Problems) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil when there are none.
func (f Problems) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
