package schema

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/invopop/jsonschema"
)

const refPrefix = "#/$defs/"

// Markdown renders schemas returned by Build as a reference page. Each schema has a section, with a table for each object
// type that earlier sections don't describe. It returns an error if a text is not a JSON schema.
func Markdown(texts ...[]byte) (string, error) {
	p := &page{shown: make(map[string]bool)}
	for _, text := range texts {
		p.root, p.pending = &jsonschema.Schema{}, nil
		if err := json.Unmarshal(text, p.root); err != nil {
			return "", fmt.Errorf("reading a schema: %w", err)
		}
		p.writeSection("## "+p.root.Title, p.root)
		for i := 0; i < len(p.pending); i++ {
			name := p.pending[i]
			p.writeSection("### "+name, p.root.Definitions[name])
		}
	}
	return p.text.String(), nil
}

type page struct {
	root *jsonschema.Schema
	text strings.Builder
	// pending lists the schema's definitions to be written, in the order of their first reference. shown marks those that
	// are pending or written, in any schema.
	pending []string
	shown   map[string]bool
}

func (p *page) writeSection(heading string, part *jsonschema.Schema) {
	fmt.Fprintf(&p.text, "%s\n\n", heading)
	if part.Description != "" {
		fmt.Fprintf(&p.text, "%s\n\n", escape(part.Description))
	}
	p.text.WriteString("| key | type | default | meaning |\n|---|---|---|---|\n")
	for pair := part.Properties.Oldest(); pair != nil; pair = pair.Next() {
		key := "`" + pair.Key + "`"
		if slices.Contains(part.Required, pair.Key) {
			key += " (required)"
		}
		fmt.Fprintf(&p.text, "| %s | %s | %s | %s |\n", key, p.typeText(pair.Value), defaultText(pair.Value),
			p.description(pair.Value))
	}
	p.text.WriteString("\n")
}

func (p *page) typeText(s *jsonschema.Schema) string {
	switch {
	case s.Ref != "":
		name := strings.TrimPrefix(s.Ref, refPrefix)
		if !p.shown[name] {
			p.shown[name] = true
			p.pending = append(p.pending, name)
		}
		return "[" + name + "](#" + strings.ToLower(name) + ")"
	case s.Type == "array":
		return "list of " + p.typeText(s.Items)
	case len(s.Enum) > 0:
		return joinValues(s.Enum)
	case s.Format == "duration":
		return "duration, such as `250ms`"
	case s.Pattern == hashPattern:
		return "SHA-256 in hexadecimal"
	case s.Type == "string":
		return "text"
	default:
		return s.Type
	}
}

func (p *page) description(s *jsonschema.Schema) string {
	if s.Description == "" && s.Ref != "" {
		return escape(p.root.Definitions[strings.TrimPrefix(s.Ref, refPrefix)].Description)
	}
	return escape(s.Description)
}

func joinValues(values []any) string {
	out := make([]string, len(values))
	for i, value := range values {
		out[i] = fmt.Sprintf("`%v`", value)
	}
	return strings.Join(out, ", ")
}

func defaultText(s *jsonschema.Schema) string {
	if s.Default == nil {
		return ""
	}
	text, err := json.Marshal(s.Default)
	if err != nil {
		return ""
	}
	return "`" + strings.Trim(string(text), `"`) + "`"
}

// escape escapes the characters that would end a table cell.
func escape(text string) string { return strings.ReplaceAll(text, "|", `\|`) }
