// Package fits fits straight lines to measured points and prints them.
package fits
