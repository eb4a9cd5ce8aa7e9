// Package schema derives JSON schemas and reference pages from Go structs and their doc comments.
package schema
