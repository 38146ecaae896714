// Package faultinjection runs real processes of the program on loopback among fakes of all that surrounds them. It
// injects faults into processes, links, replicas and discovery, and checks what the fakes and the clients have recorded
// against the rules of the platform. It is for tests and the laboratory only.
//
// # Contract
//
// A Fleet is several coordinators, each a process with addresses of its own; a Scenario says step by step what happens
// to them. A Host is one coordinator whose processes take over from each other on a shared client socket; its caller
// says what happens. Both end with an error that joins every expectation that was not met; errors.Is finds
// ErrRuleViolated in it where a rule of the platform was broken. Fleet and Host are used by one goroutine; whoever
// opened one closes it, also after an error.
//
// # What is checked
//
// In a Fleet, at each instant: parts that may run once do so, carry their client's idempotency key, go to a holder of
// their shard, and begin neither after the grace of a drain nor after their client has left, nor with a longer
// deadline than their client has. Strict clients get an answer to every request in time. Replicas are not sent more
// than they can bear. Once all faults are over, every running coordinator serves complete answers again.
//
// A fault can only excuse what it has held up: parts that arrive over a link with a fault, or just after it, say
// nothing of when they were sent. Where this process itself was not scheduled in time, the checks of instants are
// granted slack, or are counted as unjudged.
//
// # Where each concern stands
//
//	scenario.go, step.go, validate.go   what a scenario is, and which ones are refused
//	overrides.go, ring_layout.go        the settings and the ring that a scenario has
//	soak.go, soak_faults.go             scenarios drawn from a seed
//	fleet.go, member.go                 the fleet and its coordinators
//	play.go, resize.go, restart.go      what steps do to coordinators
//	discovery_modes.go, link_steps.go   what steps do to discovery and links
//	fleet_replica.go                    the replicas of a fleet
//	rule_checker.go, client_rules.go    the rules, held against what was recorded
//	notification.go                     from when on a coordinator counts as notified of a drain
//	scheduling_delay.go                 the slack for delays of this process
//	verdict.go, timeline.go             what a fleet reports
//	site.go, query.go, http_client.go   what clients ask, and what a correct answer is
//	client_pool.go, strict_client.go    the clients
//	host.go, host_check.go              processes that take over from each other
//	process.go, log.go                  one process
//	link.go, link_copy.go, message_faults.go, listeners.go   links that can be broken, and the fakes behind them
package faultinjection
