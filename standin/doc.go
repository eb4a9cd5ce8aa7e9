// Command aw-standin plays the platform: its log, its list of instances and its workers. It counts what the scheduler
// makes of them, and fails on request.
package main
