// Package shard decides for the jobs and workers that one owner holds: which task runs where and when, what has to be
// recorded before a command may be sent, and what a worker's report proves. It does no input or output and reads no
// clock: the caller passes the steady time in and carries out the commands it takes out.
package shard
