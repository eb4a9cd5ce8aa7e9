package schema

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"github.com/invopop/jsonschema"

	"arbutuswing.example/internal/model"
)

// Source is the Go source of structs, whose doc comments become the descriptions in the schema.
type Source struct {
	// Package is the import path.
	Package string
	// Text is the source file's contents.
	Text string
}

// Build returns the indented JSON schema of value's type with the given title. The values in value become the defaults.
// Build panics if a source is not a Go file, which can't happen with embedded sources of compiled packages.
func Build(title string, value any, sources ...Source) []byte {
	comments := modelComments()
	for _, source := range sources {
		if err := readComments(source, comments); err != nil {
			panic(fmt.Errorf("reading comments of %s: %w", source.Package, err))
		}
	}
	reflector := &jsonschema.Reflector{
		Anonymous: true, ExpandedStruct: true, RequiredFromJSONSchemaTags: true, CommentMap: comments, Mapper: mapType,
	}
	built := reflector.Reflect(value)
	built.Title = title
	if err := setDefaults(built, value); err != nil {
		panic(fmt.Errorf("reading the defaults of %s: %w", title, err))
	}
	text, err := json.MarshalIndent(built, "", "  ")
	if err != nil {
		panic(fmt.Errorf("encoding the schema of %s: %w", title, err))
	}
	return append(text, '\n')
}

const hashPattern = "^[0-9a-f]{64}$"

// mapType returns the schema of types whose JSON form differs from their Go kind or has a fixed syntax, else nil.
func mapType(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[model.Duration]():
		return &jsonschema.Schema{Type: "string", Format: "duration", Examples: []any{"250ms", "1m30s"}}
	case reflect.TypeFor[model.KeyHash]():
		return &jsonschema.Schema{Type: "string", Pattern: hashPattern}
	default:
		return nil
	}
}

// modelComments returns the descriptions of value types of package model, whose source is not embedded.
func modelComments() map[string]string {
	const resources = "arbutuswing.example/internal/model.Resources"
	return map[string]string{
		resources:                   "Resources is an amount of processors, memory and accelerators.",
		resources + ".Cores":        "Processors in thousandths.",
		resources + ".Memory":       "Memory in MiB.",
		resources + ".Accelerators": "Number of accelerators.",
	}
}

func readComments(source Source, into map[string]string) error {
	file, err := parser.ParseFile(token.NewFileSet(), "source.go", source.Text, parser.ParseComments)
	if err != nil {
		return err
	}
	for _, declaration := range file.Decls {
		group, ok := declaration.(*ast.GenDecl)
		if !ok || group.Tok != token.TYPE {
			continue
		}
		for _, spec := range group.Specs {
			if named, ok := spec.(*ast.TypeSpec); ok {
				readType(source.Package+"."+named.Name.Name, group, named, into)
			}
		}
	}
	return nil
}

func readType(name string, group *ast.GenDecl, spec *ast.TypeSpec, into map[string]string) {
	into[name] = singleLine(group.Doc)
	structure, ok := spec.Type.(*ast.StructType)
	if !ok {
		return
	}
	for _, field := range structure.Fields.List {
		for _, ident := range field.Names {
			if text := singleLine(field.Doc); text != "" {
				into[name+"."+ident.Name] = withoutName(text, ident.Name)
			}
		}
	}
}

func singleLine(doc *ast.CommentGroup) string {
	if doc == nil {
		return ""
	}
	return strings.Join(strings.Fields(doc.Text()), " ")
}

// withoutName removes the Go name at the start of a doc comment, because the schema uses the JSON names.
func withoutName(text, name string) string {
	rest, found := strings.CutPrefix(text, name+" ")
	if !found {
		return text
	}
	rest = strings.TrimPrefix(strings.TrimPrefix(rest, "is "), "are ")
	return strings.ToUpper(rest[:1]) + rest[1:]
}
