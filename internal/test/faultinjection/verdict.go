package faultinjection

import (
	"errors"
	"fmt"
)

// violationsShown is how many violations of rules a verdict spells out.
const violationsShown = 5

// verdict joins an error that wraps ErrRuleViolated for each expectation that was not met.
func (f *Fleet) verdict() (err error) {
	report := func(format string, args ...any) {
		f.Note(sourceVerdict, format, args...)
		err = errors.Join(err, fmt.Errorf("%w: %s", ErrRuleViolated, fmt.Sprintf(format, args...)))
	}
	f.judgeOutcomes(report)
	for _, r := range f.replicas {
		if pressure := r.pressure(); pressure > 1 {
			report("%s was sent %.2f times what it tolerates in slow start", r.name, pressure)
		}
	}
	f.checker.report(report)
	return err
}

// judgeOutcomes reports wrong and lost answers, and a fleet that served nothing: its checks would show nothing.
func (f *Fleet) judgeOutcomes(report func(format string, args ...any)) {
	total := f.outcomes()
	for _, outcome := range []string{OutcomeDuplicateAnswer, OutcomeWrongAnswer} {
		if total[outcome] > 0 {
			report("%d requests were answered %s", total[outcome], outcome)
		}
	}
	if total[OutcomeLost] > f.MaxLost {
		report("%d requests were read and never answered, at most %d may be", total[OutcomeLost], f.MaxLost)
	}
	if total["200"] == 0 {
		report("nothing was served: no load")
	}
}

// report reports classes that were never seen, and the first of the violations.
func (c *ruleChecker) report(report func(format string, args ...any)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, class := range c.fleet.site.classes {
		if !c.classesSeen[class.name] {
			report("no %s was seen", class.name)
		}
	}
	for i, violation := range c.violations {
		if i == violationsShown {
			report("and %d more", len(c.violations)-i)
			break
		}
		report("%s", violation)
	}
}
