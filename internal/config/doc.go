// Package config holds the settings of all programs. The structs are the reference: they name every key, unknown keys
// are refused, and the JSON schema and the reference page are derived from them.
package config
