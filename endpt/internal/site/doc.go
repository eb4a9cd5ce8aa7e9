// Package site plays one endpoint: slots, a connection limit, and the faults of its connections and answers.
package site
