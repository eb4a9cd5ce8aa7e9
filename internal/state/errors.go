package state

import "errors"

// Reasons for which the state machine rejects an operation of the log; a rejected operation changes nothing.
var (
	ErrConflict         = errors.New("another change came first")
	ErrInvalid          = errors.New("the declarations fail their checks")
	ErrNotFound         = errors.New("no such object")
	ErrKeyNotGranted    = errors.New("the key is not granted to the team")
	ErrDuplicate        = errors.New("already recorded")
	ErrNotQueued        = errors.New("the task is not queued or the attempt is not its next one")
	ErrNoCapacity       = errors.New("the worker has no room")
	ErrWorkerUnusable   = errors.New("the worker is suspected, lost or has another boot")
	ErrOverLimit        = errors.New("the team's upper limit is reached")
	ErrOutOfService     = errors.New("the data centre is out of service")
	ErrGangIncomplete   = errors.New("an all-at-once job must be taken whole")
	ErrNotCurrent       = errors.New("the attempt is not current")
	ErrNeedsApproval    = errors.New("the change touches terms that need an organisation's approval")
	ErrTooManyProposals = errors.New("too many proposals wait for approval")
)
