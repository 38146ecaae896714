// Package backoff decides when one coordinator of many may call discovery, which all of them share.
//
// Discovery answers calls one after another. A call that waits too long there fails and has occupied discovery for
// nothing. A fleet that starts, or that loses discovery, at one instant must therefore neither call at one instant nor
// retry at one. Coordinators do not talk to each other: each draws the instant of its call from an interval that grows
// with the fleet.
//
// # Contract
//
// A Schedule is for one coordinator and for one goroutine at a time. It has no clock: its caller reports the outcome of
// each call by Succeeded or Failed, a reload that names another service by ServiceChanged, and waits for the durations
// that it gets back. With equal fields, random source and reports it returns equal durations.
//
// Every duration is short enough for a coordinator to learn of a change of the endpoint list before that counts as
// notified to it. Only a fleet that discovery cannot answer in that time is spread over more.
//
// # Terms
//
//   - call slot: the time for which one call is assumed to occupy discovery.
//   - spreading interval: the time over which the calls of the whole fleet are spread, in call slots per coordinator.
//   - service time-out: how long discovery lets a call wait before it fails it.
//   - notified: a change of the endpoint list counts as known to a coordinator, whether or not it has learned of it.
//   - in time: before a change counts as notified. Discovery can answer a fleet in time whose calls, of one call slot
//     each, take no longer than maxIntervalInTime.
//   - to hurry: to call again before the endpoint list expires, rather than spread over the whole interval. A fleet may
//     do so whose calls, of one call slot each, take no longer than maxIntervalToHurry.
//   - agent: a process beside the coordinator to which discovery pushes the endpoint list, and which serves only it.
//
// # Where each decision stands
//
//	notification.go  when a change counts as notified, and how the time until then is divided
//	schedule.go      how long to wait before each kind of call
//	spreading.go     how long the spreading interval is, and what failures show of discovery's load
package backoff
