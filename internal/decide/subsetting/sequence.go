package subsetting

// maxOverdraft is what a coordinator may have sent beyond its own part of a budget and still draw a number, in parts.
const maxOverdraft = 1.0

// Sequence is a low-discrepancy sequence in [0, 1) (additive recurrence by the golden ratio). Its numbers take the
// place of random ones where a budget of the fleet leaves each coordinator less than one part: a coordinator that draws
// a number below its share of the budget may send a part.
//
// The first numbers of all coordinators that share a budget lie at equal distances. So of n coordinators with a share p
// each, n*p may send, rounded up or down, where random numbers would make it so only in the mean. Successive numbers of
// one coordinator are as even: those below any p deviate by less than two from the share p of them. A coordinator with
// several times the traffic draws several times as often, and sends as much more.
//
// The salt decides which coordinator has the lowest first number, so that none has it for all replicas.
type Sequence struct{ next float64 }

// Sequence returns the coordinator's sequence for the thing that a salt stands for.
func (o Offset) Sequence(salt uint64) Sequence { return Sequence{onCircle(float64(o) + mix(salt))} }

// Next draws a number. saved is what the coordinator has left of its own part of the budget, in parts. A
// query for which it drew may have brought several parts, so that it has overdrawn its own. If that is maxOverdraft or
// more, the result is 1, which is below no share, and no number is used up.
func (s *Sequence) Next(saved float64) (number float64) {
	if saved <= -maxOverdraft {
		return 1
	}
	number, s.next = s.next, onCircle(s.next+goldenRatio)
	return number
}
