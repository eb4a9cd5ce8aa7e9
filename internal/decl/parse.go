package decl

import (
	"fmt"

	"arbutuswing.example/internal/strict"
)

// JSON keys of the lists of objects, as used in files and in paths of problems.
const (
	organisationsKey = "organisations"
	teamsKey         = "teams"
	classesKey       = "classes"
	dataCentresKey   = "data-centres"
)

// ParseSet decodes the declarations in a file. It rejects unknown keys; the error is a strict.Problems with the place of
// each problem. The declarations themselves are not validated; use Check.
func ParseSet(file string, data []byte) (Set, error) {
	var set Set
	document, err := strict.Decode(file, data, &set)
	if err != nil {
		return Set{}, err
	}
	return set.withOrigins(set.originsIn(document, "")), nil
}

// ParsePatch decodes a change to declarations; its errors are those of ParseSet.
func ParsePatch(file string, data []byte) (Patch, error) {
	var patch Patch
	document, err := strict.Decode(file, data, &patch)
	if err != nil {
		return Patch{}, err
	}
	patch.Put = patch.Put.withOrigins(patch.Put.originsIn(document, "put."))
	return patch, nil
}

// originsIn maps the paths of the set's objects to their places in document, where prefix precedes each path.
func (s Set) originsIn(document *strict.Document, prefix string) map[string]origin {
	origins := map[string]origin{"": {document: document}}
	for _, kind := range s.countsByKind() {
		for i := range kind.count {
			path := fmt.Sprintf("%s[%d]", kind.key, i)
			origins[path] = origin{document: document, path: prefix + path}
		}
	}
	return origins
}

// kindCount holds the JSON key of a list of objects and the number of objects in it.
type kindCount struct {
	key   string
	count int
}

func (s Set) countsByKind() []kindCount {
	return []kindCount{
		{organisationsKey, len(s.Organisations)},
		{teamsKey, len(s.Teams)},
		{classesKey, len(s.Classes)},
		{dataCentresKey, len(s.DataCentres)},
	}
}

// Merge joins sets, for example those in the files of a directory. Problems of the merged set refer to the objects'
// places in their own files.
func Merge(sets ...Set) Set {
	var merged Set
	origins := make(map[string]origin)
	for _, set := range sets {
		before := merged.countsByKind()
		for i, kind := range set.countsByKind() {
			for n := range kind.count {
				place, ok := set.lookupIndex().origins[fmt.Sprintf("%s[%d]", kind.key, n)]
				if ok {
					origins[fmt.Sprintf("%s[%d]", kind.key, before[i].count+n)] = place
				}
			}
		}
		merged.Organisations = append(merged.Organisations, set.Organisations...)
		merged.Teams = append(merged.Teams, set.Teams...)
		merged.Classes = append(merged.Classes, set.Classes...)
		merged.DataCentres = append(merged.DataCentres, set.DataCentres...)
	}
	if len(sets) > 0 {
		if first, ok := sets[0].lookupIndex().origins[""]; ok {
			origins[""] = first
		}
	}
	return merged.withOrigins(origins)
}

// problemAt returns a problem of the object at path, with its place if known; rest is the path within the object.
func (s Set) problemAt(path, rest, text string) Problem {
	if place, ok := s.lookupIndex().origins[path]; ok && place.document != nil {
		return place.document.Problem(place.path+rest, text)
	}
	return Problem{Path: path + rest, Text: text}
}
