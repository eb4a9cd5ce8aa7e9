package strict

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Document keeps the text of a decoded document, so that faults found later can be located in it.
type Document struct {
	file string
	data []byte
	root *node
}

// Decode decodes data into the value that into points to; the error is a Faults that holds every fault found. The
// document is returned even then, unless data is no JSON.
func Decode(file string, data []byte, into any) (*Document, error) {
	doc := &Document{file: file, data: data}
	root, offset, text := parse(data)
	if root == nil {
		return nil, Problems{doc.fault(offset, "", text)}
	}
	doc.root = root
	d := &decoder{doc: doc}
	d.value(root, "", reflect.ValueOf(into).Elem())
	return doc, d.faults.Err()
}

// Problem returns a fault at the value that path names, or at the nearest enclosing value that the document has.
func (d *Document) Problem(path, text string) Problem {
	at := d.root
	for _, step := range steps(path) {
		next := at.step(step)
		if next == nil {
			break
		}
		at = next
	}
	return d.fault(at.start, path, text)
}

func (d *Document) fault(offset int, path, text string) Problem {
	line, column := place(d.data, offset)
	return Problem{File: d.file, Line: line, Column: column, Path: path, Text: text}
}

// steps splits a path such as teams[3].limit into teams, [3] and limit.
func steps(path string) []string {
	return strings.FieldsFunc(strings.ReplaceAll(path, "[", ".["), func(r rune) bool { return r == '.' })
}

func (n *node) step(step string) *node {
	if !strings.HasPrefix(step, "[") {
		return n.member(step)
	}
	index, err := strconv.Atoi(strings.Trim(step, "[]"))
	if err != nil || index >= len(n.items) {
		return nil
	}
	return n.items[index]
}

type decoder struct {
	doc    *Document
	faults Problems
}

func (d *decoder) fail(offset int, path, format string, args ...any) {
	d.faults = append(d.faults, d.doc.fault(offset, path, fmt.Sprintf(format, args...)))
}

func (d *decoder) value(n *node, path string, v reflect.Value) {
	if n.kind == null {
		d.fail(n.start, path, "must not be null")
		return
	}
	if decodesItself(v) {
		if err := json.Unmarshal(d.doc.data[n.start:n.end], v.Addr().Interface()); err != nil {
			d.fail(n.start, path, "%s", err)
		}
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.value(n, path, v.Elem())
	case reflect.Struct:
		d.object(n, path, v)
	case reflect.Slice:
		d.list(n, path, v)
	default:
		if err := json.Unmarshal(d.doc.data[n.start:n.end], v.Addr().Interface()); err != nil {
			d.fail(n.start, path, "must be %s", wanted(v.Kind()))
		}
	}
}

func decodesItself(v reflect.Value) bool {
	switch v.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	default:
		return false
	}
}

func (d *decoder) object(n *node, path string, v reflect.Value) {
	if n.kind != object {
		d.fail(n.start, path, "must be an object")
		return
	}
	fields, seen := fieldsOf(v.Type()), make(map[string]bool)
	for _, m := range n.members {
		inner := join(path, m.name)
		index, known := fields[m.name]
		switch {
		case !known:
			d.fail(m.start, path, "unknown key %q", m.name)
		case seen[m.name]:
			d.fail(m.start, path, "repeated key %q", m.name)
		default:
			d.value(m.value, inner, v.FieldByIndex(index))
		}
		seen[m.name] = true
	}
}

func (d *decoder) list(n *node, path string, v reflect.Value) {
	if n.kind != array {
		d.fail(n.start, path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.value(item, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}

// fieldsOf maps the JSON keys of a struct to its fields; keys match exactly, unlike in encoding/json.
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func wanted(k reflect.Kind) string {
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
