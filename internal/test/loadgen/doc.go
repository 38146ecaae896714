// Package loadgen sends open-loop traffic to an OpenSearch-style front and counts what came of it.
//
// # Contract
//
// ReadPlan reads a Plan from YAML, and Plan.Run plays it in real time against a front on a loopback address. All first
// attempts are drawn ahead from Plan.Seed. They go out when they are due, whatever became of earlier ones, and their
// latency counts from then, so that a slow front cannot slow the traffic down. A Result is written as JSON;
// ReadResults reads it again.
//
// # Where each concern stands
//
//	plan.go       what a plan is, and which plans are invalid
//	arrivals.go   the draw of the first attempts
//	run.go        the clients, their retries, and the end of a run
//	request.go    one HTTP request
//	counting.go   how an attempt counts, and the sums at the end
//	result.go     the result and its forms
package loadgen
