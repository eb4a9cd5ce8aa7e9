package model

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as text such as "1.5s".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes text such as "250ms". It returns an error for a bare number, because that has no unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration must be text such as \"250ms\": %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q: must be a number with a unit, such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}
