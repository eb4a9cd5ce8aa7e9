// Command aw-standin is built up in later commits.
package main
