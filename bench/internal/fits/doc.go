// Package fits fits straight lines to measured points and prints them as a Markdown table.
package fits
