// Command aw-ctl is the command-line tool of operators. It validates declarations and puts them in force, shows the state
// of the system, and prints the history of a job from logs.
package main
