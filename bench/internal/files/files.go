package files

import (
	"encoding/json"
	"fmt"
	"os"
)

// WriteJSON writes results to a file as indented JSON; an empty path writes nothing.
func WriteJSON(path string, results any) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the results: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("writing the results: %w", err)
	}
	return nil
}
