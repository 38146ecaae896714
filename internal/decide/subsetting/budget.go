package subsetting

// Lot draws numbers in [0, 1) that stand in for random ones where a budget of the whole fleet leaves each coordinator less
// than one part: who draws a number under its share of a budget may send. The first draws of all who share the budget lie at equal
// distances, so that of M members with a share p each, M p may send, rounded up or down, and not a number that is right in
// the mean only; the draws of one member are as even, so a share of them under any p is taken within two of p. Members
// with several times the traffic draw so much more often, and send so much more.
//
// Whoever comes first differs from node to node by the salt, so that no member is the first at all of them. Where members
// disagree about the size for a while, those of the old fleet and those of the new one are each as even by themselves.
type Lot struct{ at float64 }

// Lot is for one node and one occasion, told apart by the salt.
func (s Seat) Lot(salt uint64) Lot { return Lot{frac(float64(s) + mix(salt))} }

// Next draws. Who owes its own part of the budget a whole part and more, since a query that it drew for brought several,
// draws in vain until that is made up for.
func (l *Lot) Next(saved float64) (v float64) {
	if saved <= -1 {
		return 1
	}
	v, l.at = l.at, frac(l.at+golden)
	return v
}
