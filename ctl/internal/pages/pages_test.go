package pages_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/ctl/internal/pages"
)

// Guards against a reference page that does not match the structs; "aw-ctl schema --markdown" regenerates it.
func TestCommittedPageIsCurrent(t *testing.T) {
	committed, err := os.ReadFile("../../../docs/configuration.md")
	assert.NilError(t, err)
	generated, err := pages.Configuration()
	assert.NilError(t, err)
	assert.Equal(t, string(committed), generated)
}
