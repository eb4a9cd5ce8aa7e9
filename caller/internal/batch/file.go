package batch

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/strict"
)

// jobsFile is the content of a file of example jobs.
type jobsFile struct {
	Jobs []jobEntry `json:"jobs"`
}

// jobEntry is one job, or Count jobs whose IDs get a number as suffix.
type jobEntry struct {
	Count int           `json:"count,omitempty"`
	Spec  model.JobSpec `json:"spec"`
}

// Read returns the jobs of a file of example jobs; prefix is put before each ID.
func Read(path, prefix string) ([]model.JobSpec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading jobs: %w", err)
	}
	var content jobsFile
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
