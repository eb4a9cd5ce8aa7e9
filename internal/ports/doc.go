// Package ports defines the interfaces to external systems: the platform's log, instance list and workers, and the
// endpoints. To support another platform, implement these interfaces for it; nothing else needs to change.
package ports
