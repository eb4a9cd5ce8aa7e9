package config

import "arbutuswing.example/internal/model"

// Ctl holds the settings of aw-ctl; command-line options take precedence over them.
type Ctl struct {
	// Server is the URL of an entry instance's admin address, such as http://127.0.0.1:7101.
	Server string `json:"server,omitempty"`
	// KeyFile is the path of the file that holds the key to send: the operator key, or an organisation's approval key.
	KeyFile string `json:"key-file,omitempty"`
	// Timeout is how long a call to the server may take.
	Timeout model.Duration `json:"timeout,omitempty"`
}

// WithDefaults returns the settings with a timeout of 10 s, which is long enough for a change to be recorded.
func (c Ctl) WithDefaults() Ctl {
	c.Timeout = seconds(10)
	return c
}

// Check validates the settings and returns their problems.
func (c Ctl) Check() []Problem {
	checker := &Checker{}
	if c.Server != "" {
		checker.URL("server", c.Server)
	}
	checker.Require(c.Timeout > 0, "timeout", "must be greater than 0")
	return checker.Problems()
}
