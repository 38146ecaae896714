package relay

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"harepass/internal/decide/versionlog"
)

// A list of 7,000 entries is longer than an answer may be (the client takes 64 KiB). Readers get it in slices that put
// together are the list, and each slice is encoded once for all of them.
func TestLongListIsReadInSlices(t *testing.T) {
	const long = 7000
	server := newAuthorityServer(5, wideBudget)
	address, _ := start(t, server)
	mustPublish(t, server.Endpoints, endpointChanges(long, 1))
	for range 2 {
		r := newReader(t, address)
		r.readAll(t)
		r.checkList(t, long, 1)
		if r.slices < 10 || r.cursor.Version != (versionlog.Version{Epoch: 5, Index: long}) {
			t.Errorf("%d slices to %+v", r.slices, r.cursor)
		}
		if status := server.Endpoints.Status(); int(status.Encoded) != r.slices || status.Waiting != 0 {
			t.Errorf("%d slices were encoded for readers of %d each, %d wait", status.Encoded, r.slices, status.Waiting)
		}
	}
}

// 368 entries change at once while 40 readers watch; one of them is removed, and another one is new. Each reader gets
// one answer with all of it, which is encoded once. A reader that has it gets a heartbeat when its wait is over.
func TestBurstReachesWatchersInOneSlice(t *testing.T) {
	const watchers, list, burst = 40, 500, 368
	server := newAuthorityServer(5, wideBudget)
	address, _ := start(t, server)
	mustPublish(t, server.Endpoints, endpointChanges(list, 1))
	var readers []*reader
	var watching sync.WaitGroup
	for range watchers {
		r := newReader(t, address)
		r.readAll(t)
		readers = append(readers, r)
	}
	before := server.Endpoints.Status()
	for _, r := range readers {
		r.slices = 0
		watching.Go(func() {
			if status, err := r.call(longWait); status != 200 || err != nil {
				t.Errorf("status %d, %v", status, err)
			}
		})
	}
	waitFor(t, "not all readers watch", func() bool { return server.Endpoints.Status().Waiting == watchers })
	changes := endpointChanges(burst, 2)
	changes[0].Removed = true
	mustPublish(t, server.Endpoints, append(changes, versionlog.Change{Name: "new", Object: object("new", 2)}))
	watching.Wait()
	for _, r := range readers {
		if r.slices != 1 || len(r.live) != list || r.live["new"] == "" || r.live["endpoint-00000"] != "" ||
			!r.cursor.Complete() {
			t.Fatalf("%d slices, %d entries, at %+v", r.slices, len(r.live), r.cursor)
		}
	}
	after := server.Endpoints.Status()
	if after.Encoded-before.Encoded != 1 || after.Snapshots != before.Snapshots ||
		after.EntriesSent-before.EntriesSent != watchers*(burst+1) {
		t.Errorf("before the burst %+v, after it %+v", before, after)
	}
	began := time.Now()
	if status, err := readers[0].call(30 * time.Millisecond); status != 200 || err != nil ||
		time.Since(began) < 30*time.Millisecond || readers[0].slices != 2 {
		t.Errorf("heartbeat: status %d, %v after %v", status, err, time.Since(began))
	}
}

// 15 readers start in one instant, and the budget does not admit all their snapshots at once. Those that are rejected
// are told when to come back, and get their lists then.
func TestSnapshotsWithinBudget(t *testing.T) {
	const long, fleet = 1000, 15
	server := newAuthorityServer(5, 1_000_000)
	address, _ := start(t, server)
	mustPublish(t, server.Endpoints, endpointChanges(long, 1))
	_, bytes := server.Endpoints.log.Live()
	var starting sync.WaitGroup
	for range fleet {
		r := newReader(t, address)
		starting.Go(func() {
			for !r.cursor.Complete() {
				answer, err := r.get(fmt.Sprintf("%s?epoch=%d&from=%d&base=%d", EndpointsPath,
					r.cursor.Epoch, r.cursor.Index, r.cursor.Base))
				if err != nil || answer.Status != 200 && answer.Status != 503 {
					t.Errorf("%+v, %v", answer, err)
					return
				}
				if answer.Status == 503 {
					wait, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
					time.Sleep(time.Duration(wait * float64(time.Second)))
					continue
				}
				slice, err := versionlog.ParseSlice(answer.Body)
				if err != nil {
					t.Error(err)
					return
				}
				r.apply(slice)
			}
			r.checkList(t, long, 1)
		})
	}
	starting.Wait()
	status := server.Endpoints.Status()
	if status.Snapshots != fleet || status.SnapshotBytes != int64(fleet*bytes) ||
		status.SnapshotsRejected == 0 || status.SnapshotsRejected > 3*fleet {
		t.Errorf("%+v", status)
	}
}
