package config

import (
	"fmt"
	"os"

	"arbutuswing.example/internal/strict"
)

// Settings is implemented by the settings of each program.
type Settings[T any] interface {
	// WithDefaults returns the settings with all defaults.
	WithDefaults() T
	// Check returns the faults of the settings.
	Check() []Problem
}

// Load reads the settings of a program from a JSON file: keys that the file leaves out take their defaults, and
// unknown keys are refused. Faults come as a strict.Faults that gives the place of each.
func Load[T Settings[T]](path string) (T, error) {
	var none T
	data, err := os.ReadFile(path)
	if err != nil {
		return none, fmt.Errorf("reading settings: %w", err)
	}
	return Parse[T](path, data)
}

// Parse decodes and checks settings as Load does; file names the text in errors.
func Parse[T Settings[T]](file string, data []byte) (T, error) {
	var none T
	settings := none.WithDefaults()
	document, err := strict.Decode(file, data, &settings)
	if err != nil {
		return none, err
	}
	var faults strict.Problems
	for _, problem := range settings.Check() {
		faults = append(faults, document.Problem(problem.Path, problem.Text))
	}
	if err := faults.Err(); err != nil {
		return none, err
	}
	return settings, nil
}
