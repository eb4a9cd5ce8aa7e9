// Package strict decodes JSON files that people write. It rejects unknown and repeated keys and reports each problem with
// its file, line, column and path in the document.
package strict
