// Package model defines the value types that all parts of the scheduler use: identifiers, resources, job specifications
// and outcomes.
package model
