// Package decl holds what operators declare: organisations, teams, classes of work and data centres, with checks,
// differences and the schema of the declarations.
package decl
