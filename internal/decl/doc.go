// Package decl defines the declarations that operators make: organisations, teams, classes of work and data centres.
// It parses, validates, compares and patches sets of declarations and provides their JSON schema.
package decl
