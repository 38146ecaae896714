package twophase

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"harepass/internal/test/experiment"
)

// Experiment runs six mornings with one-phase and with two-phase search.
var Experiment = experiment.Experiment{
	Name:  "two-phase",
	Short: "the same mornings in one phase and in two, without failures and with",
	Run:   run,
}

// morning is a scenario: how the data changes during a run, and whether replicas have faults.
type morning struct {
	name         string
	interval     time.Duration // time between changes
	changedShare float64       // share of the shards that each change touches
	faults       bool          // whether replicas have faults
	seed         uint64        // seeds all random draws
}

const oneShard = 1.0 / shards

var mornings = []morning{
	{"quiet", 2 * time.Second, oneShard, false, 1},
	{"half", 20 * time.Millisecond, 0.5, false, 2},
	{"all", 20 * time.Millisecond, 1, false, 3},
	{"quiet, failures", 2 * time.Second, oneShard, true, 1},
	{"half, failures", 20 * time.Millisecond, 0.5, true, 2},
	{"all, failures", 20 * time.Millisecond, 1, true, 3},
}

// concurrentMornings is the number of mornings that run at a time, each in one phase and in two.
const concurrentMornings = 2

// Indices, in mornings, of the mornings without faults.
const (
	quiet = iota
	half
	all
)

// The targets: most work of the replicas in two phases, as a multiple of their work in one phase.
const (
	maxQuietWork = 0.6
	maxAllWork   = 1.05
)

// pair holds the tallies of a morning in one phase and in two.
type pair struct{ one, two *tally }

// workRatio returns the work of the replicas in two phases, as a multiple of their work in one phase.
func (p pair) workRatio() float64 { return p.two.workUnits / p.one.workUnits }

// compareAnswers compares the one-phase and the two-phase answer to each arrival for which both are complete and the
// data did not change during either query.
func (p pair) compareAnswers() (compared, differing int) {
	for arrival, hits := range p.one.unchanged {
		other := p.two.unchanged[arrival]
		if hits == "" || other == "" {
			continue
		}
		compared++
		if hits != other {
			differing++
		}
	}
	return compared, differing
}

// runMornings runs all mornings in one phase and in two. The pairs are in the order of mornings.
func runMornings() ([]pair, error) {
	pairs := make([]pair, len(mornings))
	for group := range slices.Chunk(indicesOf(mornings), concurrentMornings) {
		var wg sync.WaitGroup
		errs := make([]error, 2*len(mornings))
		for _, i := range group {
			wg.Go(func() { pairs[i].one, errs[2*i] = runMorning(mornings[i], false) })
			wg.Go(func() { pairs[i].two, errs[2*i+1] = runMorning(mornings[i], true) })
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return nil, fmt.Errorf("twophase: run mornings: %w", err)
		}
	}
	return pairs, nil
}

func indicesOf(list []morning) (indices []int) {
	for i := range list {
		indices = append(indices, i)
	}
	return indices
}

// run runs all mornings and reports the results.
func run(r *experiment.Report) error {
	pairs, err := runMornings()
	if err != nil {
		return err
	}
	r.Table("morning", "phases", "queries", "answered", "in part", "refused", "late", "wrong", "pruned", "units/query",
		"work", "p50 ms", "p99 ms")
	differing, late, wrong := 0, 0, 0
	for i, m := range mornings {
		p := pairs[i]
		addRow(r, m, 1, p.one, p.one.workUnits)
		addRow(r, m, 2, p.two, p.one.workUnits)
		compared, differ := p.compareAnswers()
		differing += differ
		r.Expect(m.changedShare != oneShard || compared > p.one.queries/2,
			"%s: only %d answers to compare", m.name, compared)
		late, wrong = late+p.one.late+p.two.late, wrong+p.one.wrong+p.two.wrong
	}
	judge(r, pairs, differing)
	r.Figure("quiet_saved", "%.2f", 1-pairs[quiet].workRatio())
	r.Figure("half_saved", "%.2f", 1-pairs[half].workRatio())
	r.Figure("all_extra", "%.3f", pairs[all].workRatio()-1)
	r.Figure("late", "%d", late)
	r.Figure("wrong", "%d", wrong)
	r.Figure("differ", "%d", differing)
	r.Figure("p99_one_ms", "%s", milliseconds(pairs[quiet].one.latency(99)))
	r.Figure("p99_two_ms", "%s", milliseconds(pairs[quiet].two.latency(99)))
	return nil
}

// judge checks the pairs against the targets.
func judge(r *experiment.Report, pairs []pair, differing int) {
	quietOne, quietTwo := pairs[quiet].one.latency(99), pairs[quiet].two.latency(99)
	r.Expect(differing == 0, "%d answers differ from those of one phase", differing)
	r.Expect(pairs[quiet].workRatio() <= maxQuietWork, "quiet: %.2f of the work of one phase, at most %.1f wanted",
		pairs[quiet].workRatio(), maxQuietWork)
	r.Expect(pairs[all].workRatio() <= maxAllWork, "all changed: %.2f of the work of one phase, at most %.2f wanted",
		pairs[all].workRatio(), maxAllWork)
	r.Expect(quietTwo <= quietOne, "quiet: p99 %v in two phases, %v in one", quietTwo, quietOne)
}

// addRow adds the table row of a run, and checks that no answer was late or wrong. The row shows the work as a multiple
// of the work in one phase.
func addRow(r *experiment.Report, m morning, phases int, t *tally, workInOnePhase float64) {
	r.Row(m.name, phases, t.queries, t.answers, t.incomplete, t.rejected, t.late, t.wrong,
		fmt.Sprintf("%.0f%%", 100*t.prunedShare()), fmt.Sprintf("%.1f", t.workUnits/float64(t.queries)),
		fmt.Sprintf("%.2f", t.workUnits/workInOnePhase), milliseconds(t.latency(50)), milliseconds(t.latency(99)))
	r.Expect(t.late == 0, "%s, %d phases: %d late", m.name, phases, t.late)
	r.Expect(t.wrong == 0, "%s, %d phases: %d wrong, first: %s", m.name, phases, t.wrong, t.firstViolation)
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
