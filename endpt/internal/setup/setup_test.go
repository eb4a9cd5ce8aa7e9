package setup

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/config"
)

// TestExample guards against an example file that the program rejects, and against defaults that are not applied.
func TestExample(t *testing.T) {
	settings, err := config.Load[Settings]("../../../examples/settings/endpt.json")
	assert.NilError(t, err)
	for _, spec := range settings.Specs() {
		assert.Equal(t, spec.Slots, 8)
		assert.Equal(t, spec.Connections, 60)
	}
}

// TestInvalidSettings guards against accepting settings that can't work.
func TestInvalidSettings(t *testing.T) {
	const group = `{"prefix":"e","class":"c","count":1,"data-centre":"a","first-port":9}`
	tests := []struct{ name, text, want string }{
		{"unknown key", `{"listen":"127.0.0.1:1","groups":[` + group + `],"slots":2}`, "slots"},
		{"no groups", `{"listen":"127.0.0.1:1"}`, "groups"},
		{"same port twice", `{"listen":"127.0.0.1:1","groups":[` + group + `,` + group + `]}`, "twice"},
		{"port out of range", `{"listen":"127.0.0.1:1","groups":[{"class":"c","count":2,"data-centre":"a","first-port":65535}]}`, "first-port"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := config.Parse[Settings]("test.json", []byte(test.text))
			assert.ErrorContains(t, err, test.want)
		})
	}
}
