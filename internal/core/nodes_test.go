package core

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// newFleetRig has a list of so many nodes, one to a cell, of which one is out by hand.
func newFleetRig(t testing.TB, nodes int) *rig {
	r := newRig(t, func(c *Config) {
		c.Settings.RingSize, c.Settings.ReplicationFactor, c.Settings.Coordinators, c.Settings.Ordinal = nodes, 3, 1500, 700
		c.Limits.Shards = nodes
	})
	var list []Endpoint
	for i := range nodes {
		list = append(list, fleetNode(i))
	}
	r.UpdateEndpoints("test", scatter.FullUpdate, list)
	r.SetMaintenance(maintenance.Register{"n1": {Out: true, At: r.clock}})
	for r.turn(); len(r.lists) > 0; {
		r.pass(ms)
	}
	return r
}

func fleetNode(i int) Endpoint {
	return Endpoint{Replica: scatter.Replica{ID: fmt.Sprint("n", i), RingPosition: i}, Address: "a", Scheme: "hand"}
}

// change has one turn in which a node drains, and in the next call one in which it is back as a new process.
func (r *rig) change(no, nodes int) {
	n := fleetNode(no / 2 * 7 % nodes)
	if no%2 == 0 {
		n.State = scatter.Draining
	} else {
		n.StartedAt = r.clock
	}
	r.clock += 100 * time.Microsecond
	r.turn(posted{listed{source: "test", scope: scatter.IncrementalUpdate, nodes: []Endpoint{n}}, r.clock})
}

// A changed entry takes about as many allocations in a list of 700 as in one of 70: nothing is made anew that is as long as
// the list. Maps that grow by chance allow for a few.
func TestChangeCostsWhatItConcerns(t *testing.T) {
	var allocations []float64
	for _, nodes := range []int{70, 700} {
		r := newFleetRig(t, nodes)
		no := 0
		for ; no < 2*nodes; no++ { // until each list of a cell has its space
			r.change(no, nodes)
		}
		allocations = append(allocations, testing.AllocsPerRun(20, func() {
			r.change(no, nodes)
			r.change(no+1, nodes)
			no += 2
		}))
	}
	if allocations[1] > allocations[0]+10 {
		t.Errorf("a node that drains and is back takes %v allocations among 70, %v among 700", allocations[0], allocations[1])
	}
}

// The index finds the holders of a shard whatever was listed before, also where cells' numbers go round the ring.
func TestHoldersByCell(t *testing.T) {
	r := newRig(t, func(c *Config) { c.Settings.RingSize, c.Settings.ReplicationFactor = 5, 2 })
	tell := func(scope scatter.UpdateKind, cells map[string]int, state scatter.ReplicaState) {
		var list []Endpoint
		for id, cell := range cells {
			list = append(list, Endpoint{Replica: scatter.Replica{ID: id, RingPosition: cell, State: state}, Scheme: "hand"})
		}
		r.UpdateEndpoints("test", scope, list)
		r.pass(ms)
	}
	want := func(shard int, ids ...string) {
		t.Helper()
		got := r.cells.holders(shard)
		if slices.Sort(got); !slices.Equal(got, ids) {
			t.Errorf("shard %d is held by %v, want %v", shard, got, ids)
		}
	}
	tell(scatter.FullUpdate, map[string]int{"a": 0, "b": 1, "c": 2, "d": 8, "e": 4}, scatter.Ready)
	want(0, "a", "b")
	want(2, "c", "d")
	want(4, "a", "e")
	tell(scatter.IncrementalUpdate, map[string]int{"a": 3}, scatter.Draining) // moved
	want(4, "e")
	want(3, "a", "d", "e")
	tell(scatter.IncrementalUpdate, map[string]int{"d": 8}, scatter.Removed)
	want(2, "a", "c")
	tell(scatter.FullUpdate, map[string]int{"b": 1, "f": 2}, scatter.Ready)
	want(1, "b", "f")
	want(3)
	if r.HasEndpoint("a") || !r.HasEndpoint("f") {
		t.Error("what is known is not what is listed")
	}
	set := r.set().Settings
	set.RingSize, set.ReplicationFactor = 2, 1
	configured{&facts{set, Limits{}}, make(chan error, 1)}.apply(r.Coordinator)
	want(1, "b")
	want(4, "f")
}

// A long list is taken in slices, a turn each: queries between them are served, it counts as known and takes nodes away only
// with its last one, and what is told meanwhile comes after it.
func TestLongListInSlices(t *testing.T) {
	const nodes, slices = 3*sliceSize - 10, 3
	r := newRig(t, func(c *Config) { c.Settings.RingSize, c.Settings.ReplicationFactor, c.Limits.Shards = nodes, 3, nodes })
	r.Coordinator.list = false
	list := []Endpoint{}
	for i := range nodes {
		list = append(list, fleetNode(i))
	}
	r.UpdateEndpoints("test", scatter.FullUpdate, list)
	for i := range 100 { // after the list
		gone := fleetNode(i)
		gone.State = scatter.Removed
		r.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{gone})
	}
	for turn := 1; turn <= slices; turn++ {
		r.clock += ms
		r.turn()
		want := 1 + turn*sliceSize // a is of the list before
		if turn == slices {
			want = nodes - 10 // the rest of what a turn may take
		}
		if known := turn == slices; len(r.nodes) != want || r.Coordinator.list != known || r.HasEndpoint("a") == known {
			t.Errorf("after %d turns %d nodes, known whole %t, the one not named %t", turn, len(r.nodes), r.Coordinator.list, r.HasEndpoint("a"))
		}
	}
	r.pass(2 * ms)
	if len(r.nodes) != nodes-100 || r.HasEndpoint("n99") || r.hand.idle[0] != "a" {
		t.Errorf("%d nodes in the end, disconnected %v", len(r.nodes), r.hand.idle)
	}
}

// A list of so many entries as are taken at once is, and a memory has the whole list before it.
func TestListBeforeMemory(t *testing.T) {
	r := newFleetRig(t, sliceSize)
	if len(r.nodes) != sliceSize || len(r.lists) != 0 {
		t.Errorf("%d nodes after one turn, %d slices left", len(r.nodes), len(r.lists))
	}
	list := []Endpoint{}
	for i := range 2 * sliceSize {
		list = append(list, fleetNode(i))
	}
	r.UpdateEndpoints("test", scatter.FullUpdate, list)
	r.Restore(scatter.Checkpoint{})
	r.turn()
	if len(r.nodes) != 2*sliceSize || len(r.lists) != 0 {
		t.Errorf("%d nodes before the memory, %d slices left", len(r.nodes), len(r.lists))
	}
}

func BenchmarkChange(b *testing.B) {
	for _, nodes := range []int{70, 700, 2100, 7000} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			r := newFleetRig(b, nodes)
			no, began := 0, processTime(b)
			for b.Loop() {
				r.change(no, nodes)
				no++
			}
			b.ReportMetric(float64(processTime(b)-began)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkWholeList is the one turn in which a list is heard for the first time.
func BenchmarkWholeList(b *testing.B) {
	for _, nodes := range []int{70, 700, 2100, 7000} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			began := processTime(b)
			for b.Loop() {
				newFleetRig(b, nodes)
			}
			b.ReportMetric(float64(processTime(b)-began)/float64(b.N), "cpu-ns/op")
		})
	}
}

// processTime is the processor time that this process has used.
func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
