// Package files reads declarations, plans and keys from the operator's files.
package files
