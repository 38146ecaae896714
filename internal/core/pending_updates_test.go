package core

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// newFleetHarness returns a harness with the given number of endpoints, one at each ring position, one of them in
// maintenance.
func newFleetHarness(t testing.TB, endpoints int) *harness {
	h := newHarness(t, func(c *Config) {
		s := &c.Settings
		s.RingSize, s.ReplicationFactor, s.Coordinators, s.Ordinal = endpoints, 3, 1500, 700
		c.Limits.Shards = endpoints
	})
	h.UpdateEndpoints("test", scatter.FullUpdate, fleetList(endpoints))
	h.SetMaintenance(maintenance.Register{"n1": {Out: true, At: h.clock}})
	for h.tick(); len(h.updates.queue) > 0; {
		h.pass(ms)
	}
	return h
}

// fleetEndpoint returns the endpoint at a ring position.
func fleetEndpoint(position int) Endpoint {
	return Endpoint{Replica: scatter.Replica{ID: fmt.Sprint("n", position), RingPosition: position}, Address: "a",
		Scheme: "fake"}
}

func fleetList(endpoints int) (list []Endpoint) {
	for i := range endpoints {
		list = append(list, fleetEndpoint(i))
	}
	return list
}

// changeEntry runs one tick with one changed endpoint: with an even number it drains, and with the next odd number it
// is back as a new process.
func (h *harness) changeEntry(number, endpoints int) {
	e := fleetEndpoint(number / 2 * 7 % endpoints)
	if number%2 == 0 {
		e.State = scatter.Draining
	} else {
		e.StartedAt = h.clock
	}
	h.clock += 100 * time.Microsecond
	u := endpointUpdate{source: "test", kind: scatter.IncrementalUpdate, endpoints: []Endpoint{e}}
	h.tick(posted{u, h.clock})
}

// A changed entry takes about as many allocations in a list of 700 endpoints as in one of 70, because nothing as long
// as the list is rebuilt. The allowance of 10 covers maps that happen to grow.
func TestChangedEntryCostIsIndependentOfListLength(t *testing.T) {
	var allocations []float64
	for _, endpoints := range []int{70, 700} {
		h := newFleetHarness(t, endpoints)
		number := 0
		for ; number < 2*endpoints; number++ { // let the index allocate space for each position
			h.changeEntry(number, endpoints)
		}
		allocations = append(allocations, testing.AllocsPerRun(20, func() {
			h.changeEntry(number, endpoints)
			h.changeEntry(number+1, endpoints)
			number += 2
		}))
	}
	if allocations[1] > allocations[0]+10 {
		t.Errorf("an endpoint that drains and returns takes %v allocations among 70 and %v among 700",
			allocations[0], allocations[1])
	}
}

// A long list is merged over several ticks, so that queries between them are served. Only the last piece makes the list
// count as known and removes endpoints. Updates that arrive before it are merged after it.
func TestLongListIsMergedOverSeveralTicks(t *testing.T) {
	const endpoints, ticks = 3*maxEntriesPerTick - 10, 3
	h := newHarness(t, func(c *Config) {
		c.Settings.RingSize, c.Settings.ReplicationFactor, c.Limits.Shards = endpoints, 3, endpoints
	})
	h.listReadiness.known = false
	h.UpdateEndpoints("test", scatter.FullUpdate, fleetList(endpoints))
	for i := range 100 {
		e := fleetEndpoint(i)
		e.State = scatter.Removed
		h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{e})
	}
	for tick := 1; tick <= ticks; tick++ {
		h.clock += ms
		h.tick()
		want := 1 + tick*maxEntriesPerTick // including the endpoint a of the previous list
		if tick == ticks {
			want = endpoints - 10 // a and the endpoints of ten updates are removed, which fills the tick
		}
		known := tick == ticks
		if len(h.endpoints.byID) != want || h.listReadiness.known != known || h.HasEndpoint("a") == known {
			t.Errorf("after %d ticks %d endpoints, want %d; list known %t, unlisted endpoint present %t", tick,
				len(h.endpoints.byID), want, h.listReadiness.known, h.HasEndpoint("a"))
		}
	}
	h.pass(2 * ms)
	if len(h.endpoints.byID) != endpoints-100 || h.HasEndpoint("n99") || h.caller.disconnected[0] != "a" {
		t.Errorf("%d endpoints after all updates, disconnected %v", len(h.endpoints.byID), h.caller.disconnected)
	}
}

// A list of maxEntriesPerTick entries is merged in one tick. Restore first merges the whole of a longer list, because
// the module drops checkpoint data about endpoints that it does not know.
func TestRestoreFollowsTheWholeList(t *testing.T) {
	h := newFleetHarness(t, maxEntriesPerTick)
	if len(h.endpoints.byID) != maxEntriesPerTick || len(h.updates.queue) != 0 {
		t.Errorf("%d endpoints after one tick, %d pieces pending", len(h.endpoints.byID), len(h.updates.queue))
	}
	h.UpdateEndpoints("test", scatter.FullUpdate, fleetList(2*maxEntriesPerTick))
	h.Restore(scatter.Checkpoint{})
	h.tick()
	if len(h.endpoints.byID) != 2*maxEntriesPerTick || len(h.updates.queue) != 0 {
		t.Errorf("%d endpoints after Restore, %d pieces pending", len(h.endpoints.byID), len(h.updates.queue))
	}
}

// BenchmarkChange measures one tick with one changed entry.
func BenchmarkChange(b *testing.B) {
	for _, endpoints := range []int{70, 700, 2100, 7000} {
		b.Run(fmt.Sprint("nodes=", endpoints), func(b *testing.B) {
			h := newFleetHarness(b, endpoints)
			number, began := 0, processTime(b)
			for b.Loop() {
				h.changeEntry(number, endpoints)
				number++
			}
			b.ReportMetric(float64(processTime(b)-began)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkWholeList measures the ticks in which a list is merged for the first time.
func BenchmarkWholeList(b *testing.B) {
	for _, endpoints := range []int{70, 700, 2100, 7000} {
		b.Run(fmt.Sprint("nodes=", endpoints), func(b *testing.B) {
			began := processTime(b)
			for b.Loop() {
				newFleetHarness(b, endpoints)
			}
			b.ReportMetric(float64(processTime(b)-began)/float64(b.N), "cpu-ns/op")
		})
	}
}

// processTime returns the CPU time that this process has used.
func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
