package scaletest

import (
	"slices"
	"sort"
	"strconv"
	"time"
)

// Measured are times from the publishing of changes until they were in force, over all members and changes.
type DelaySummary struct {
	Median  Seconds `json:"median_s"`
	P99     Seconds `json:"p99_s"`
	Max     Seconds `json:"last_s"`
	Changes int     `json:"changes"`
	Samples int     `json:"samples"`
	Never   int     `json:"never,omitempty"` // members that never had a change in force, summed over the changes
}

// Seconds is a time that JSON has in seconds.
type Seconds time.Duration

// MarshalJSON implements json.Marshaler.
func (s Seconds) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, time.Duration(s).Seconds(), 'f', 3, 64), nil
}

// String words it to the millisecond.
func (s Seconds) String() string { return time.Duration(s).Round(time.Millisecond).String() }

// measuredOf sums up some times.
func summarizeDelays(changes int, times []time.Duration, never int) DelaySummary {
	m := DelaySummary{Changes: changes, Samples: len(times), Never: never}
	if len(times) == 0 {
		return m
	}
	slices.Sort(times)
	m.Median, m.P99, m.Max = quantile(times, 0.5), quantile(times, 0.99), Seconds(times[len(times)-1])
	return m
}

// quantile is that of sorted times.
func quantile(sorted []time.Duration, share float64) Seconds {
	return Seconds(sorted[min(len(sorted)-1, int(share*float64(len(sorted))))])
}

// held are the times at which each member had a change in force, from its publishing on or from the end of a cut that kept
// its member from it. Members whose process was started after the publishing are left out.
type propagation struct {
	records       *records
	processStarts map[string][]time.Time
	isolations    []*faultRun
}

// delay is how long a member took to have a change in force; counts is false where it says nothing, and ever where it never
// had it.
func (h *propagation) delay(m *member, p Publication) (d time.Duration, counts, ever bool) {
	list := h.records.of(m.name, p.Resource)
	i := sort.Search(len(list), func(i int) bool { return list[i].covers(p) })
	for i < len(list) && !list[i].Complete {
		i++
	}
	starts := h.processStarts[m.name]
	started := starts[len(starts)-1]
	if i < len(list) {
		started = lastStartBefore(starts, list[i].At)
	}
	if started.After(p.At) {
		return 0, false, false
	}
	if i == len(list) {
		return 0, true, false
	}
	from := p.At
	for _, o := range h.isolations {
		if m.region == o.isolatedRegion && p.At.After(o.begin.Add(-time.Second)) && p.At.Before(o.end) && list[i].At.After(o.end) {
			from = o.end
		}
	}
	return list[i].At.Sub(from), true, true
}

// startBefore is the last of some starts before an instant.
func lastStartBefore(starts []time.Time, by time.Time) (start time.Time) {
	for _, s := range starts {
		if s.Before(by) {
			start = s
		}
	}
	return start
}

// has tells whether a record holds a change.
func (t VersionRecord) covers(p Publication) bool {
	if p.Index == 0 { // the fleet without distribution, whose discovery counts for itself
		return t.Sequence >= p.Sequence
	}
	return t.Index >= p.Index
}

// measure sums up some changes over some members.
func (h *propagation) measure(changes []Publication, members []*member) DelaySummary {
	var times []time.Duration
	never := 0
	for _, p := range changes {
		for _, m := range members {
			d, counts, ever := h.delay(m, p)
			switch {
			case counts && ever:
				times = append(times, d)
			case counts:
				never++
			}
		}
	}
	return summarizeDelays(len(changes), times, never)
}
