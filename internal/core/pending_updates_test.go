package core

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// newFleetHarness has a list of so many endpoints, one to a ring position, of which one is in maintenance.
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

// fleetEndpoint is the endpoint at a ring position.
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

// changeEntry has one tick in which an endpoint drains, and in the next call one in which it is back as a new process.
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

// A changed entry takes about as many allocations in a list of 700 as in one of 70, for nothing is made anew that is as
// long as the list. The allowance of 10 is for maps that happen to grow.
func TestChangedEntryCostIsIndependentOfListLength(t *testing.T) {
	var allocations []float64
	for _, endpoints := range []int{70, 700} {
		h := newFleetHarness(t, endpoints)
		number := 0
		for ; number < 2*endpoints; number++ { // until the index has space for each position
			h.changeEntry(number, endpoints)
		}
		allocations = append(allocations, testing.AllocsPerRun(20, func() {
			h.changeEntry(number, endpoints)
			h.changeEntry(number+1, endpoints)
			number += 2
		}))
	}
	if allocations[1] > allocations[0]+10 {
		t.Errorf("an endpoint that drains and is back takes %v allocations among 70, %v among 700",
			allocations[0], allocations[1])
	}
}

// A long list is merged over several ticks, so that queries between them are served. It counts as known, and removes
// endpoints, only with its last piece; updates that come meanwhile are merged after it.
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
		want := 1 + tick*maxEntriesPerTick // and the endpoint a, of the list before
		if tick == ticks {
			want = endpoints - 10 // a is removed, and so are those of ten updates, up to a tick's share
		}
		known := tick == ticks
		if len(h.endpoints.byID) != want || h.listReadiness.known != known || h.HasEndpoint("a") == known {
			t.Errorf("after %d ticks %d endpoints, want %d; known %t, the one not listed %t", tick,
				len(h.endpoints.byID), want, h.listReadiness.known, h.HasEndpoint("a"))
		}
	}
	h.pass(2 * ms)
	if len(h.endpoints.byID) != endpoints-100 || h.HasEndpoint("n99") || h.caller.disconnected[0] != "a" {
		t.Errorf("%d endpoints in the end, disconnected %v", len(h.endpoints.byID), h.caller.disconnected)
	}
}

// A list of maxEntriesPerTick entries is merged at once. A checkpoint is restored after the whole of a longer list, for
// the module drops what it says of endpoints that it does not know.
func TestRestoreFollowsTheWholeList(t *testing.T) {
	h := newFleetHarness(t, maxEntriesPerTick)
	if len(h.endpoints.byID) != maxEntriesPerTick || len(h.updates.queue) != 0 {
		t.Errorf("%d endpoints after one tick, %d pieces left", len(h.endpoints.byID), len(h.updates.queue))
	}
	h.UpdateEndpoints("test", scatter.FullUpdate, fleetList(2*maxEntriesPerTick))
	h.Restore(scatter.Checkpoint{})
	h.tick()
	if len(h.endpoints.byID) != 2*maxEntriesPerTick || len(h.updates.queue) != 0 {
		t.Errorf("%d endpoints when restored, %d pieces left", len(h.endpoints.byID), len(h.updates.queue))
	}
}

// BenchmarkChange is one tick with one changed entry.
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

// BenchmarkWholeList is the ticks in which a list is merged for the first time.
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

// processTime is the processor time that this process has used.
func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
