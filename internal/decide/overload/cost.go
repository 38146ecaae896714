package overload

// cost learns what queries, parts and refusals cost this coordinator, in seconds of one core, from the CPU time of
// whole windows: a normalised step of least mean squares, which follows slow changes and needs no history.
type cost struct {
	query, part, refusal float64
}

const (
	firstQuery = 0.0003 // until learned: seconds, of the order seen on the platform
	firstPart  = 0.0002
	firstNo    = 0.00005
	leastCost  = 0.00001 // nothing is free, or a bad window would make it so
	mostCost   = 0.1
)

func newCost() cost { return cost{firstQuery, firstPart, firstNo} }

// of is the cost of a query with so many parts.
func (c cost) of(parts float64) float64 { return c.query + c.part*parts }

// learn takes a window's CPU time.
func (c *cost) learn(cpu, queries, parts, refusals float64) {
	norm := queries*queries + parts*parts + refusals*refusals
	if cpu <= 0 || norm == 0 {
		return
	}
	step := costGain * (cpu - c.query*queries - c.part*parts - c.refusal*refusals) / norm
	for _, w := range []struct {
		value *float64
		count float64
	}{{&c.query, queries}, {&c.part, parts}, {&c.refusal, refusals}} {
		*w.value = min(mostCost, max(leastCost, *w.value+step*w.count))
	}
}
