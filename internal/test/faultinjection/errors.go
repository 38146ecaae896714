package faultinjection

import "errors"

// Errors that the package's errors wrap, for errors.Is.
var (
	// ErrWaitTimeout means that a condition did not become true in time.
	ErrWaitTimeout = errors.New("faultinjection: condition not met in time")
	// ErrInvalidSettings means that a site's settings lack the classes or tenants that clients and checks need.
	ErrInvalidSettings = errors.New("faultinjection: invalid settings")
	// ErrInvalidScenario means that a fleet cannot execute the scenario as written.
	ErrInvalidScenario = errors.New("invalid scenario")
	// ErrAdminRequestFailed means that a process did not accept a request at its admin endpoint.
	ErrAdminRequestFailed = errors.New("faultinjection: admin request failed")
	// ErrProcessFailed means that a process exited with an error, or did not exit in time.
	ErrProcessFailed = errors.New("faultinjection: process failed")
	// ErrRuleViolated means that a run broke a rule that must hold in every run.
	ErrRuleViolated = errors.New("faultinjection: rule violated")
)
