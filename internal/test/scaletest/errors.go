package scaletest

import "errors"

// Errors that this package returns or wraps; match them with errors.Is.
var (
	// ErrBoundMissed reports that a bound of the plan was missed or a rule was broken. Result.MissedBounds lists each.
	ErrBoundMissed = errors.New("scaletest: bound missed")
	// ErrInvalidPlan reports that a plan cannot be decoded, or cannot be executed as it is written.
	ErrInvalidPlan = errors.New("invalid plan")
	// ErrInvalidSettings reports that the site's settings lack an object that every version of a run changes.
	ErrInvalidSettings = errors.New("scaletest: invalid settings")
	// ErrProcessFailed reports that a process exited before the run ended it, exited with an error, or did not exit in
	// time.
	ErrProcessFailed = errors.New("scaletest: process failed")
	// ErrStartTimeout reports that a member did not get the complete endpoint list and the settings in time.
	ErrStartTimeout = errors.New("scaletest: members not started in time")
	// ErrUnreadableUsage reports that a /proc file of a process or of the machine has an unknown format.
	ErrUnreadableUsage = errors.New("scaletest: unreadable usage")
)
