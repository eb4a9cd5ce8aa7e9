package setup

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/config"
)

// TestExample guards against an example file that the program rejects.
func TestExample(t *testing.T) {
	settings, err := config.Load[Settings]("../../../examples/settings/standin.json")
	assert.NilError(t, err)
	assert.Equal(t, len(settings.WorkerSpecs()), 50)
	assert.Equal(t, settings.InitialInstances()[8].Rack, settings.WorkerSpecs()[8].Rack)
	assert.Assert(t, settings.WorkerSpecs()[7].Rack != settings.WorkerSpecs()[8].Rack)
}

// TestInvalidSettings guards against accepting settings that can't work.
func TestInvalidSettings(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown key", `{"listen":"127.0.0.1:1","port":2}`, "port"},
		{"no address", `{}`, "listen"},
		{"factor below zero", `{"listen":"127.0.0.1:1","tasks":{"scale":-1}}`, "tasks.scale"},
		{"max below min", `{"listen":"127.0.0.1:1","tasks":{"peak":{"min":2,"max":1}}}`, "tasks.peak"},
		{"no count", `{"listen":"127.0.0.1:1","workers":[{"prefix":"w","data-centre":"a"}]}`, "count"},
		{
			"same name twice",
			`{"listen":"127.0.0.1:1","workers":[{"prefix":"w","count":1,"data-centre":"a"},{"prefix":"w","count":1,"data-centre":"b"}]}`,
			"listed twice",
		},
		{"bad role", `{"listen":"127.0.0.1:1","instances":[{"id":"x","role":"printer","address":"127.0.0.1:2"}]}`, "printer"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := config.Parse[Settings]("test.json", []byte(test.text))
			assert.ErrorContains(t, err, test.want)
		})
	}
}
