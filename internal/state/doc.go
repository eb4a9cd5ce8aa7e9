// Package state folds the platform's log into the state that all entry instances share: declarations, members,
// workers, jobs and team usage.
package state
