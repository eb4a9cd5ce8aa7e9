package stream

import "errors"

// Errors of Submit.
var (
	// ErrOverloaded reports that the queue of operations is full; it is always wrapped together with ErrNotRecorded.
	ErrOverloaded = errors.New("too many operations wait to be recorded")
	// ErrNotRecorded reports that the operations have had no effect and never will.
	ErrNotRecorded = errors.New("operations were not recorded")
	// ErrUnknownOutcome reports that the operations may have taken effect or may still do so.
	ErrUnknownOutcome = errors.New("outcome of the operations is unknown")
	// ErrTooLarge reports operations that do not fit into one envelope; it is always wrapped together with
	// ErrNotRecorded.
	ErrTooLarge = errors.New("operations exceed the envelope limit")
)

// Reasons why records cannot be applied or a state cannot be restored.
var (
	errGap = errors.New("records are missing before one of the batch")
	// errHalted reports that the stream applies no records any more; its text is sent to callers.
	errHalted     = errors.New("folding has stopped")
	errNoSnapshot = errors.New("no complete snapshot found")
	errStopped    = errors.New("the stream has stopped")
	errNotNewer   = errors.New("the snapshot is not newer than the current state")
	errNoPeer     = errors.New("no peer has a newer state")
)
