package subsetting

// Sequence is a low-discrepancy sequence in [0, 1) (additive recurrence by the golden ratio). Its numbers stand in for random
// ones where a budget of the whole fleet leaves each coordinator less than one part: a coordinator that draws a number under its
// share of the budget may send. The first numbers of all that share the budget lie at equal distances, so that of M members with
// a share p each, M p may send, rounded up or down, and not a number that is right in the mean only; the numbers of one member
// are as even, so a share of them under any p is taken within two of p. Members with several times the traffic draw so much more
// often, and send so much more.
//
// Which member comes first differs from node to node by the salt, so that no member is the first at all of them. Where members
// disagree about the size for a while, those of the old fleet and those of the new one are each as even by themselves.
type Sequence struct{ at float64 }

// Sequence is for one node and one occasion, which the salt tells apart.
func (p Position) Sequence(salt uint64) Sequence { return Sequence{frac(float64(p) + mix(salt))} }

// Next draws a number. A member that owes its own part of the budget a whole part and more, since a query that it drew for
// brought several, draws 1, which is under no share, until that is made up for.
func (s *Sequence) Next(saved float64) (v float64) {
	if saved <= -1 {
		return 1
	}
	v, s.at = s.at, frac(s.at+golden)
	return v
}
