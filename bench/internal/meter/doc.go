// Package meter reads what the process used: processor time, heap, and bytes on connections.
package meter
