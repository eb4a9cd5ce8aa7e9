// Command aw-entry is built up in later commits.
package main
