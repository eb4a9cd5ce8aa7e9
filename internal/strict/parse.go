package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"unicode/utf8"
)

// node is one JSON value with its place in the document.
type node struct {
	start, end int
	kind       kind
	members    []member
	items      []*node
}

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

// treeBuilder builds nodes from the tokens of a document that is known to be well formed.
type treeBuilder struct {
	data    []byte
	decoder *json.Decoder
}

// parse returns the tree of data, or the offset of the first syntax error and its text.
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
		// The offset counts the bytes read, so the offending byte is the one before it.
		return min(int(syntax.Offset)-1, size)
	}
	return 0
}

func syntaxText(err error) string {
	return "not JSON: " + strings.TrimPrefix(err.Error(), "json: ")
}

// next returns the next token and where it starts; separators before it are skipped.
func (r *treeBuilder) next() (json.Token, int) {
	start := int(r.decoder.InputOffset())
	for start < len(r.data) && strings.IndexByte(" \t\r\n,:", r.data[start]) >= 0 {
		start++
	}
	// The document was checked before, so that no token can fail.
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

// lineAndColumn converts a byte offset into line and column, both from 1.
func lineAndColumn(data []byte, offset int) (int, int) {
	before := data[:min(offset, len(data))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
	return line, column
}
