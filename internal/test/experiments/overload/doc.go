// Package overload is an experiment on overload control. A coordinator on two cores, in its own process, gets one, two
// and three times its normal traffic, with overload control and without it (first come, first served). One tenant sends
// all traffic above normal, and so exceeds its quota. Afterwards the coordinator runs with slow replicas, whose answers
// fill its memory. The experiment runs in real time, so its figures depend on the machine.
//
//	overload.go       the experiment and its report
//	play.go           one run: the coordinator, its replicas and its clients
//	traffic.go        the classes, the tenants and their traffic
//	targets.go        the targets of overload control
//	slow_replicas.go  the runs with slow replicas
package overload
