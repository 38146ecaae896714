package relay

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/distribution"
	"harepass/internal/loadshed"
	"harepass/internal/logmsg"
)

// Status is the current state of a relay process, with totals since its start. Its JSON form is the answer at
// StatusPath.
type Status struct {
	Uptime          float64        `json:"uptime_seconds"`
	CPU             float64        `json:"cpu_seconds"`
	LiveHeap        int64          `json:"live_heap_bytes"`
	Readers         int64          `json:"readers"`         // open calls
	RejectedReaders int64          `json:"refused_readers"` // calls rejected because the limit of readers was reached
	BytesIn         int64          `json:"bytes_in"`        // bytes on readers' connections, including headers
	BytesOut        int64          `json:"bytes_out"`       // bytes on readers' connections, including headers
	Endpoints       ResourceStatus `json:"instances"`
	Settings        ResourceStatus `json:"settings"`
}

// ResourceStatus is the current state of a resource, with its totals since the start.
type ResourceStatus struct {
	Epoch     int64   `json:"epoch"`       // epoch of the served version
	Index     int64   `json:"index"`       // index of the served version
	Entries   int     `json:"entries"`     // entries that are not tombstones
	LiveBytes int     `json:"live_bytes"`  // size of these entries' bodies, in bytes
	Staleness float64 `json:"age_seconds"` // time since the version was last known to be the authority's newest
	Waiting   int     `json:"waiting"`     // readers that wait for a change
	Counters
}

// Counters are the totals of one resource since the start.
type Counters struct {
	Calls             int64 `json:"calls"`             // calls admitted by the limit of readers
	EntriesSent       int64 `json:"entries_sent"`      // entries in all answers
	Bytes             int64 `json:"bytes"`             // size of the bodies of all answers with a slice, in bytes
	Heartbeats        int64 `json:"heartbeats"`        // answers without entries
	Snapshots         int64 `json:"snapshots"`         // snapshots begun
	SnapshotBytes     int64 `json:"snapshot_bytes"`    // size of these snapshots' entries when they began, in bytes
	SnapshotsRejected int64 `json:"snapshots_refused"` // calls rejected because the snapshot budget was spent
	RejectedEmpty     int64 `json:"refused_empty"`     // calls rejected because the resource had no version yet
	RejectedBehind    int64 `json:"refused_behind"`    // calls rejected because the reader knew of newer versions
	Encoded           int64 `json:"encoded"`           // slices encoded as JSON; the other answers reused them
}

// Status returns the current status of the process. Any goroutine may call it at any time.
func (s *Server) Status() Status {
	usage := loadshed.ReadUsage()
	return Status{Uptime: time.Since(s.startedAt).Seconds(), CPU: usage.CPU.Seconds(), LiveHeap: usage.LiveBytes,
		Readers: s.readers.Load(), RejectedReaders: s.rejectedReaders.Load(),
		BytesIn: s.bytesIn.Load(), BytesOut: s.bytesOut.Load(),
		Endpoints: s.Endpoints.Status(), Settings: s.Settings.Status()}
}

// Status returns the current status of the resource. Any goroutine may call it at any time.
func (r *Resource) Status() ResourceStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, bytes := r.log.Live()
	head := r.log.Version()
	return ResourceStatus{Epoch: head.Epoch, Index: head.Index, Entries: entries, LiveBytes: bytes,
		Staleness: r.stalenessLocked().Seconds(), Waiting: r.waiting, Counters: r.counters}
}

// LogStatus logs the status at every interval until ctx ends: one line for the process and one for each resource.
func (s *Server) LogStatus(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.logStatus()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) logStatus() {
	status := s.Status()
	slog.Info("relay status", "readers", status.Readers, "rejected_readers", status.RejectedReaders,
		"bytes_in", status.BytesIn, "bytes_out", status.BytesOut, "cpu_seconds", status.CPU,
		"live_heap_bytes", status.LiveHeap)
	status.Endpoints.log(distribution.Endpoints)
	status.Settings.log(distribution.Settings)
}

func (r ResourceStatus) log(path distribution.Path) {
	slog.Info("resource status", logmsg.KeyResource, path.ResourceName(), "epoch", r.Epoch, "index", r.Index,
		"entries", r.Entries, "staleness_seconds", r.Staleness, "waiting_readers", r.Waiting, "calls", r.Calls,
		"bytes", r.Bytes, "heartbeats", r.Heartbeats, "snapshots", r.Snapshots,
		"snapshots_rejected", r.SnapshotsRejected, "encoded_slices", r.Encoded)
}
