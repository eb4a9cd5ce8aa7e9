package strict

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Document is a decoded document. It keeps the text, so that problems found later can be located in it.
type Document struct {
	file string
	data []byte
	root *node
}

// Decode decodes data into the value that into points to; file is the file name that appears in problems. The error is of type
// Problems and holds all problems found. The document is also returned with an error, unless data is not valid JSON.
func Decode(file string, data []byte, into any) (*Document, error) {
	doc := &Document{file: file, data: data}
	root, offset, text := parse(data)
	if root == nil {
		return nil, Problems{doc.problem(offset, "", text)}
	}
	doc.root = root
	d := &decoder{doc: doc}
	d.decodeValue(root, "", reflect.ValueOf(into).Elem())
	return doc, d.problems.Err()
}

// Problem returns a problem at the value with this path, or at the nearest enclosing value if the document has no such value.
func (d *Document) Problem(path, text string) Problem {
	at := d.root
	for _, step := range splitPath(path) {
		next := at.child(step)
		if next == nil {
			break
		}
		at = next
	}
	return d.problem(at.start, path, text)
}

func (d *Document) problem(offset int, path, text string) Problem {
	line, column := lineAndColumn(d.data, offset)
	return Problem{File: d.file, Line: line, Column: column, Path: path, Text: text}
}

// splitPath splits a path such as teams[3].limit into teams, [3] and limit.
func splitPath(path string) []string {
	return strings.FieldsFunc(strings.ReplaceAll(path, "[", ".["), func(r rune) bool { return r == '.' })
}

func (n *node) child(step string) *node {
	if !strings.HasPrefix(step, "[") {
		return n.member(step)
	}
	index, err := strconv.Atoi(strings.Trim(step, "[]"))
	if err != nil || index < 0 || index >= len(n.items) {
		return nil
	}
	return n.items[index]
}

// decoder decodes the nodes of a document into Go values and collects the problems.
type decoder struct {
	doc      *Document
	problems Problems
}

func (d *decoder) addProblem(offset int, path, format string, args ...any) {
	d.problems = append(d.problems, d.doc.problem(offset, path, fmt.Sprintf(format, args...)))
}

func (d *decoder) decodeValue(n *node, path string, v reflect.Value) {
	if n.kind == null {
		d.addProblem(n.start, path, "must not be null")
		return
	}
	if hasUnmarshaler(v) {
		if err := json.Unmarshal(d.doc.data[n.start:n.end], v.Addr().Interface()); err != nil {
			d.addProblem(n.start, path, "%s", err)
		}
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(n, path, v.Elem())
	case reflect.Struct:
		d.decodeObject(n, path, v)
	case reflect.Slice:
		d.decodeList(n, path, v)
	default:
		if err := json.Unmarshal(d.doc.data[n.start:n.end], v.Addr().Interface()); err != nil {
			d.addProblem(n.start, path, "must be %s", expectedKind(v.Kind()))
		}
	}
}

// hasUnmarshaler reports whether the type of v implements its own decoding.
func hasUnmarshaler(v reflect.Value) bool {
	switch v.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	default:
		return false
	}
}

func (d *decoder) decodeObject(n *node, path string, v reflect.Value) {
	if n.kind != object {
		d.addProblem(n.start, path, "must be an object")
		return
	}
	fields, seen := fieldsOf(v.Type()), make(map[string]bool)
	for _, m := range n.members {
		inner := joinPath(path, m.name)
		index, known := fields[m.name]
		switch {
		case !known:
			d.addProblem(m.start, path, "unknown key %q", m.name)
		case seen[m.name]:
			d.addProblem(m.start, path, "repeated key %q", m.name)
		default:
			d.decodeValue(m.value, inner, v.FieldByIndex(index))
		}
		seen[m.name] = true
	}
}

func (d *decoder) decodeList(n *node, path string, v reflect.Value) {
	if n.kind != array {
		d.addProblem(n.start, path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.decodeValue(item, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}

// fieldsOf maps the JSON keys of a struct to its fields. Keys are case-sensitive, unlike in encoding/json.
func fieldsOf(t reflect.Type) map[string][]int {
	fields := make(map[string][]int)
	for _, field := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name != "" && name != "-" && field.IsExported() {
			fields[name] = field.Index
		}
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// expectedKind describes the JSON values that can be decoded into a Go kind.
func expectedKind(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
