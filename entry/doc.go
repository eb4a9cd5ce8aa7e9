// Command aw-entry is an entry instance: it serves callers and operators, places work and keeps membership.
package main
