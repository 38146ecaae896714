// Package handover is an experiment on the hand-over of learned state. A new version of a coordinator takes over while
// half of the replicas warm up: once with what the old version has learned, and once without. It runs in virtual time,
// with the product's decision module before emulated replicas.
//
//	handover.go    the experiment, its targets and its report
//	simulation.go  one play: arrivals, the restart of replicas, the upgrade
//	version.go     the versions of the coordinator and what their modules decide
package handover
