package decl

import (
	_ "embed"

	"arbutuswing.example/internal/schema"
)

//go:embed types.go
var typesSource string

func source() schema.Source {
	return schema.Source{Package: "arbutuswing.example/internal/decl", Text: typesSource}
}

// Schema returns the JSON schema of a set of declarations, generated from the structs.
func Schema() []byte { return schema.Build("Declarations", Set{}, source()) }

// PatchSchema returns the JSON schema of a change to declarations.
func PatchSchema() []byte { return schema.Build("Change", Patch{}, source()) }
