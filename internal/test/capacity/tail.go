package capacity

import (
	"fmt"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat/distuv"
)

// Tail states how many single parts may be slow if a share of the queries must be answered within the aim.
type Tail struct {
	Parts            int
	Share            float64 // of queries that are answered within the aim
	SlowShare        float64 // share of parts that may be slower than the aim if a query needs all its parts
	Twice            float64 // the same if each slow part has a second copy that is slow with the same probability
	SlowSharePartial float64 // the same if MissingParts parts of a query may be missing
	MissingParts     int     // parts of a query that may be missing in that case
}

// tail calculates a Tail for queries with the given number of parts; floor is the least share of parts of an answer.
func tail(parts int, share, floor float64) Tail {
	t := Tail{Parts: parts, Share: share, MissingParts: int(float64(parts) * (1 - floor))}
	t.SlowShare = 1 - math.Pow(share, 1/float64(parts))
	t.Twice = math.Sqrt(t.SlowShare)
	low, high := 0.0, 1.0
	for range 60 { // bisects for the largest probability of a slow part that leaves enough queries complete enough
		p := (low + high) / 2
		if (distuv.Binomial{N: float64(parts), P: p}).CDF(float64(t.MissingParts)) >= share {
			low = p
		} else {
			high = p
		}
	}
	t.SlowSharePartial = low
	return t
}

const (
	tailFloor     = 0.7  // minimum fraction of the weight in a partial answer, as deployed for summaries
	hedgeQuantile = 0.95 // of the decision module: a part slower than this quantile is overdue
	hedgeFirst    = 0.3  // of the aim; a part is never overdue before it
	hedgeLast     = 0.4  // of the aim; a part is always overdue after it
)

// tailText returns the page's table on the tail for a size.
func tailText(s Size) string {
	t := tail(int(s.Parts), AnswerShare, tailFloor)
	each := s.partsEach()
	aim := AnswerAim.Seconds() * 1e3
	var b strings.Builder
	fmt.Fprintf(&b, "| question | figure | basis |\n| --- | --- | --- |\n")
	row := func(question, value, basis string) { fmt.Fprintf(&b, "| %s | %s | %s |\n", question, value, basis) }
	row(fmt.Sprintf("share of parts that may take over %v, where a query needs all %d", AnswerAim, t.Parts), fmt.Sprintf("%.5f%% (1 in %s)", 100*t.SlowShare, number(1/t.SlowShare)),
		fmt.Sprintf("derived: 1 - %g^(1/%d)", t.Share, t.Parts))
	row("the same, where each slow part has a second copy in time and both are slow independently", fmt.Sprintf("%.3f%% (1 in %s)", 100*t.Twice, number(1/t.Twice)),
		"derived: the square root of it; independence is assumed, node traces would prove it")
	row(fmt.Sprintf("the same, where an answer with %g of the weight will do: %d parts may be missing", tailFloor, t.MissingParts), fmt.Sprintf("%.1f%%", 100*t.SlowSharePartial),
		fmt.Sprintf("derived: Binomial(%d, p) <= %d in %g of all cases", t.Parts, t.MissingParts, t.Share))
	row("when a part is overdue, and what is left of the aim then", fmt.Sprintf("after %.1f to %.1f ms; %.1f to %.1f ms", hedgeFirst*aim, hedgeLast*aim, (1-hedgeLast)*aim, (1-hedgeFirst)*aim),
		"derived: `hedgeFirst`, `hedgeLast` of the aim")
	row("second copies where each part over its class's 95th percentile has one", fmt.Sprintf("%s a second at each node, %.0f%% more parts", number((1-hedgeQuantile)*each), 100*(1-hedgeQuantile)),
		fmt.Sprintf("derived: %g x %s parts/s", 1-hedgeQuantile, number(each)))
	row("second copies at the module's bound", fmt.Sprintf("%s a second at each node, %.0f%% more parts", number(hedgeShare*each), 100*hedgeShare),
		fmt.Sprintf("derived: `hedgeShare` %g x %s parts/s", hedgeShare, number(each)))
	return b.String()
}
