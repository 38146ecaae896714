package subsetting

// maxOverdraft is the overdraft of a coordinator's share of a budget, in parts, from which it draws no more numbers.
const maxOverdraft = 1.0

// Sequence is a low-discrepancy sequence in [0, 1) (additive recurrence by the golden ratio). Its numbers replace
// random numbers if the share of a fleet-wide budget is less than one part for each coordinator: a coordinator that
// draws a number below its share may send a part.
//
// The first numbers of all coordinators that share a budget are spaced evenly. So of n coordinators with a share p
// each, n*p may send, rounded up or down. Random numbers would achieve that only on average. Successive numbers of one
// coordinator are just as even: of any k of them, the count below any p deviates from k*p by less than two. A
// coordinator with several times the traffic draws several times as often and sends proportionally more.
//
// The salt determines which coordinator has the lowest first number, so that it is not the same one for all replicas.
type Sequence struct{ next float64 }

// Sequence returns the coordinator's sequence for the thing that the salt identifies.
func (o Offset) Sequence(salt uint64) Sequence { return Sequence{onCircle(float64(o) + mix(salt))} }

// Next draws a number. saved is the unspent rest of the coordinator's share of the budget, in parts. It is negative if
// the share is overdrawn, because one drawn number may have admitted a query with several parts. With an overdraft of
// maxOverdraft or more, Next returns 1, which is not below any share, and uses up no number.
func (s *Sequence) Next(saved float64) (number float64) {
	if saved <= -maxOverdraft {
		return 1
	}
	number, s.next = s.next, onCircle(s.next+goldenRatio)
	return number
}
