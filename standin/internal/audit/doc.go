// Package audit counts the attempts that ran on the simulated workers and the starts that broke a guarantee of the scheduler.
package audit
