// Package drive runs requests and jobs side by side and sums up what was found.
package drive
