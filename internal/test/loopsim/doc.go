// Package loopsim simulates the event loop of a coordinator in virtual time: a single server that processes queries in
// the order of their admission. The simulation assumes that the replicas always keep up. It shows how an admission
// control handles overload.
//
// # Contract
//
// Simulation.Run runs a whole simulation and returns a Result. It may be called again with another Admission. Arrivals
// are drawn from Simulation.Seed alone, so each Admission gets the same first attempts. Retries depend on the attempts
// that the Admission rejects.
//
// # Files
//
//	simulation.go  the simulation: its traffic, its loop and the admission control
//	clients.go     first attempts, retries, and the outcome of each attempt
//	loop.go        the loop's queue, its work, and the signals for the admission control
//	result.go      the counts and the recorded waits
package loopsim
