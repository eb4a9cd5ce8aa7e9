package decl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"arbutuswing.example/internal/model"
)

// shortKeyLength is the number of digits of a key's hash that are displayed; 12 hexadecimal digits distinguish keys.
const shortKeyLength = 12

// ShortKey abbreviates a key's hash for display.
func ShortKey(key model.KeyHash) string { return string(key[:min(len(key), shortKeyLength)]) }

// RenderDiff formats the difference between two sets for display, with one line per object or key: + marks an addition,
// - a removal and ~ a change, with the old and new values. It returns an empty string for equal sets.
func RenderDiff(old, new Set) string {
	old, new = old.Indexed(), new.Indexed()
	lines := slices.Concat(
		renderKind("organisation", old.Organisations, new.Organisations),
		renderKind("team", withoutKeys(old.Teams), withoutKeys(new.Teams)),
		renderKeys(old, new),
		renderKind("class", old.Classes, new.Classes),
		renderKind("data centre", old.DataCentres, new.DataCentres),
	)
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}

func withoutKeys(teams []Team) []Team {
	out := slices.Clone(teams)
	for i := range out {
		out[i].Keys = nil
	}
	return out
}

func renderKeys(old, new Set) []string {
	var lines []string
	for _, team := range new.Teams {
		before, _ := old.Team(team.Name)
		for _, change := range keysOnlyIn(team, before) {
			lines = append(lines, fmt.Sprintf("+ key %s of team %s", ShortKey(change.Key), change.Team))
		}
	}
	for _, team := range old.Teams {
		after, _ := new.Team(team.Name)
		for _, change := range keysOnlyIn(team, after) {
			lines = append(lines, fmt.Sprintf("- key %s of team %s", ShortKey(change.Key), change.Team))
		}
	}
	return lines
}

func renderKind[N ~string, T named[N]](what string, old, new []T) []string {
	var lines []string
	before, after := indexByName(old), indexByName(new)
	for _, object := range new {
		i, known := before[object.name()]
		if !known {
			lines = append(lines,
				strings.TrimSuffix(fmt.Sprintf("+ %s %s: %s", what, object.name(), formatValues(object)), ": "))
			continue
		}
		if changes := formatChanges(old[i], object); len(changes) > 0 {
			lines = append(lines, fmt.Sprintf("~ %s %s: %s", what, object.name(), strings.Join(changes, ", ")))
		}
	}
	for _, object := range old {
		if _, kept := after[object.name()]; !kept {
			lines = append(lines, fmt.Sprintf("- %s %s", what, object.name()))
		}
	}
	return lines
}

func formatValues(object any) string {
	flat := flatten(object)
	parts := make([]string, 0, len(flat))
	for _, path := range slices.Sorted(maps.Keys(flat)) {
		parts = append(parts, path+" "+flat[path])
	}
	return strings.Join(parts, ", ")
}

func formatChanges(old, new any) []string {
	before, after := flatten(old), flatten(new)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var out []string
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		from, to := before[path], after[path]
		switch {
		case from == to:
		case from == "":
			out = append(out, fmt.Sprintf("%s set to %s", path, to))
		case to == "":
			out = append(out, fmt.Sprintf("%s no longer %s", path, from))
		default:
			out = append(out, fmt.Sprintf("%s %s -> %s", path, from, to))
		}
	}
	return out
}

// flatten maps the path of each value in an object to the value's JSON text, without the object's name.
func flatten(object any) map[string]string {
	out := make(map[string]string)
	data, err := json.Marshal(object)
	if err != nil {
		return out
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return out
	}
	delete(tree, "name")
	flattenInto(out, "", tree)
	return out
}

func flattenInto(out map[string]string, path string, value any) {
	inner, ok := value.(map[string]any)
	if !ok {
		text, _ := json.Marshal(value)
		out[path] = strings.Trim(string(text), `"`)
		return
	}
	for key, item := range inner {
		if path == "" {
			flattenInto(out, key, item)
		} else {
			flattenInto(out, path+"."+key, item)
		}
	}
}
