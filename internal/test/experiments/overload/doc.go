// Package overload is an experiment on overload control. A coordinator on two cores, in a process of its own, gets one,
// two and three times its normal traffic, with overload control and first come, first served. What is beyond normal
// traffic comes from one tenant, beyond its quota. Then replicas are slow, and their answers fill the memory. It runs
// in real time, so its figures depend on the machine.
//
//	overload.go       the experiment and its report
//	play.go           one play: the coordinator, its replicas and its clients
//	traffic.go        the classes, the tenants and their traffic
//	targets.go        what overload control has to reach
//	slow_replicas.go  the plays with slow replicas
package overload
