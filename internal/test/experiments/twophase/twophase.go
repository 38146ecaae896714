// Package twophase is an experiment: the same arrivals at a coordinator of one phase and at one of two, each before nodes of its
// own with the same data, changes and failures.
package twophase

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"harepass/internal/test/experiment"
)

// Experiment plays six mornings in one phase and in two.
var Experiment = experiment.Experiment{
	Name:  "two-phase",
	Short: "the same mornings in one phase and in two, without failures and with",
	Run:   run,
}

// morning is how fast the data changes: every so often, so many of the sections.
type morning struct {
	name     string
	every    time.Duration
	share    float64 // of the sections
	failures bool
	seed     uint64
}

const oneSection = 1.0 / sectionCount

var mornings = []morning{
	{"quiet", 2 * time.Second, oneSection, false, 1},
	{"half", 20 * time.Millisecond, 0.5, false, 2},
	{"all", 20 * time.Millisecond, 1, false, 3},
	{"quiet, failures", 2 * time.Second, oneSection, true, 1},
	{"half, failures", 20 * time.Millisecond, 0.5, true, 2},
	{"all, failures", 20 * time.Millisecond, 1, true, 3},
}

// Indices of mornings without failures.
const (
	quiet = iota
	half
	all
)

// The aims, as work of the nodes over that in one phase.
const (
	maxQuietWork = 0.6
	maxAllWork   = 1.05
)

// pair is a morning in one phase and in two.
type pair struct{ one, two *tally }

// work is that of the nodes in two phases over that in one.
func (p pair) work() float64 { return p.two.units / p.one.units }

// sameAnswers compares the answers during which nothing changed, by arrival.
func (p pair) sameAnswers() (compared, differing int) {
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

// playAll plays the mornings, two at a time: they share this machine.
func playAll() ([]pair, error) {
	pairs := make([]pair, len(mornings))
	for some := range slices.Chunk([]int{0, 1, 2, 3, 4, 5}, 2) {
		var wg sync.WaitGroup
		errs := make(chan error, 2*len(some))
		for _, i := range some {
			wg.Go(func() {
				t, err := play(mornings[i], false)
				pairs[i].one = t
				errs <- err
			})
			wg.Go(func() {
				t, err := play(mornings[i], true)
				pairs[i].two = t
				errs <- err
			})
		}
		wg.Wait()
		close(errs)
		for err := range errs {
			if err != nil {
				return nil, err
			}
		}
	}
	return pairs, nil
}

func run(r *experiment.Report) error {
	pairs, err := playAll()
	if err != nil {
		return err
	}
	r.Table("morning", "phases", "queries", "answered", "in part", "refused", "late", "wrong", "pruned", "units/query", "work", "p50 ms", "p99 ms")
	differing, late, wrong := 0, 0, 0
	for i, m := range mornings {
		p := pairs[i]
		addRow(r, m, 1, p.one, p.one.units)
		addRow(r, m, 2, p.two, p.one.units)
		compared, differ := p.sameAnswers()
		differing += differ
		r.Expect(m.share == 1 || m.share == 0.5 || compared > p.one.queries/2, "%s: only %d answers to compare", m.name, compared)
		late, wrong = late+p.one.late+p.two.late, wrong+p.one.wrong+p.two.wrong
	}
	quietOne, quietTwo := pairs[quiet].one, pairs[quiet].two
	r.Expect(differing == 0, "%d answers differ from those of one phase", differing)
	r.Expect(pairs[quiet].work() <= maxQuietWork, "quiet: %.2f of the work of one phase, at most %.1f wanted", pairs[quiet].work(), maxQuietWork)
	r.Expect(pairs[all].work() <= maxAllWork, "all changed: %.2f of the work of one phase, at most %.2f wanted", pairs[all].work(), maxAllWork)
	r.Expect(quietTwo.latency(99) <= quietOne.latency(99), "quiet: p99 %v in two phases, %v in one", quietTwo.latency(99), quietOne.latency(99))
	r.Figure("quiet_saved", "%.2f", 1-pairs[quiet].work())
	r.Figure("half_saved", "%.2f", 1-pairs[half].work())
	r.Figure("all_extra", "%.3f", pairs[all].work()-1)
	r.Figure("late", "%d", late)
	r.Figure("wrong", "%d", wrong)
	r.Figure("differ", "%d", differing)
	r.Figure("p99_one_ms", "%s", milliseconds(quietOne.latency(99)))
	r.Figure("p99_two_ms", "%s", milliseconds(quietTwo.latency(99)))
	return nil
}

// addRow adds what came of a run; its work is shown over that of one phase.
func addRow(r *experiment.Report, m morning, phases int, t *tally, unitsInOnePhase float64) {
	r.Row(m.name, phases, t.queries, t.answers, t.inPart, t.refused, t.late, t.wrong, fmt.Sprintf("%.0f%%", 100*t.prunedShare()),
		fmt.Sprintf("%.1f", t.units/float64(t.queries)), fmt.Sprintf("%.2f", t.units/unitsInOnePhase), milliseconds(t.latency(50)), milliseconds(t.latency(99)))
	r.Expect(t.late == 0, "%s, %d phases: %d late", m.name, phases, t.late)
	r.Expect(t.wrong == 0, "%s, %d phases: %d wrong, first: %s", m.name, phases, t.wrong, t.example)
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
