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

// newFleetHarness has a list of so many nodes, one to a cell, of which one is out by hand.
func newFleetHarness(t testing.TB, nodes int) *harness {
	h := newHarness(t, func(c *Config) {
		c.Settings.RingSize, c.Settings.ReplicationFactor, c.Settings.Coordinators, c.Settings.Ordinal = nodes, 3, 1500, 700
		c.Limits.Shards = nodes
	})
	var list []Endpoint
	for i := range nodes {
		list = append(list, fleetNode(i))
	}
	h.UpdateEndpoints("test", scatter.FullUpdate, list)
	h.SetMaintenance(maintenance.Register{"n1": {Out: true, At: h.clock}})
	for h.tick(); len(h.updates.queue) > 0; {
		h.pass(ms)
	}
	return h
}

func fleetNode(i int) Endpoint {
	return Endpoint{Replica: scatter.Replica{ID: fmt.Sprint("n", i), RingPosition: i}, Address: "a", Scheme: "fake"}
}

// change has one turn in which a node drains, and in the next call one in which it is back as a new process.
func (h *harness) change(no, nodes int) {
	n := fleetNode(no / 2 * 7 % nodes)
	if no%2 == 0 {
		n.State = scatter.Draining
	} else {
		n.StartedAt = h.clock
	}
	h.clock += 100 * time.Microsecond
	h.tick(posted{endpointUpdate{source: "test", kind: scatter.IncrementalUpdate, endpoints: []Endpoint{n}}, h.clock})
}

// A changed entry takes about as many allocations in a list of 700 as in one of 70: nothing is made anew that is as
// long as the list. Maps that grow by chance allow for a few.
func TestChangeCostsWhatItConcerns(t *testing.T) {
	var allocations []float64
	for _, nodes := range []int{70, 700} {
		h := newFleetHarness(t, nodes)
		no := 0
		for ; no < 2*nodes; no++ { // until each list of a cell has its space
			h.change(no, nodes)
		}
		allocations = append(allocations, testing.AllocsPerRun(20, func() {
			h.change(no, nodes)
			h.change(no+1, nodes)
			no += 2
		}))
	}
	if allocations[1] > allocations[0]+10 {
		t.Errorf("a node that drains and is back takes %v allocations among 70, %v among 700", allocations[0], allocations[1])
	}
}

// The index finds the holders of a shard whatever was listed before, also where cells' numbers go round the ring.
func TestHoldersByCell(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Settings.RingSize, c.Settings.ReplicationFactor = 5, 2 })
	tell := func(scope scatter.UpdateKind, cells map[string]int, state scatter.ReplicaState) {
		var list []Endpoint
		for id, cell := range cells {
			list = append(list, Endpoint{Replica: scatter.Replica{ID: id, RingPosition: cell, State: state}, Scheme: "fake"})
		}
		h.UpdateEndpoints("test", scope, list)
		h.pass(ms)
	}
	want := func(shard int, ids ...string) {
		t.Helper()
		got := h.endpoints.ring.holders(shard)
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
	if h.HasEndpoint("a") || !h.HasEndpoint("f") {
		t.Error("what is known is not what is listed")
	}
	set := h.inForce().Settings
	set.RingSize, set.ReplicationFactor = 2, 1
	configureRequest{&settingsSnapshot{set, Limits{}}, make(chan error, 1)}.apply(h.Coordinator)
	want(1, "b")
	want(4, "f")
}

// A long list is taken in slices, a turn each: queries between them are served, it counts as known and takes nodes
// away only with its last one, and what is told meanwhile comes after it.
func TestLongListInSlices(t *testing.T) {
	const nodes, slices = 3*maxEntriesPerTick - 10, 3
	h := newHarness(t, func(c *Config) { c.Settings.RingSize, c.Settings.ReplicationFactor, c.Limits.Shards = nodes, 3, nodes })
	h.initialList.known = false
	list := []Endpoint{}
	for i := range nodes {
		list = append(list, fleetNode(i))
	}
	h.UpdateEndpoints("test", scatter.FullUpdate, list)
	for i := range 100 { // after the list
		gone := fleetNode(i)
		gone.State = scatter.Removed
		h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{gone})
	}
	for turn := 1; turn <= slices; turn++ {
		h.clock += ms
		h.tick()
		want := 1 + turn*maxEntriesPerTick // a is of the list before
		if turn == slices {
			want = nodes - 10 // the rest of what a turn may take
		}
		if known := turn == slices; len(h.endpoints.byID) != want || h.initialList.known != known || h.HasEndpoint("a") == known {
			t.Errorf("after %d turns %d nodes, known whole %t, the one not named %t", turn, len(h.endpoints.byID), h.initialList.known, h.HasEndpoint("a"))
		}
	}
	h.pass(2 * ms)
	if len(h.endpoints.byID) != nodes-100 || h.HasEndpoint("n99") || h.caller.disconnected[0] != "a" {
		t.Errorf("%d nodes in the end, disconnected %v", len(h.endpoints.byID), h.caller.disconnected)
	}
}

// A list of so many entries as are taken at once is, and a memory has the whole list before it.
func TestListBeforeMemory(t *testing.T) {
	h := newFleetHarness(t, maxEntriesPerTick)
	if len(h.endpoints.byID) != maxEntriesPerTick || len(h.updates.queue) != 0 {
		t.Errorf("%d nodes after one turn, %d slices left", len(h.endpoints.byID), len(h.updates.queue))
	}
	list := []Endpoint{}
	for i := range 2 * maxEntriesPerTick {
		list = append(list, fleetNode(i))
	}
	h.UpdateEndpoints("test", scatter.FullUpdate, list)
	h.Restore(scatter.Checkpoint{})
	h.tick()
	if len(h.endpoints.byID) != 2*maxEntriesPerTick || len(h.updates.queue) != 0 {
		t.Errorf("%d nodes before the memory, %d slices left", len(h.endpoints.byID), len(h.updates.queue))
	}
}

func BenchmarkChange(b *testing.B) {
	for _, nodes := range []int{70, 700, 2100, 7000} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			h := newFleetHarness(b, nodes)
			no, began := 0, processTime(b)
			for b.Loop() {
				h.change(no, nodes)
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
				newFleetHarness(b, nodes)
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
