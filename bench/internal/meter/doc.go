// Package meter measures the resource usage of the process: processor time, heap, and bytes on connections.
package meter
