// Command aw-endpt is built up in later commits.
package main
