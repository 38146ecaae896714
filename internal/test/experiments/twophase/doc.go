// Package twophase is an experiment on two-phase search. Equal arrivals go to a coordinator of one phase and to one of
// two, each before replicas of its own with equal data, changes and faults. It runs in real time, and the plays share
// the machine.
//
//	twophase.go  the experiment, its plays and its report
//	play.go      one play: the site, the arrivals and the answers
//	replicas.go  the replicas, their faults and the changes of their data
//	tally.go     what is counted of a play
package twophase
