// Package ledger defines the scheduler's view of the durable store: partitioned topics of keyed records, appends that are
// fenced by their producer's epoch, and groups that assign partitions to their members.
package ledger
