package config

import (
	_ "embed"

	"arbutuswing.example/internal/schema"
)

var (
	//go:embed entry.go
	entrySource string
	//go:embed ctl.go
	ctlSource string
	//go:embed node.go
	nodeSource string
)

const importPath = "arbutuswing.example/internal/config"

// Schema returns the JSON schema of aw-entry's settings with their defaults.
func Schema() []byte {
	return schema.Build("Settings of aw-entry", Entry{}.WithDefaults(), schema.Source{Package: importPath, Text: entrySource})
}

// CtlSchema returns the JSON schema of aw-ctl's settings with their defaults.
func CtlSchema() []byte {
	return schema.Build("Settings of aw-ctl", Ctl{}.WithDefaults(), schema.Source{Package: importPath, Text: ctlSource})
}

// NodeSchema returns the JSON schema of aw-node's settings with their defaults.
func NodeSchema() []byte {
	return schema.Build("Settings of aw-node", Node{}.WithDefaults(), schema.Source{Package: importPath, Text: nodeSource})
}
