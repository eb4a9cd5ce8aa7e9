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

// ReadSet reads the declarations in the files at paths, and in the *.json files of directories at paths, and validates
// them as one set. It returns all problems together as a strict.Problems, or exits.ErrInput if a file can't be read.
func ReadSet(paths ...string) (decl.Set, error) {
	var (
		names    []string
		sets     []decl.Set
		problems strict.Problems
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
		var fileProblems strict.Problems
		switch {
		case errors.As(err, &fileProblems):
			problems = append(problems, fileProblems...)
		case err != nil:
			return decl.Set{}, err
		default:
			sets = append(sets, set)
		}
	}
	// Without the objects of an invalid file, the checks would report references to them as undeclared.
	if len(problems) > 0 {
		return decl.Set{}, problems
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

// ReadKey reads a key from a file and removes surrounding white space. It returns exits.ErrInput if the file can't be read
// or does not contain a single key.
func ReadKey(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("%w: reading a key: %w", exits.ErrInput, err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" || strings.ContainsFunc(key, unprintable) {
		return "", fmt.Errorf("%w: %s must contain one key of printable ASCII characters without spaces", exits.ErrInput, path)
	}
	return key, nil
}

// unprintable reports whether a character can't be sent in an HTTP header.
func unprintable(r rune) bool { return r <= ' ' || r > '~' }
