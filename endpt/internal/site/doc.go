// Package site simulates one endpoint: its slots, its connection limit, and the faults of its connections and answers.
package site
