// Package intake handles the calls of clients: it finds the queue of a call, checks the key, stores accepted jobs and
// cancellations, and answers queries for job states and queue lengths. It is independent of the transport, which
// translates its typed outcomes.
package intake
