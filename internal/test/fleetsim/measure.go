package fleetsim

import "slices"

// BeginPhase sets the counts of parts, attempts and worth back.
func (f *Fleet) BeginPhase() {
	f.phase = phase{}
	for _, n := range f.Nodes {
		n.Parts = 0
	}
}

// Worth is the share of the worth asked for in this phase that was earned by answers in time.
func (f *Fleet) Worth() float64 { return f.phase.earned / max(f.phase.offered, 1e-9) }

// Load is how many parts each node was sent in each second of the play: by second, then by node.
func (f *Fleet) Load() [][]int { return f.load }

// Connections is how many connections each node has open.
func (f *Fleet) Connections() (byNode []float64) {
	for _, n := range f.Nodes {
		open := 0.0
		for _, last := range n.lastUsed {
			if f.now-last <= keepAlive {
				open++
			}
		}
		byNode = append(byNode, open)
	}
	return byNode
}

// Imbalance is the largest of some loads over their mean, and Jain's index of their fairness: 1 is as even as can be.
func Imbalance(loads []float64) (largest, jain float64) {
	sum, squares := 0.0, 0.0
	for _, x := range loads {
		sum, squares = sum+x, squares+x*x
	}
	if sum == 0 {
		return 1, 1
	}
	n := float64(len(loads))
	return slices.Max(loads) * n / sum, sum * sum / (n * squares)
}
