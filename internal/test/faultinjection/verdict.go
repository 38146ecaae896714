package faultinjection

import (
	"errors"
	"fmt"
)

// breachesShown is how many breaches of the rules a verdict spells out.
const breachesShown = 5

// verdict joins an error for each expectation that was not met.
func (f *Fleet) verdict() (err error) {
	say := func(format string, args ...any) {
		f.Note("verdict", format, args...)
		err = errors.Join(err, fmt.Errorf("rig: "+format, args...))
	}
	total := f.tally()
	for _, bad := range []string{OutcomeTwice, OutcomeUntrue} {
		if total[bad] > 0 {
			say("%d requests were answered %s", total[bad], bad)
		}
	}
	if total[OutcomeLost] > f.Lost {
		say("%d requests were heard and never answered, at most %d may be", total[OutcomeLost], f.Lost)
	}
	if total["200"] == 0 {
		say("nothing was served: no load")
	}
	for _, n := range f.nodes {
		n.mu.Lock()
		if p := n.machine.Pressure(); p > 1 {
			say("%s was sent %.2f times what makes it fall", n.name, p)
		}
		n.mu.Unlock()
	}
	f.records.mu.Lock()
	defer f.records.mu.Unlock()
	for _, c := range f.site.classes {
		if !f.records.classes[c.name] {
			say("no %s was seen", c.name)
		}
	}
	for i, b := range f.records.breaches {
		if i == breachesShown {
			say("and %d more", len(f.records.breaches)-i)
			break
		}
		say("%s", b)
	}
	return err
}
