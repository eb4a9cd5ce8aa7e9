// Package seeds fixes the random numbers of property tests, so that a run in CI can be repeated.
package seeds
