package scaletest

import "errors"

// Errors that the package wraps, for errors.Is.
var (
	// ErrBoundMissed says that a bound of the plan was missed or a rule was broken. Result.MissedBounds names them.
	ErrBoundMissed = errors.New("scaletest: bound missed")
	// ErrInvalidPlan says that no run could play a plan as it is written.
	ErrInvalidPlan = errors.New("invalid plan")
	// ErrInvalidSettings says that the site's settings lack an object that every version of a run changes.
	ErrInvalidSettings = errors.New("scaletest: invalid settings")
	// ErrProcessFailed says that a process exited before it was to, with an error, or not in time.
	ErrProcessFailed = errors.New("scaletest: process failed")
	// ErrStartTimeout says that some member did not get the complete endpoint list and the settings in time.
	ErrStartTimeout = errors.New("scaletest: members not started in time")
	// ErrUnreadableUsage says that the system described a process or the machine in a form that is not known.
	ErrUnreadableUsage = errors.New("scaletest: unreadable usage")
)
