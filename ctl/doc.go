// Command aw-ctl is the operators' command line: it checks declarations and puts them in force.
package main
