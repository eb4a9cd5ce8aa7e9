// Package intake admits jobs: it finds the queue of a call, checks the key, stores what is accepted, and answers for
// states, cancellations and queue lengths. It knows no transport; each way in translates its typed outcomes.
package intake
