// Package scaletest runs a large fleet on one machine: real coordinator processes, hollow coordinators that only follow
// the endpoint list and the settings, a fake of discovery, the authority and relays that distribute its list, and links
// between regions that can be broken. It is for tests and the laboratory only.
//
// # Contract
//
// A Plan, read from YAML, names the sizes, the faults and the bounds. Run executes it once and returns a Result with
// the measurements. Its error is ErrBoundMissed if a bound of the plan was missed or a rule was broken; the result is
// complete in this case too. Any other error means that the run could not be finished. Before Run returns, it ends
// every process that it started, also if its context was cancelled. RunHost runs inside the host processes that a run
// starts: the program in Config.Lab calls it for HollowCommand.
//
// # What is measured
//
// Every change of the endpoint list and of the settings has a sequence number, by which each member's records show
// when the change came into force there. The delay of a change begins when it is published. If the member was
// isolated then, or became isolated before the change could reach it, the delay begins at the end of the isolation. A
// member that was started after the change was published is not measured for it. CPU, memory and bytes come from the
// operating system, except for the bytes of hosts, which count the data on their members' own connections.
//
// # Files
//
//	plan.go, validate.go                the plan and its validation
//	run.go, fleet.go, start.go          the course of a run, and the processes that it starts
//	config_files.go, settings.go        the configuration files and settings that processes read
//	control_process.go, network.go      the authority, the relays and the links between regions
//	real_coordinator.go, log_reader.go  real coordinators, and version records from their logs
//	host.go, hollow.go, hollow_follow.go, hollow_baseline.go   hollow coordinators
//	replicas.go                         the replicas that answer, and the clients that query them
//	publisher.go, changes.go            publishing of ordinary changes
//	registry.go                         a discovery that serves calls one after another
//	authority_watch.go                  the index that the authority assigned to each change
//	fault.go, corrupting_proxy.go       the faults
//	baseline.go                         the fleet without distribution
//	process.go, process_usage.go, sampler.go, cost.go   processes and their resource usage
//	version_records.go, propagation.go, measure.go      from records to delays
//	violations.go, bounds.go            checks of the measurements against rules and bounds
//	result.go, report.go, timeline.go   the report of a run
package scaletest
