// Package config defines the settings of aw-entry, aw-node and aw-ctl. The structs define every key: unknown keys are
// rejected, and the JSON schemas and the reference page are generated from the structs.
package config
