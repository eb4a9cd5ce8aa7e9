// Package inbox stores accepted jobs and cancellations. Concurrent calls share one append, and an append that gets no
// answer is repeated under the same sequence number until its outcome is known.
package inbox
