package overload

// Initial cost estimates, in core seconds.
const (
	initialQueryCost     = 0.0003
	initialPartCost      = 0.0001
	initialRejectionCost = 0.00005
)

const (
	// costMemory is the factor by which each new window decays the sums over the earlier windows. They fade within
	// about ten seconds.
	costMemory = 0.996
	// costRidge is the weight of the initial costs: that of windows with about one second of work on one core.
	costRidge = 0.02
	// minCostFactor is the lowest cost that is learned, as a multiple of the initial cost.
	minCostFactor = 0.2
	// maxCostFactor is the highest cost that is learned, as a multiple of the initial cost.
	maxCostFactor = 30.0
)

// costKinds is the number of kinds of work: queries, parts, rejections.
const costKinds = 3

// costModel learns the cost of each kind of work from the CPU time of whole windows, by least squares with exponential
// forgetting and ridge regularization towards the initial costs. So a window with little work, whose CPU time was spent
// on something else, changes the costs little, and kinds that always occur together keep the ratio of their initial
// costs.
type costModel struct {
	query     float64 // core seconds for a query, besides its parts
	part      float64 // core seconds for a part
	rejection float64 // core seconds for a rejected query

	products  [costKinds][costKinds]float64 // decayed sums of the products of two kinds' work, in initial costs
	responses [costKinds]float64            // decayed sums of the products of a kind's work and the CPU time
}

func newCostModel() costModel {
	return costModel{query: initialQueryCost, part: initialPartCost, rejection: initialRejectionCost}
}

// ofQuery returns the cost of a query with the given number of parts, in core seconds.
func (c costModel) ofQuery(parts float64) float64 { return c.query + c.part*parts }

// learn updates the costs with a window's CPU time, in core seconds, and the amount of work of each kind in it.
func (c *costModel) learn(cpu, queries, parts, rejections float64) {
	work := [costKinds]float64{
		queries * initialQueryCost, parts * initialPartCost, rejections * initialRejectionCost,
	}
	for i := range work {
		for j := range work {
			c.products[i][j] = costMemory*c.products[i][j] + work[i]*work[j]
		}
		c.responses[i] = costMemory*c.responses[i] + work[i]*cpu
	}
	factors := c.solve()
	for i, f := range factors {
		factors[i] = min(maxCostFactor, max(minCostFactor, f))
	}
	c.query = factors[0] * initialQueryCost
	c.part = factors[1] * initialPartCost
	c.rejection = factors[2] * initialRejectionCost
}

// solve returns the costs that fit the sums best, as multiples of the initial costs, by Gaussian elimination. The ridge
// keeps every pivot above 0.
func (c *costModel) solve() (factors [costKinds]float64) {
	var a [costKinds][costKinds + 1]float64
	for i := range a {
		copy(a[i][:], c.products[i][:])
		a[i][i] += costRidge
		a[i][costKinds] = c.responses[i] + costRidge
	}
	for i := range a {
		for j := i + 1; j < len(a); j++ {
			f := a[j][i] / a[i][i]
			for k := i; k < len(a[j]); k++ {
				a[j][k] -= f * a[i][k]
			}
		}
	}
	for i := len(a) - 1; i >= 0; i-- {
		factors[i] = a[i][costKinds]
		for j := i + 1; j < len(a); j++ {
			factors[i] -= a[i][j] * factors[j]
		}
		factors[i] /= a[i][i]
	}
	return factors
}
