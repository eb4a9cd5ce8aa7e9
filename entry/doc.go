// Command aw-entry runs an entry instance, which serves callers and operators, schedules tasks on workers and takes part
// in membership.
package main
