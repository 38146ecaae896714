package overload

// cost learns what queries, parts and refusals cost this coordinator, in seconds of one core, from the CPU time of
// whole windows: least squares with forgetting, drawn to first values by a ridge. So windows with little
// in them, whose CPU time is of other things, move it little, and what always comes together keeps its proportion.
type cost struct {
	query, part, refusal float64

	sums  [3][3]float64 // of products of the first values' costs
	wants [3]float64    // and of these with the CPU time
}

const (
	firstQuery = 0.0003 // seconds, as seen on the machines of the platform
	firstPart  = 0.0001
	firstNo    = 0.00005
	costKeep   = 0.996 // of the sums, in a window: ten seconds or so
	costRidge  = 0.02  // weight of the first values: of a second or so of one core
	leastCost  = 0.2   // of the first values
	mostCost   = 30.0
)

func newCost() cost { return cost{query: firstQuery, part: firstPart, refusal: firstNo} }

// of is the cost of a query with so many parts.
func (c cost) of(parts float64) float64 { return c.query + c.part*parts }

// learn takes a window's CPU time.
func (c *cost) learn(cpu, queries, parts, refusals float64) {
	x := [3]float64{queries * firstQuery, parts * firstPart, refusals * firstNo}
	var a [3][4]float64
	for i := range x {
		for j := range x {
			c.sums[i][j] = costKeep*c.sums[i][j] + x[i]*x[j]
			a[i][j] = c.sums[i][j]
		}
		c.wants[i] = costKeep*c.wants[i] + x[i]*cpu
		a[i][i] += costRidge
		a[i][3] = c.wants[i] + costRidge
	}
	for i := range a { // the ridge keeps every pivot above 0
		for j := i + 1; j < len(a); j++ {
			f := a[j][i] / a[i][i]
			for k := i; k < 4; k++ {
				a[j][k] -= f * a[i][k]
			}
		}
	}
	var m [3]float64 // in first values
	for i := len(a) - 1; i >= 0; i-- {
		m[i] = a[i][3]
		for j := i + 1; j < len(a); j++ {
			m[i] -= a[i][j] * m[j]
		}
		m[i] /= a[i][i]
	}
	for i, v := range m {
		m[i] = min(mostCost, max(leastCost, v))
	}
	c.query, c.part, c.refusal = m[0]*firstQuery, m[1]*firstPart, m[2]*firstNo
}
