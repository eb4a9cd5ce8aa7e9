// Package route serves clients' requests: it admits them by the target of their class and the share of their team,
// chooses an endpoint, retries within a budget and reports whether a request that failed may have run.
package route
