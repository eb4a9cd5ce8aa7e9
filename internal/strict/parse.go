package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"unicode/utf8"
)

// node is a JSON value with the byte offsets of its start and end in the document.
type node struct {
	start, end int
	kind       kind
	members    []member
	items      []*node
}

// member is a key of a JSON object with its value; start is the byte offset of the key.
type member struct {
	name  string
	start int
	value *node
}

type kind int

const (
	scalar kind = iota
	object
	array
	null
)

func (n *node) member(name string) *node {
	for _, m := range n.members {
		if m.name == name {
			return m.value
		}
	}
	return nil
}

// treeBuilder builds the nodes of a document that is known to be valid JSON.
type treeBuilder struct {
	data    []byte
	decoder *json.Decoder
}

// parse returns the root node of data, or the byte offset and the text of the first syntax error.
func parse(data []byte) (*node, int, string) {
	var probe json.RawMessage
	if err := json.Unmarshal(data, &probe); err != nil {
		return nil, syntaxOffset(err, len(data)), syntaxText(err)
	}
	r := &treeBuilder{data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	r.decoder.UseNumber()
	return r.buildValue(), 0, ""
}

func syntaxOffset(err error, size int) int {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && syntax.Offset > 0 {
		// The error's offset is the number of bytes read, including the offending byte.
		return min(int(syntax.Offset)-1, size)
	}
	return 0
}

func syntaxText(err error) string {
	return "not JSON: " + strings.TrimPrefix(err.Error(), "json: ")
}

// next returns the next token and its byte offset, after skipping white space and separators.
func (r *treeBuilder) next() (json.Token, int) {
	start := int(r.decoder.InputOffset())
	for start < len(r.data) && strings.IndexByte(" \t\r\n,:", r.data[start]) >= 0 {
		start++
	}
	// The document is known to be valid JSON, so there can be no error.
	token, _ := r.decoder.Token()
	return token, start
}

func (r *treeBuilder) buildValue() *node {
	token, start := r.next()
	n := &node{start: start}
	switch token {
	case json.Delim('{'):
		n.kind = object
		for r.decoder.More() {
			name, at := r.next()
			text, _ := name.(string)
			n.members = append(n.members, member{name: text, start: at, value: r.buildValue()})
		}
		r.next()
	case json.Delim('['):
		n.kind = array
		for r.decoder.More() {
			n.items = append(n.items, r.buildValue())
		}
		r.next()
	case nil:
		n.kind = null
	}
	n.end = int(r.decoder.InputOffset())
	return n
}

// lineAndColumn converts a byte offset into a line and a column in characters, both counted from 1.
func lineAndColumn(data []byte, offset int) (int, int) {
	before := data[:min(offset, len(data))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
	return line, column
}
