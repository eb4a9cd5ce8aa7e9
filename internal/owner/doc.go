// Package owner runs the ownership of jobs and workers: it takes part in the group that decides who owns them, takes
// over what a former owner recorded, and carries out the decisions of a shard as long as no newer owner exists.
package owner
