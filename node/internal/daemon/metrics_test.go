package daemon

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var metricName = regexp.MustCompile(`\baw_[a-z_]+`)

// namesIn returns the metric names in a text, sorted and without duplicates.
func namesIn(text string) []string {
	names := metricName.FindAllString(text, -1)
	slices.Sort(names)
	return slices.Compact(names)
}

// TestMetricsPage guards against metrics that the page for operators doesn't describe, and against descriptions of metrics
// that the node doesn't serve.
func TestMetricsPage(t *testing.T) {
	const root = "../../.."
	var sources strings.Builder
	for _, folder := range []string{"internal/accept", "internal/owner", "internal/agent", "internal/ledger", "internal/intake", "node", "platform"} {
		assert.NilError(t, filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			sources.Write(data)
			return err
		}))
	}
	page, err := os.ReadFile(filepath.Join(root, "docs/OPERATIONS.md"))
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), "### Metrics of a node")
	assert.Assert(t, found)
	section, _, _ = strings.Cut(section, "\n### ")
	assert.DeepEqual(t, namesIn(section), namesIn(sources.String()))
}
