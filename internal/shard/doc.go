// Package shard schedules the jobs of one owner on its workers. It decides which task runs where and when, which
// changes must be recorded before a command may be sent, and what a worker's report proves. It does no I/O and reads no
// clock: the caller passes in monotonic time, sends the commands that the shard returns and passes the results back.
package shard
