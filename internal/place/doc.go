// Package place chooses workers for tasks and keeps the book of their free capacity. The book is split into shards by
// rack, each with its own lock and an index of its workers by free capacity.
package place
