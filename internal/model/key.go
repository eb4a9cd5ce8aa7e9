package model

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyHash is the SHA-256 hash of a key in hexadecimal; the keys themselves are never stored.
type KeyHash string

// HashKey returns the hash of key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}
