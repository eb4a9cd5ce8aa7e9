package schema

import (
	"encoding/json"
	"strings"

	"github.com/invopop/jsonschema"
)

// setDefaults sets the defaults of the schema to the values in value, a struct; empty strings set no default.
func setDefaults(root *jsonschema.Schema, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return err
	}
	copyDefaults(root, root, tree)
	return nil
}

// copyDefaults sets the defaults of part, a schema within root, from the JSON object tree.
func copyDefaults(root, part *jsonschema.Schema, tree map[string]any) {
	for pair := part.Properties.Oldest(); pair != nil; pair = pair.Next() {
		value, ok := tree[pair.Key]
		if !ok || value == "" {
			continue
		}
		inner, nested := value.(map[string]any)
		if !nested {
			pair.Value.Default = value
			continue
		}
		if definition := root.Definitions[strings.TrimPrefix(pair.Value.Ref, refPrefix)]; definition != nil {
			copyDefaults(root, definition, inner)
		}
	}
}
