// Command aw-caller is built up in later commits.
package main
