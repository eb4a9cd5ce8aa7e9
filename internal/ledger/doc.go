// Package ledger describes the durable store of a deployment as the scheduler uses it: keyed topics with partitions,
// appends that are fenced by a producer's epoch, and group membership that decides who owns a partition.
package ledger
