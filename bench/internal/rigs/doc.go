// Package rigs builds state machines whose state has a chosen size, by applying log operations.
package rigs
