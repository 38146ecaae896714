package faultinjection

import "errors"

// Errors that the package wraps, for errors.Is.
var (
	// ErrWaitTimeout says that a condition did not come true in time.
	ErrWaitTimeout = errors.New("faultinjection: condition not met in time")
	// ErrInvalidSettings says that a site's settings lack what clients and checks go by.
	ErrInvalidSettings = errors.New("faultinjection: invalid settings")
	// ErrInvalidScenario says that no fleet could play a scenario as it is written.
	ErrInvalidScenario = errors.New("invalid scenario")
	// ErrAdminRequestFailed says that a process did not accept a request at its admin endpoint.
	ErrAdminRequestFailed = errors.New("faultinjection: admin request failed")
	// ErrProcessFailed says that a process exited otherwise than it should.
	ErrProcessFailed = errors.New("faultinjection: process failed")
	// ErrRuleViolated says that something did not hold that has to hold in every run.
	ErrRuleViolated = errors.New("faultinjection: rule violated")
)
