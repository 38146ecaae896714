package scaletest

import (
	"slices"
	"sort"
	"strconv"
	"time"
)

// Seconds is a duration that is encoded in JSON as a number of seconds.
type Seconds time.Duration

// MarshalJSON implements json.Marshaler.
func (s Seconds) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, time.Duration(s).Seconds(), 'f', 3, 64), nil
}

// String rounds the duration to milliseconds.
func (s Seconds) String() string { return time.Duration(s).Round(time.Millisecond).String() }

// DelaySummary summarizes the delays from the publishing of changes until they were in force, over all members and
// changes.
type DelaySummary struct {
	Median  Seconds `json:"median_s"`
	P99     Seconds `json:"p99_s"`
	Max     Seconds `json:"last_s"`
	Changes int     `json:"changes"`
	Samples int     `json:"samples"`         // measured delays
	Never   int     `json:"never,omitempty"` // pairs of a member and a change that never came into force at it
}

// summarizeDelays summarizes delays, which it sorts in place.
func summarizeDelays(changes int, delays []time.Duration, never int) DelaySummary {
	summary := DelaySummary{Changes: changes, Samples: len(delays), Never: never}
	if len(delays) == 0 {
		return summary
	}
	slices.Sort(delays)
	summary.Median, summary.P99 = quantile(delays, 0.5), quantile(delays, 0.99)
	summary.Max = Seconds(delays[len(delays)-1])
	return summary
}

// quantile returns the quantile of sorted, non-empty delays for a share from 0 to 1.
func quantile(sorted []time.Duration, share float64) Seconds {
	return Seconds(sorted[min(len(sorted)-1, int(share*float64(len(sorted))))])
}

// propagation measures when changes came into force at members.
type propagation struct {
	records       *records
	processStarts map[string][]time.Time // by member, oldest first
	isolations    []*faultRun            // faults that isolated a region
}

// delayOutcome is the result of measuring a change's delay at a member.
type delayOutcome int

const (
	notMeasured  delayOutcome = iota // the member's process was started after the change was published
	inForce                          // the change came into force, after the returned delay
	neverInForce                     // the change never came into force at the member
)

// delay returns how long a change took to come into force at a member, measured from its publishing, or from the end of
// an isolation of the member's region that delayed it. Only a complete version counts as in force.
func (p *propagation) delay(m *member, change Publication) (time.Duration, delayOutcome) {
	list := p.records.of(m.name, change.Resource)
	first := sort.Search(len(list), func(i int) bool { return list[i].covers(change) })
	for first < len(list) && !list[first].Complete {
		first++
	}
	starts := p.processStarts[m.name]
	started := starts[len(starts)-1]
	if first < len(list) {
		started = lastStartBefore(starts, list[first].At)
	}
	switch {
	case started.After(change.At):
		return 0, notMeasured
	case first == len(list):
		return 0, neverInForce
	}
	inForceAt, from := list[first].At, change.At
	for _, fault := range p.isolations {
		if m.region == fault.isolatedRegion && fault.delayed(change.At, inForceAt) {
			from = fault.end
		}
	}
	return inForceAt.Sub(from), inForce
}

// delayed reports whether the fault may have delayed a change: the change was published from faultMargin before the
// fault's beginning until its end, and came into force after its end.
func (r *faultRun) delayed(publishedAt, inForceAt time.Time) bool {
	return publishedAt.After(r.begin.Add(-faultMargin)) && publishedAt.Before(r.end) && inForceAt.After(r.end)
}

// lastStartBefore returns the last of starts, which are ordered oldest first, before an instant. It returns the zero
// time if there is none.
func lastStartBefore(starts []time.Time, instant time.Time) (last time.Time) {
	for _, start := range starts {
		if start.Before(instant) {
			last = start
		}
	}
	return last
}

// measure summarizes the delays of changes over members.
func (p *propagation) measure(changes []Publication, members []*member) DelaySummary {
	var delays []time.Duration
	never := 0
	for _, change := range changes {
		for _, m := range members {
			switch delay, outcome := p.delay(m, change); outcome {
			case inForce:
				delays = append(delays, delay)
			case neverInForce:
				never++
			}
		}
	}
	return summarizeDelays(len(changes), delays, never)
}
