// Package drive sends requests and jobs side by side and sums up the results.
package drive
