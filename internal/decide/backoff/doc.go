// Package backoff decides when each coordinator of a fleet may call the discovery service that the fleet shares.
//
// Discovery answers calls one at a time. A call that waits too long in its queue fails, but still occupies discovery.
// When a whole fleet starts or loses discovery at one instant, its first calls and its retries must therefore be spread
// over time. Coordinators do not communicate with each other: each draws the instant of its call at random from an
// interval that grows with the fleet size.
//
// # Contract
//
// A Schedule is for one coordinator and for one goroutine at a time. It has no clock: its caller reports the outcome of
// each call by Succeeded or Failed, reports a reload that names another service by ServiceChanged, and waits for the
// returned durations. With equal fields, random source and reports it returns equal durations.
//
// Every returned duration is short enough for the coordinator to learn of a change of the endpoint list before the
// change counts as notified. Longer durations occur only in a fleet that discovery cannot answer in that time.
//
// # Terms
//
//   - call slot: the time for which one call is assumed to occupy discovery.
//   - spreading interval: the time over which the calls of the whole fleet are spread, in call slots per coordinator.
//   - service time-out: how long discovery lets a call wait in its queue before it fails the call.
//   - notified: a change of the endpoint list counts as known to a coordinator, whether or not it has learned of it.
//   - in time: before a change counts as notified. Discovery can answer a fleet in time if the fleet's calls, of one
//     call slot each, take no longer than maxIntervalInTime.
//   - before expiry: before a coordinator's endpoint list expires. A coordinator retries before expiry, rather than
//     within the whole spreading interval, if the fleet's calls, of one call slot each, take no longer than
//     maxIntervalInLease.
//   - agent: a process beside the coordinator to which discovery pushes the endpoint list, and which serves only this
//     coordinator.
//
// # Files
//
//	notification.go  when a change counts as notified, and how the time until then is divided
//	schedule.go      how long to wait before each kind of call
//	spreading.go     how long the spreading interval is, and what failed calls show of discovery's load
package backoff
