// Package audit counts what really ran on the stand-in's workers and what the scheduler must never have let happen.
package audit
