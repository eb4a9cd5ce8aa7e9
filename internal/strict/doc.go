// Package strict decodes JSON documents that people write: unknown and repeated keys are refused, and each fault names
// its file, line, column and the path of the object.
package strict
