// Package subsetting derives the choices of a coordinator from its index in the fleet. So the choices of all
// coordinators add up without communication between them: each replica is in the subsets of the same number of
// coordinators, is probed at a bounded rate, and is sent its budget without double spending and without unused
// fractions.
//
// # Contract
//
// All functions compute their results from the index, the fleet size and values that all coordinators know. Equal
// inputs give equal results in every process. While the fleet size changes, coordinators disagree about it for some
// seconds. The choices of the coordinators with the old size and of those with the new size then each add up
// separately.
//
// # Terms
//
//   - circle: the interval [0, 1) with its ends joined. Members are placed on it at equal distances, and so are the
//     things that are to be divided evenly among them.
//   - subset: the replicas that a coordinator sends to, has connections with and learns about.
//   - key: a replica's position on the circle relative to the member. The subset contains the lowest keys.
//   - fraction: the part of all replicas that a subset contains, from 0 to 1.
//   - ring position: a replica's position on the ring of shards. It is unrelated to the circle.
//   - offset: a coordinator's position on the circle among those that share one thing, such as a replica's budget.
//   - share: the part of such a budget that one coordinator may spend.
//   - salt: a hash of the thing that is divided. It keeps one coordinator from being first in all divisions.
//
// # Example
//
// A fleet has 300 coordinators. A ring has 200 positions with one replica each and holds each shard three times. A
// replica's load stays even enough if a subset contains at least 0.46 of the replicas (evenFraction), which is 1.4 of a
// shard's three holders. That is rounded up to two holders, and two of three holders are 134 of 200 ring positions. So
// the fraction is 0.67: each coordinator sends to 134 replicas, and each replica gets parts from 201 coordinators.
//
// # Where each decision is made
//
//	member.go    a coordinator's position among all coordinators
//	subset.go    which replicas a coordinator's subset contains, and how many holders of a shard it sends to
//	sequence.go  whether a coordinator may send a part if its share of a budget is less than one part
//	slots.go     when a coordinator may act, so that all coordinators together act at a bounded rate
//	circle.go    arithmetic on the circle
//	hash.go      a salt's position on the circle
package subsetting
