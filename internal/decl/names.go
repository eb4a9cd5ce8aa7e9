package decl

import (
	"regexp"

	"arbutuswing.example/internal/model"
)

var (
	kebabCase = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)
	hexHash   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	clockTime = regexp.MustCompile(`^([01][0-9]|2[0-3]):[0-5][0-9]$`)
)

// maxNameLength limits names, in bytes, because they are used in metrics and URL paths.
const maxNameLength = 63

// ValidName reports whether name is kebab case, starts with a letter and has at most 63 bytes.
func ValidName(name string) bool { return len(name) <= maxNameLength && kebabCase.MatchString(name) }

// ValidKeyHash reports whether hash is a SHA-256 in lower-case hexadecimal.
func ValidKeyHash(hash model.KeyHash) bool { return hexHash.MatchString(string(hash)) }
