package relay

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"harepass/internal/decide/versionlog"
)

// A list of 7,000 entries is larger than the size limit of an answer (the client accepts 64 KiB). Readers get it in
// slices that together make up the list, and each slice is encoded once for all readers.
func TestLongListIsReadInSlices(t *testing.T) {
	const entries = 7000
	server := newAuthorityServer(5, ampleBudget)
	address, _ := start(t, server)
	mustPublish(t, server.Endpoints, endpointChanges(entries, 1))
	for range 2 {
		r := newReader(t, address)
		r.readAll(t)
		r.checkList(t, entries, 1)
		if r.slices < 10 || r.cursor.Version != (versionlog.Version{Epoch: 5, Index: entries}) {
			t.Errorf("reader got %d slices and is at %+v", r.slices, r.cursor)
		}
		if status := server.Endpoints.Status(); int(status.Encoded) != r.slices || status.Waiting != 0 {
			t.Errorf("server encoded %d slices for readers that got %d each, and %d readers wait",
				status.Encoded, r.slices, status.Waiting)
		}
	}
}

// While 40 readers watch, 368 entries change at once, one of them by its removal, and one entry is added. Each reader
// gets one answer with all changes, and the server encodes it once. A reader that has all changes gets a heartbeat when
// its wait is over.
func TestBurstReachesWatchersInOneSlice(t *testing.T) {
	const watchers, entries, burst = 40, 500, 368
	server := newAuthorityServer(5, ampleBudget)
	address, _ := start(t, server)
	mustPublish(t, server.Endpoints, endpointChanges(entries, 1))
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
				t.Errorf("watch: status %d, error %v, want 200", status, err)
			}
		})
	}
	waitFor(t, "not all readers watch the list", func() bool { return server.Endpoints.Status().Waiting == watchers })
	changes := endpointChanges(burst, 2)
	changes[0].Removed = true
	mustPublish(t, server.Endpoints, append(changes, versionlog.Change{Name: "new", Object: object("new", 2)}))
	watching.Wait()
	for _, r := range readers {
		if r.slices != 1 || len(r.live) != entries || r.live["new"] == "" || r.live["endpoint-00000"] != "" ||
			!r.cursor.Complete() {
			t.Fatalf("reader got %d slices, has %d entries and is at %+v", r.slices, len(r.live), r.cursor)
		}
	}
	after := server.Endpoints.Status()
	if after.Encoded-before.Encoded != 1 || after.Snapshots != before.Snapshots ||
		after.EntriesSent-before.EntriesSent != watchers*(burst+1) {
		t.Errorf("list's status: %+v before the burst, %+v after it", before, after)
	}
	began := time.Now()
	if status, err := readers[0].call(30 * time.Millisecond); status != 200 || err != nil ||
		time.Since(began) < 30*time.Millisecond || readers[0].slices != 2 {
		t.Errorf("heartbeat: status %d, error %v after %v", status, err, time.Since(began))
	}
}

// 15 readers start at the same time, and the snapshot budget does not admit all their snapshots at once. The rejected
// readers call again after the wait in their answers, and all readers get the list.
func TestSnapshotsWithinBudget(t *testing.T) {
	const entries, readers = 1000, 15
	server := newAuthorityServer(5, 1_000_000)
	address, _ := start(t, server)
	mustPublish(t, server.Endpoints, endpointChanges(entries, 1))
	_, bytes := server.Endpoints.log.Live()
	var starting sync.WaitGroup
	for range readers {
		r := newReader(t, address)
		starting.Go(func() {
			for !r.cursor.Complete() {
				answer, err := r.get(fmt.Sprintf("%s?epoch=%d&from=%d&base=%d", EndpointsPath,
					r.cursor.Epoch, r.cursor.Index, r.cursor.Base))
				if err != nil || answer.Status != 200 && answer.Status != 503 {
					t.Errorf("reader's call: answer %+v, error %v, want status 200 or 503", answer, err)
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
			r.checkList(t, entries, 1)
		})
	}
	starting.Wait()
	status := server.Endpoints.Status()
	if status.Snapshots != readers || status.SnapshotBytes != int64(readers*bytes) ||
		status.SnapshotsRejected == 0 || status.SnapshotsRejected > 3*readers {
		t.Errorf("list's status: %+v", status)
	}
}
