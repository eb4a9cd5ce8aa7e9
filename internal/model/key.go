package model

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyHash is the SHA-256 of a key in hexadecimal; keys themselves are never kept.
type KeyHash string

// HashKey returns the hash of key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}
