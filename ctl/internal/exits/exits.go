package exits

import "errors"

// Errors that determine the exit code.
var (
	// ErrInput reports invalid files, arguments or declarations, or that the server refused them.
	ErrInput = errors.New("fault in the input")
	// ErrUsage reports an invalid command line.
	ErrUsage = errors.New("wrong usage")
	// ErrConflict reports that another change took effect first.
	ErrConflict = errors.New("conflict")
	// ErrUnreachable reports that the server could not be reached or could not record the change.
	ErrUnreachable = errors.New("server unreachable")
	// ErrWaiting reports that a change was recorded but waits for approval.
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

// Help is the help text on exit codes.
const Help = `Exit codes:
  0  done
  1  fault in the input, or refused because of it
  2  wrong usage
  3  conflict: another change came first
  4  server unreachable, or unable to record changes; the message says whether the change may still take effect
  5  recorded, but waiting for approval`

// Code returns the exit code for an error; errors that wrap none of this package's errors give Input.
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
