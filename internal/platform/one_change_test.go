package platform

import (
	"fmt"
	"math"
	"testing"

	"harepass/internal/core"
	"harepass/internal/decide/follower"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
)

// reader does what a coordinator does with an answer before core receives it.
type reader struct {
	state follower.State
	list  *RelayedList
	index int64
}

func newReader(tb testing.TB, replicas int) *reader {
	r := &reader{list: NewRelayedList(List{}), index: 10_000} // has the same number of digits for each list size
	r.list.KeepCopy(func() {})
	r.list.Listed = func(scatter.UpdateKind, []core.Endpoint) {}
	version := versionlog.Version{Epoch: 1, Index: r.index}
	snapshot := versionlog.Slice{Version: version, NewestIndex: r.index, Snapshot: true}
	for i := range replicas {
		snapshot.Entries = append(snapshot.Entries, oneEntry(i, int64(i+1)))
	}
	r.take(tb, snapshot)
	return r
}

func oneEntry(replica int, index int64) versionlog.Entry {
	name := fmt.Sprintf("n%04d", replica)
	return versionlog.Entry{Name: name, Index: index, Body: fmt.Appendf(nil,
		`{"version":%d,"name":%q,"address":"127.0.0.1:9","zone":"z","type":"m","group":1,"status":"in_service","weight":1,"since_ms":0}`,
		index, name)}
}

func (r *reader) take(tb testing.TB, slice versionlog.Slice) {
	if err := r.list.Check(slice.Entries); err != nil {
		tb.Fatal(err)
	}
	c, err := r.state.Apply(slice)
	if err != nil {
		tb.Fatal(err)
	}
	r.list.Apply(distribution.Update{Slice: slice, Entries: c.Entries, MissingFromSnapshot: c.MissingFromSnapshot,
		SnapshotCompleted: c.SnapshotCompleted, Complete: c.Complete})
}

// change applies the next change of one entry.
func (r *reader) change(tb testing.TB) {
	r.index++
	version := versionlog.Version{Epoch: 1, Index: r.index}
	r.take(tb, versionlog.Slice{Version: version, NewestIndex: r.index, Entries: []versionlog.Entry{oneEntry(3, r.index)}})
}

// leastAllocations returns the smallest number of allocations among many calls. A call allocates more if a pool is
// empty, which the race detector causes at random.
func leastAllocations(call func()) float64 {
	const calls = 300
	least := math.Inf(1)
	for range calls {
		least = min(least, testing.AllocsPerRun(1, call))
	}
	return least
}

// A changed entry causes no more work on a long list than on a short one, counted in allocations.
func TestOneChangeIsWorkForOne(t *testing.T) {
	short, long := newReader(t, 70), newReader(t, 7000)
	a, b := leastAllocations(func() { short.change(t) }), leastAllocations(func() { long.change(t) })
	if a != b {
		t.Errorf("%v allocations with 70 replicas, %v with 7,000; want the same number", a, b)
	}
}

// BenchmarkOneChange measures the same by time: go test -bench OneChange ./internal/platform
func BenchmarkOneChange(b *testing.B) {
	for _, replicas := range []int{70, 700, 7000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			r := newReader(b, replicas)
			for b.Loop() {
				r.change(b)
			}
		})
	}
}
