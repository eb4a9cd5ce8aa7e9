// Package rigs builds folded states of a chosen size out of log operations.
package rigs
