// Package subsetting makes the choices of one coordinator a function of its index in the fleet, so that the choices of
// all coordinators add up although they do not talk to each other: each replica is in the subsets of equally many
// coordinators, is probed at a bounded rate, and is sent a budget that is neither spent twice nor left over in
// fractions.
//
// # Contract
//
// Everything here is arithmetic on the index, the fleet's size and what all coordinators know alike. Equal inputs give
// equal results in every process. While a fleet changes its size, its coordinators disagree about it for some seconds;
// the members of the old size and those of the new one then add up by themselves.
//
// # Terms
//
//   - circle: the interval [0, 1) with its ends joined. Members lie on it at equal distances, and so do things that are
//     to be divided among them evenly.
//   - subset: the replicas that a coordinator sends to, has connections with and learns about.
//   - key: where a replica lies on the circle, seen from the member. The subset has the lowest keys.
//   - fraction: of all replicas, those that a subset contains, from 0 to 1.
//   - ring position: where a replica lies on the ring of shards. It is no place on the circle.
//   - offset: where a coordinator lies on the circle among those that share one thing, such as a replica's budget.
//   - share: of such a budget, what one coordinator may spend.
//   - salt: a hash of what is divided, so that no coordinator comes first in all divisions.
//
// # Example
//
// A fleet has 300 coordinators, and a ring of 200 positions with one replica each holds each shard three times. A
// replica's load stays even enough where a subset has at least 0.46 of the replicas (evenFraction), which is 1.4 of a
// shard's three holders. That is rounded up to two holders, and two of three holders are 134 of 200 ring positions. So
// the fraction is 0.67: each coordinator sends to 134 replicas, and each replica hears from 201 coordinators.
//
// # Where each decision stands
//
//	member.go    where a coordinator lies among all
//	subset.go    which replicas a coordinator's subset has, and how many holders of a shard take part
//	sequence.go  whether a coordinator may spend a budget of which its share is less than one
//	slots.go     when a coordinator may do what all do at a bounded rate together
//	circle.go    arithmetic on the circle
//	hash.go      where a salt lies on the circle
package subsetting
