// Package route serves callers' requests: it admits them by their class's target and their team's share, chooses an
// endpoint, retries within a budget and tells the truth about requests that did not run.
package route
