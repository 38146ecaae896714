// Package handover is an experiment on the hand-over of learned state. A new version of a coordinator takes over while
// half of the replicas warm up: once with the learned state of the old version, and once without. The experiment runs
// in virtual time, with the product's decision module and emulated replicas.
//
//	handover.go    the experiment, its targets and its report
//	simulation.go  one simulation: arrivals, the restart of replicas, the upgrade
//	version.go     the versions of the coordinator, and the actions of their modules
package handover
