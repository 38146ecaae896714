package faultinjection

import (
	"errors"
	"fmt"
)

// breachesShown is how many breaches of the rules a verdict spells out.
const violationsShown = 5

// verdict joins an error for each expectation that was not met.
func (f *Fleet) verdict() (err error) {
	say := func(format string, args ...any) {
		f.Note("verdict", format, args...)
		err = errors.Join(err, fmt.Errorf("rig: "+format, args...))
	}
	total := f.outcomes()
	for _, bad := range []string{OutcomeDuplicateAnswer, OutcomeWrongAnswer} {
		if total[bad] > 0 {
			say("%d requests were answered %s", total[bad], bad)
		}
	}
	if total[OutcomeLost] > f.MaxLost {
		say("%d requests were heard and never answered, at most %d may be", total[OutcomeLost], f.MaxLost)
	}
	if total["200"] == 0 {
		say("nothing was served: no load")
	}
	for _, n := range f.replicas {
		n.mu.Lock()
		if p := n.machine.Pressure(); p > 1 {
			say("%s was sent %.2f times what makes it fall", n.name, p)
		}
		n.mu.Unlock()
	}
	f.checker.mu.Lock()
	defer f.checker.mu.Unlock()
	for _, c := range f.site.classes {
		if !f.checker.classesSeen[c.name] {
			say("no %s was seen", c.name)
		}
	}
	for i, b := range f.checker.violations {
		if i == violationsShown {
			say("and %d more", len(f.checker.violations)-i)
			break
		}
		say("%s", b)
	}
	return err
}
