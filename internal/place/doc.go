// Package place chooses workers for tasks and keeps an inventory of their free capacity. The inventory is split into
// shards by rack; each shard has its own lock and indexes its workers by free capacity.
package place
