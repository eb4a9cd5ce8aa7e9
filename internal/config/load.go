package config

import (
	"fmt"
	"os"

	"arbutuswing.example/internal/strict"
)

// Settings is implemented by the settings struct of each program.
type Settings[T any] interface {
	// WithDefaults returns the settings with their default values.
	WithDefaults() T
	// Check validates the settings and returns their problems.
	Check() []Problem
}

// Load reads the settings of a program from a JSON file. Missing keys take their defaults, and unknown keys are rejected.
// Invalid settings give a strict.Problems error with the place of each problem.
func Load[T Settings[T]](path string) (T, error) {
	var none T
	data, err := os.ReadFile(path)
	if err != nil {
		return none, fmt.Errorf("reading settings: %w", err)
	}
	return Parse[T](path, data)
}

// Parse decodes and validates settings as Load does; file is the file name that appears in errors.
func Parse[T Settings[T]](file string, data []byte) (T, error) {
	var none T
	settings := none.WithDefaults()
	document, err := strict.Decode(file, data, &settings)
	if err != nil {
		return none, err
	}
	var problems strict.Problems
	for _, problem := range settings.Check() {
		problems = append(problems, document.Problem(problem.Path, problem.Text))
	}
	if err := problems.Err(); err != nil {
		return none, err
	}
	return settings, nil
}
