// Package model holds the value types that the whole scheduler shares: identifiers, resources, job
// specifications and outcomes.
package model
