// Package seeds sets a fixed random seed for property tests, so that a failure in CI can be reproduced.
package seeds
