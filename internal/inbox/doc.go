// Package inbox stores accepted jobs and cancellations: calls that come together share one append, and an append
// without an answer is repeated under the same sequence number until its outcome is known.
package inbox
