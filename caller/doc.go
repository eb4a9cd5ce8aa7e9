// Command aw-caller sends requests and jobs to entry instances and compares the answers with what the stand-ins counted.
package main
