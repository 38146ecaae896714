// Package subsetting makes the choices of one coordinator a function of its place in the fleet. Coordinators that cannot talk
// to each other, but know how many they are and which one each is, so choose what adds up: every node is kept by the same
// number of them, tried at a bounded rate, and sent a budget that is neither spent twice nor left lying in fractions.
//
// Everything here is arithmetic on the place and on what all coordinators are told alike; nobody is asked. A fleet that
// changes its size disagrees for some seconds about it: each choice says by how much the sum may then be off.
package subsetting

import "math"

// Member is a coordinator's in its fleet: the Me-th, from 0, of Of.
type Member struct{ Index, FleetSize int }

// Salt is a name's, the same at all members (FNV-1a).
func Salt(name string) (h uint64) {
	h = 14695981039346656037
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}

// HasPeers tells whether the place says anything: a fleet of one, or a member that does not know which it is, is not spread.
func (p Member) HasPeers() bool { return p.FleetSize > 1 && p.Index >= 0 && p.Index < p.FleetSize }

// at is where the place lies on a circle of length 1. The places of a fleet lie at equal distances, so any arc of length a
// holds a times their number of them, rounded up or down.
func (p Member) at() float64 {
	if !p.HasPeers() {
		return 0
	}
	return (float64(p.Index) + 0.5) / float64(p.FleetSize)
}

// Position is a coordinator's among those that have to do with one thing, in [0, 1): theirs lie at equal distances. Of the
// places of the whole fleet those that keep a node are an arc, so what they share is dealt out by their positions there.
type Position float64

// Position is the place's among all coordinators.
func (p Member) Position() Position { return Position(p.at()) }

// frac is the part of x behind the point, in [0, 1).
func frac(x float64) float64 {
	if x -= math.Floor(x); x < 1 {
		return x
	}
	return 0
}

// golden spreads whole numbers over the circle: any so many in a row lie about evenly.
const golden = 0.6180339887498949

// mix spreads the bits of a salt over a circle of length 1 (splitmix64's finaliser).
func mix(salt uint64) float64 {
	salt += 0x9e3779b97f4a7c15
	salt = (salt ^ salt>>30) * 0xbf58476d1ce4e5b9
	salt = (salt ^ salt>>27) * 0x94d049bb133111eb
	return float64((salt^salt>>31)>>11) / (1 << 53)
}
