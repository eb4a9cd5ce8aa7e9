package files

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"arbutuswing.example/ctl/internal/exits"
	"arbutuswing.example/internal/decl"
	"arbutuswing.example/internal/strict"
)

// ReadSet reads the declarations in the files and directories at paths and checks them together; of a directory, the
// files named *.json count. All faults are reported at once in a strict.Faults.
func ReadSet(paths ...string) (decl.Set, error) {
	var (
		names  []string
		sets   []decl.Set
		faults strict.Problems
	)
	for _, path := range paths {
		found, err := declarationFiles(path)
		if err != nil {
			return decl.Set{}, err
		}
		names = append(names, found...)
	}
	for _, name := range names {
		set, err := readDeclarations(name)
		var inFile strict.Problems
		switch {
		case errors.As(err, &inFile):
			faults = append(faults, inFile...)
		case err != nil:
			return decl.Set{}, err
		default:
			sets = append(sets, set)
		}
	}
	// Objects of a file that can't be read would all look undeclared to the checks.
	if len(faults) > 0 {
		return decl.Set{}, faults
	}
	merged := decl.Merge(sets...)
	return merged, strict.Problems(decl.Check(merged)).Err()
}

func readDeclarations(name string) (decl.Set, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return decl.Set{}, fmt.Errorf("%w: reading declarations: %w", exits.ErrInput, err)
	}
	return decl.ParseSet(name, data)
}

// declarationFiles returns the declaration files at path, sorted by name.
func declarationFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%w: reading declarations: %w", exits.ErrInput, err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	names, err := filepath.Glob(filepath.Join(path, "*.json"))
	if err != nil || len(names) == 0 {
		return nil, fmt.Errorf("%w: no *.json files in %s", exits.ErrInput, path)
	}
	slices.Sort(names)
	return names, nil
}

// ReadKey reads a key from a file; surrounding white space does not belong to it.
func ReadKey(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("%w: reading a key: %w", exits.ErrInput, err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" || strings.ContainsFunc(key, unprintable) {
		return "", fmt.Errorf("%w: %s must hold one key in printable ASCII without spaces", exits.ErrInput, path)
	}
	return key, nil
}

// unprintable reports characters that can't be sent in a header.
func unprintable(r rune) bool { return r <= ' ' || r > '~' }
