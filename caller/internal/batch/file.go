package batch

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/strict"
)

// file is the form of an example file.
type file struct {
	Jobs []sample `json:"jobs"`
}

// sample is one job, or Count jobs whose IDs get a number.
type sample struct {
	Count int           `json:"count,omitempty"`
	Spec  model.JobSpec `json:"spec"`
}

// Read returns the jobs of an example file, each ID after a prefix.
func Read(path, prefix string) ([]model.JobSpec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading jobs: %w", err)
	}
	var content file
	if _, err := strict.Decode(filepath.Base(path), data, &content); err != nil {
		return nil, fmt.Errorf("reading jobs: %w", err)
	}
	var jobs []model.JobSpec
	for _, s := range content.Jobs {
		spec := s.Spec
		spec.ID = model.JobID(prefix) + spec.ID
		if s.Count == 0 {
			jobs = append(jobs, spec)
			continue
		}
		for n := range s.Count {
			numbered := spec
			numbered.ID += model.JobID("-" + strconv.Itoa(n+1))
			jobs = append(jobs, numbered)
		}
	}
	return jobs, nil
}
