// Command aw-ctl is built up in later commits.
package main
