package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutuswing.example/internal/config"
)

const validEntry = `{
  "instance": "entry-1", "data-centre": "dc1", "region": "west",
  "caller-address": "0.0.0.0:8080",
  "admin-address": "127.0.0.1:8081",
  "peer-address": "[::1]:8082",
  "platform": "http://127.0.0.1:7000",
  "operator-key": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
  "lease": {"worker": "4s"}
}`

// Guards against a section of the file that resets the section's other settings to zero.
func TestLoadKeepsDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.json")
	assert.NilError(t, os.WriteFile(path, []byte(validEntry), 0o600))
	entry, err := config.Load[config.Entry](path)
	assert.NilError(t, err)
	assert.Equal(t, entry.Lease.Worker.Std(), 4*time.Second)
	assert.Equal(t, entry.Lease.Task.Std(), 20*time.Second)
	assert.Equal(t, entry.LogLevel, "info")
	_, err = config.Load[config.Entry](path + ".missing")
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against invalid settings with which aw-entry starts and then fails in operation.
func TestInvalidEntrySettings(t *testing.T) {
	tests := []struct {
		name string
		edit func(*config.Entry)
		want string
	}{
		{"host name", func(e *config.Entry) { e.PeerAddress = "localhost:80" }, `peer-address: "localhost:80" must be IP:port; host names are not resolved`},
		{"unspecified", func(e *config.Entry) { e.AdminAddress = "0.0.0.0:80" }, `admin-address: "0.0.0.0:80" must name one IP address, because others connect to it`},
		{"port 0", func(e *config.Entry) { e.CallerAddress = "127.0.0.1:0" }, `caller-address: "127.0.0.1:0" must have a port other than 0`},
		{"platform by name", func(e *config.Entry) { e.Platform = "http://platform:80" }, `platform: "platform:80" must be IP:port; host names are not resolved`},
		{"no URL", func(e *config.Entry) { e.Platform = "127.0.0.1:80" }, `platform: "127.0.0.1:80" must be a URL such as http://127.0.0.1:7000`},
		{"no instance", func(e *config.Entry) { e.Instance = "" }, `instance: must be set`},
		{"plain key", func(e *config.Entry) { e.OperatorKey = "secret" }, `operator-key: must be a SHA-256 in lower-case hexadecimal (64 digits)`},
		{"zero", func(e *config.Entry) { e.Route.Queue = 0 }, `route.queue: must be greater than 0`},
		{"lease shorter than renewal", func(e *config.Entry) { e.Lease.Renew = e.Lease.Worker }, `lease.worker: 4s must be longer than lease.renew (4s)`},
		{"level", func(e *config.Entry) { e.LogLevel = "loud" }, `log-level: "loud" must be debug, info, warn or error`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			entry, err := config.Parse[config.Entry]("entry.json", []byte(validEntry))
			assert.NilError(t, err)
			test.edit(&entry)
			problems := entry.Check()
			assert.Equal(t, len(problems), 1, "%v", problems)
			assert.Equal(t, problems[0].Error(), test.want)
		})
	}
}

// Guards against problems that are reported without their place in the file.
func TestParseLocatesProblems(t *testing.T) {
	_, err := config.Parse[config.Ctl]("ctl.json", []byte("{\n  \"server\": \"http://x:1\",\n  \"timeout\": \"0s\"\n}"))
	assert.Error(t, err, `ctl.json:2:13: server: "x:1" must be IP:port; host names are not resolved`+"\n"+
		`ctl.json:3:14: timeout: must be greater than 0`)
	_, err = config.Parse[config.Ctl]("ctl.json", []byte(`{"servers": []}`))
	assert.Error(t, err, `ctl.json:1:2: unknown key "servers"`)
}

// Guards against invalid settings with which aw-node starts and then fails in operation.
func TestNodeSettings(t *testing.T) {
	const validStart = `{"node": "n1", "data-centre": "dc1", "client-address": "10.0.0.1:80", "readiness-address": "10.0.0.1:81",
		"peer-address": "10.0.0.1:82", "store-address": "10.0.0.9:80"`
	tests := []struct{ name, text, want string }{
		{"valid", validStart + `}`, ""},
		{"with advice", validStart + `, "advice-address": "10.0.0.9:81", "kill-grace": "400ms"}`, ""},
		{"unknown key", validStart + `, "colour": "red"}`, "colour"},
		{"no store", strings.ReplaceAll(validStart, "store-address", "advice-address") + `}`, "store-address"},
		{"host name", validStart + `, "advice-address": "advice:81"}`, "advice-address"},
		{"no time", validStart + `, "renew-limit": "0s"}`, "renew-limit"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := config.Parse[config.Node]("node.json", []byte(test.text))
			if test.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.want)
		})
	}
}
