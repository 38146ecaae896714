// Package loopsim simulates the event loop of a coordinator in virtual time: one server that works on queries in the
// order in which they were admitted, before replicas that always keep up. It shows what an admission control does with
// overload.
//
// # Contract
//
// Simulation.Run plays a whole simulation and returns a Result; it may be called again with another Admission. Arrivals
// are drawn from Simulation.Seed alone, so every Admission of a Simulation gets the same first attempts. Retries depend
// on what was rejected.
//
// # Where each concern stands
//
//	simulation.go  what is simulated: the traffic, the loop, and the admission control
//	clients.go     first attempts, retries, and how each attempt ends
//	loop.go        the loop's queue and work, and the signals that it gives
//	result.go      what is counted
package loopsim
