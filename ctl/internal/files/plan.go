package files

import (
	"encoding/json"
	"fmt"
	"os"

	"arbutuswing.example/ctl/internal/exits"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/strict"
)

// planMode lets only the file's owner read a plan, because it contains hashes of keys.
const planMode = 0o600

// Plan is a change that was displayed to an operator, with the offset of the declarations that it is based on.
type Plan struct {
	Base  model.Offset `json:"base"`
	Patch decl.Patch   `json:"patch"`
}

// WritePlan writes a plan to a file; it returns exits.ErrInput if the file can't be written.
func WritePlan(path string, plan Plan) error {
	data, err := json.MarshalIndent(plan, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding a plan: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), planMode); err != nil {
		return fmt.Errorf("%w: writing a plan: %w", exits.ErrInput, err)
	}
	return nil
}

// ReadPlan reads a plan from a file and rejects unknown keys with a strict.Problems.
func ReadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("%w: reading a plan: %w", exits.ErrInput, err)
	}
	plan := Plan{Base: model.NoOffset}
	_, err = strict.Decode(path, data, &plan)
	return plan, err
}
