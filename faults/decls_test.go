package faults

import "path/filepath"

func (c *cluster) writeDeclarations(folder string, set map[string]any) string {
	c.t.Helper()
	return filepath.Dir(c.write(filepath.Join(folder, "declarations.json"), encode(c.t, set)))
}

// declarations returns the declarations that the tests use. limit is the limit of team pricing in tasks, or 0 for none.
func declarations(limit int, moreClasses ...string) map[string]any {
	const fixed = 3
	classes := make([]any, 0, fixed+len(moreClasses))
	classes = append(classes,
		map[string]any{"name": quoteClass, "target": map[string]any{"answered-within": "2s"}},
		map[string]any{"name": openClass, "open": true},
		map[string]any{"name": batchClass},
	)
	for _, name := range moreClasses {
		classes = append(classes, map[string]any{"name": name})
	}
	centres := make([]any, 0, len(dataCentres))
	for _, dc := range dataCentres {
		centres = append(centres, map[string]any{"name": dc, "region": "west"})
	}
	pricing := map[string]any{
		"name": "pricing", "organisation": "harbour", "share": 1, "keys": []string{hashKey(pricingKey)},
	}
	if limit > 0 {
		pricing["limit"] = map[string]any{"tasks": limit}
	}
	return map[string]any{
		"classes": classes, "data-centres": centres,
		"organisations": []any{
			map[string]any{"name": "harbour", "approval-key": hashKey(harbourKey)},
			map[string]any{"name": "orchard", "approval-key": hashKey("orchard-approval")},
		},
		"teams": []any{pricing, map[string]any{
			"name": "research", "organisation": "orchard", "share": 1, "keys": []string{hashKey(researchKey)},
		}},
	}
}
