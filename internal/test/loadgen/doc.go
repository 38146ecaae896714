// Package loadgen sends open-loop traffic to an OpenSearch-style front and counts the outcomes.
//
// # Contract
//
// ReadPlan reads a Plan from YAML, and Plan.Run sends its traffic in real time to a front on a loopback address. All
// first attempts are drawn in advance from Plan.Seed. Each is sent when it is due, whatever the outcome of earlier
// ones, and its latency counts from that instant, so that a slow front cannot slow down the traffic. Result.Write
// writes a Result as JSON, and ReadResults reads it back.
//
// # Files
//
//	plan.go       what a plan contains, and its validation
//	arrivals.go   the random first attempts
//	run.go        the clients, their retries, and the end of a run
//	request.go    a single HTTP request
//	counting.go   how the end of an attempt is counted, and the final sums
//	result.go     the result and its output formats
package loadgen
