package capacity

import (
	"fmt"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat/distuv"
)

// Tail is what answers within an aim ask of the single parts.
type Tail struct {
	Parts  int
	Share  float64 // of the queries, answered within the aim
	Slow   float64 // of the parts that may be slower, where all are needed
	Twice  float64 // the same where each slow part has a second copy of equal chances
	Some   float64 // the same where a share of the parts may be missing
	Misses int     // parts that may be missing then
}

// tail works out what share of parts may be slow.
func tail(parts int, share, floor float64) Tail {
	t := Tail{Parts: parts, Share: share, Misses: int(float64(parts) * (1 - floor))}
	t.Slow = 1 - math.Pow(share, 1/float64(parts))
	t.Twice = math.Sqrt(t.Slow)
	low, high := 0.0, 1.0
	for range 60 { // the largest chance of a slow part that leaves no more misses than allowed often enough
		p := (low + high) / 2
		if (distuv.Binomial{N: float64(parts), P: p}).CDF(float64(t.Misses)) >= share {
			low = p
		} else {
			high = p
		}
	}
	t.Some = low
	return t
}

const (
	tailFloor     = 0.7  // least share of the weight for an answer in part, as deployed for summaries
	hedgeQuantile = 0.95 // the module's (aggregator.go): a part slower than this is overdue
	hedgeFirst    = 0.3  // of the aim: never overdue before
	hedgeLast     = 0.4  // of the aim: always overdue after
)

// tailText is the page's words and figures on the tail, for a size.
func tailText(s Size) string {
	t := tail(int(s.Parts), AnswerShare, tailFloor)
	each := s.partsEach()
	aim := AnswerAim.Seconds() * 1e3
	var b strings.Builder
	fmt.Fprintf(&b, "| question | figure | basis |\n| --- | --- | --- |\n")
	row := func(question, value, basis string) { fmt.Fprintf(&b, "| %s | %s | %s |\n", question, value, basis) }
	row(fmt.Sprintf("share of parts that may take over %v, where a query needs all %d", AnswerAim, t.Parts), fmt.Sprintf("%.5f%% (1 in %s)", 100*t.Slow, number(1/t.Slow)),
		fmt.Sprintf("derived: 1 - %g^(1/%d)", t.Share, t.Parts))
	row("the same, where each slow part has a second copy in time and both are slow independently", fmt.Sprintf("%.3f%% (1 in %s)", 100*t.Twice, number(1/t.Twice)),
		"derived: the square root of it; independence is assumed, node traces would prove it")
	row(fmt.Sprintf("the same, where an answer with %g of the weight will do: %d parts may be missing", tailFloor, t.Misses), fmt.Sprintf("%.1f%%", 100*t.Some),
		fmt.Sprintf("derived: Binomial(%d, p) <= %d in %g of all cases", t.Parts, t.Misses, t.Share))
	row("when a part is overdue, and what is left of the aim then", fmt.Sprintf("after %.1f to %.1f ms; %.1f to %.1f ms", hedgeFirst*aim, hedgeLast*aim, (1-hedgeLast)*aim, (1-hedgeFirst)*aim),
		"derived: `hedgeFirst`, `hedgeLast` of the aim")
	row("second copies where each part over its class's 95th percentile has one", fmt.Sprintf("%s a second at each node, %.0f%% more parts", number((1-hedgeQuantile)*each), 100*(1-hedgeQuantile)),
		fmt.Sprintf("derived: %g x %s parts/s", 1-hedgeQuantile, number(each)))
	row("second copies at the module's bound", fmt.Sprintf("%s a second at each node, %.0f%% more parts", number(hedgeShare*each), 100*hedgeShare),
		fmt.Sprintf("derived: `hedgeShare` %g x %s parts/s", hedgeShare, number(each)))
	return b.String()
}
