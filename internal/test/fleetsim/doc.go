// Package fleetsim simulates a fleet of coordinators in virtual time. Each coordinator runs the product's decision
// module and sends to emulated replicas with queues, slow starts and connections. A simulation runs faster than real
// time, and covers fleets that are too large to run as processes on one machine.
//
// # Contract
//
// New sets up a Fleet, whose clock advances only during Run. Between calls of Run a caller may change the replicas
// (Restart, Down, Unresponsive) and publish the endpoint list again. The coordinators learn of a changed StartedAt only
// through PublishEndpointList. Only one goroutine may use a Fleet. Two fleets with equal Configs and equal calls behave
// identically, because Config.Seed seeds all random draws.
//
// # What is simulated
//
// Queries arrive as a Poisson process. Each query needs consecutive shards, and goes to a coordinator drawn with a
// probability proportional to its traffic. An answer earns its priority weight if it arrives within the latency
// objective; see measurement.go.
//
// # Files
//
//	config.go       the size of a fleet, its traffic, and the settings of its coordinators
//	fleet.go        the virtual clock and the scheduled events
//	coordinator.go  start, restart and resize of coordinators, and the actions of their modules
//	traffic.go      the arriving queries
//	replica.go      the emulated replicas
//	measurement.go  counts, earned priority weight and load imbalance
package fleetsim
