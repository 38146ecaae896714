// Package twophase is an experiment on two-phase search. The same arrivals go to a coordinator that searches in one
// phase and to one that searches in two. Each coordinator has its own replicas, with equal data, changes and faults.
// The experiment runs in real time, and concurrent runs share the machine.
//
//	twophase.go  the experiment, its scenarios ("mornings"), its targets and its report
//	play.go      one run: the site, the arrivals and the answers
//	replicas.go  the replicas, their faults and the changes of their data
//	tally.go     the counts of a run
package twophase
