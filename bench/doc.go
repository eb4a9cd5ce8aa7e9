// Command aw-bench is built up in later commits.
package main
