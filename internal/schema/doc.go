// Package schema generates JSON schemas and Markdown reference pages from Go structs and their doc comments.
package schema
