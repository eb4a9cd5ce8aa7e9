// Package agent describes workers as the scheduler uses them: their entries in the registry, commands under a fencing
// token, reports on runs, and the placement advice of a deployment.
package agent
