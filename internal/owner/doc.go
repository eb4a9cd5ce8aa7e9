// Package owner implements the ownership of jobs and workers: it takes part in the group of nodes that decides which node
// is the owner, takes over what the former owner recorded, and carries out the decisions of a shard until a newer owner
// exists.
package owner
