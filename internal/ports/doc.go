// Package ports defines the interfaces to the outside systems: the platform's log, list and workers, and the
// endpoints. Another platform costs one implementation each and no change elsewhere.
package ports
