package scaletest

import (
	"testing"
	"time"
)

// A change comes into force at one member after four seconds; another member is started only after the change was
// published. The delay counts from the publishing until the version is complete, or from the end of the isolation for
// an isolated member. The member that was started later is not measured. A change that no running member has counts as
// never in force.
func TestDelayCountsFromPublishingOrEndOfIsolation(t *testing.T) {
	f, began := newSmallFleet(t)
	partial := listRecord("c0", began.Add(1100*time.Millisecond), 1, 4)
	partial.Complete = false
	f.records.add(partial)
	f.records.add(listRecord("c0", began.Add(5*time.Second), 1, 5))
	f.started["c1"] = []time.Time{began.Add(3 * time.Second)}
	f.records.add(listRecord("c1", began.Add(4*time.Second), 1, 5))
	delays := &propagation{records: f.records, processStarts: f.started}
	change := Publication{Resource: List, Index: 4, At: began.Add(time.Second)}
	got := delays.measure([]Publication{change}, f.members)
	if got.Samples != 1 || got.Max != Seconds(4*time.Second) || got.Never != 0 {
		t.Errorf("summary %+v, want one sample of 4s and none never in force", got)
	}
	delays.isolations = []*faultRun{{
		begin: began.Add(500 * time.Millisecond), end: began.Add(4500 * time.Millisecond), isolatedRegion: 0,
	}}
	if got := delays.measure([]Publication{change}, f.members); got.Max != Seconds(500*time.Millisecond) {
		t.Errorf("isolated member: summary %+v, want a max of 500ms", got)
	}
	change.Index = 6
	if got := delays.measure([]Publication{change}, f.members); got.Samples != 0 || got.Never != 1 {
		t.Errorf("change that no member has: summary %+v, want no sample and one never in force", got)
	}
}
