package stream

import "errors"

// Errors of Submit.
var (
	// ErrOverloaded reports that the queue is full; it comes together with ErrNotRecorded.
	ErrOverloaded = errors.New("too many operations wait to be recorded")
	// ErrNotRecorded reports that the operations certainly have no effect.
	ErrNotRecorded = errors.New("operations were not recorded")
	// ErrUnknownOutcome reports that the operations may or may not take effect.
	ErrUnknownOutcome = errors.New("outcome of the operations is unknown")
	// ErrTooLarge reports operations that do not fit into one envelope; it comes together with ErrNotRecorded.
	ErrTooLarge = errors.New("operations exceed the envelope limit")
)

// Reasons why a batch of records cannot be folded.
var (
	errGap        = errors.New("records are missing from the batch")
	errHalted     = errors.New("folding has stopped")
	errNoSnapshot = errors.New("no whole snapshot found")
	errStopped    = errors.New("the stream has stopped")
	errNotNewer   = errors.New("the snapshot is not newer than the folded state")
	errNoPeer     = errors.New("no peer can help")
)
