// Package fleetsim simulates a fleet of coordinators in virtual time. Each coordinator runs the decision module of the
// product; the replicas that it sends to are emulated, with queues, slow starts and connections. A simulation runs
// faster than real time, so it shows fleets that no machine can hold as processes.
//
// # Contract
//
// New sets a Fleet up, and its clock then stands still between calls of Run. Between those calls a caller may change
// the replicas (Restart, Down, Unresponsive) and publish the endpoint list anew. The coordinators hear of a change of
// StartedAt only by PublishEndpointList. A Fleet is used by one goroutine. Two fleets with equal Configs and equal
// calls act alike: all draws come from Config.Seed.
//
// # What is simulated
//
// Queries arrive as a Poisson process. Each asks for consecutive shards, and reaches a coordinator that is drawn by its
// share of the traffic. An answer earns its priority weight if it arrives within the latency objective; see
// measurement.go.
//
// # Where each concern stands
//
//	config.go       the size of a fleet, its traffic, and the settings of its coordinators
//	fleet.go        the clock and the events
//	coordinator.go  start, restart and resize of coordinators; what their modules decide
//	traffic.go      arriving queries
//	replica.go      the emulated replicas
//	measurement.go  what is counted
package fleetsim
