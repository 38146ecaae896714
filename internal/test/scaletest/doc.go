// Package scaletest runs a large fleet on one machine: real processes of the program, hollow coordinators that have
// only what the endpoint list and the settings need, the authority and relays between them and a fake of discovery,
// and links between regions that can be broken. It is for tests and the laboratory only.
//
// # Contract
//
// A Plan, read from YAML, names the sizes, the faults and the bounds. Run plays it once and returns a Result with the
// measurements; its error is ErrBoundMissed where a bound of the plan was missed or a rule was broken, and the result
// is complete then as well. Any other error says that the run could not be finished. Run has ended every process that
// it started when it returns, also after its context has ended. RunHost is the other side of the host processes that
// a run starts: the program in Config.Lab calls it for HollowCommand.
//
// # What is measured
//
// Every change of the endpoint list and of the settings has a sequence number, from which each member's records show
// when it came into force there. The delay of a change begins when it is published. A member that was isolated then,
// or became so before the change could reach it, is measured from the end of the isolation; one that was started
// later is not measured for that change. CPU, memory and bytes come from the system, except for the bytes of hosts,
// which count what goes through their own connections.
//
// # Where each concern stands
//
//	plan.go, validate.go                what a plan is, and which ones are refused
//	run.go, fleet.go, start.go          the run from its start to its last change, and what it starts
//	config_files.go, settings.go        the files and settings that processes read
//	control_process.go, network.go      the authority, the relays and the links between regions
//	real_coordinator.go, log_reader.go  real coordinators, and what their logs tell
//	host.go, hollow.go, hollow_follow.go, hollow_baseline.go   hollow coordinators
//	replicas.go                         the replicas that answer, and the clients that send to them
//	publisher.go, changes.go            the changes that are published
//	registry.go                         discovery that serves one call after another
//	authority_watch.go                  the index that the authority gave to each change
//	fault.go, corrupting_proxy.go       the faults
//	baseline.go                         the fleet without distribution
//	process.go, process_usage.go, sampler.go, cost.go   processes and what they cost
//	version_records.go, propagation.go, measure.go      from records to delays
//	violations.go, bounds.go            rules and bounds, held against what was measured
//	result.go, report.go, timeline.go   what a run reports
package scaletest
