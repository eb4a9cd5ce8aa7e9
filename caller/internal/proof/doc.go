// Package proof compares what the system told its callers with what the stand-ins counted.
package proof
