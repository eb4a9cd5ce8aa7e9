package exits

import "errors"

// Errors that decide the exit code.
var (
	// ErrInput reports a fault in files, arguments or declarations, or a refusal because of them.
	ErrInput = errors.New("fault in the input")
	// ErrUsage reports a wrong command line.
	ErrUsage = errors.New("wrong usage")
	// ErrConflict reports that another change came first.
	ErrConflict = errors.New("conflict")
	// ErrUnreachable reports that the server could not be reached or could not record anything.
	ErrUnreachable = errors.New("server unreachable")
	// ErrWaiting reports that a change is recorded but waits for approval.
	ErrWaiting = errors.New("waiting for approval")
)

// Exit codes.
const (
	OK          = 0
	Input       = 1
	Usage       = 2
	Conflict    = 3
	Unreachable = 4
	Waiting     = 5
)

// Help documents the exit codes.
const Help = `Exit codes:
  0  done
  1  fault in the input, or refused because of it
  2  wrong usage
  3  conflict: another change came first
  4  server unreachable, or unable to record changes; the message tells if the effect is unknown
  5  recorded, but waiting for approval`

// Code returns the exit code for an error; errors of no known kind count as faults in the input.
func Code(err error) int {
	switch {
	case err == nil:
		return OK
	case errors.Is(err, ErrUsage):
		return Usage
	case errors.Is(err, ErrConflict):
		return Conflict
	case errors.Is(err, ErrUnreachable):
		return Unreachable
	case errors.Is(err, ErrWaiting):
		return Waiting
	default:
		return Input
	}
}
