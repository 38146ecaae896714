package relay

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/distribution"
	"harepass/internal/loadshed"
	"harepass/internal/logmsg"
)

// Status is where a relay's process stands, with its totals since the start. Its JSON is the answer of StatusPath.
type Status struct {
	Uptime          float64        `json:"uptime_seconds"`
	CPU             float64        `json:"cpu_seconds"`
	LiveHeap        int64          `json:"live_heap_bytes"`
	Readers         int64          `json:"readers"`         // calls that are open now
	RejectedReaders int64          `json:"refused_readers"` // calls over the limit of readers
	BytesIn         int64          `json:"bytes_in"`        // on readers' connections, headers included
	BytesOut        int64          `json:"bytes_out"`       // on readers' connections, headers included
	Endpoints       ResourceStatus `json:"instances"`
	Settings        ResourceStatus `json:"settings"`
}

// ResourceStatus is where a resource stands.
type ResourceStatus struct {
	Epoch     int64   `json:"epoch"`       // of the version that is given out
	Index     int64   `json:"index"`       // of the version that is given out
	Entries   int     `json:"entries"`     // entries that are not removed
	LiveBytes int     `json:"live_bytes"`  // size of a snapshot's entries
	Staleness float64 `json:"age_seconds"` // since the version was last known to be the authority's newest
	Waiting   int     `json:"waiting"`     // readers that wait for a change
	Counters
}

// Counters are the totals of one resource since the start.
type Counters struct {
	Calls             int64 `json:"calls"`             // calls that were admitted by the limit of readers
	EntriesSent       int64 `json:"entries_sent"`      // entries in answers
	Bytes             int64 `json:"bytes"`             // bytes of the answers' bodies
	Heartbeats        int64 `json:"heartbeats"`        // answers without entries
	Snapshots         int64 `json:"snapshots"`         // snapshots that were begun
	SnapshotBytes     int64 `json:"snapshot_bytes"`    // size of the entries of snapshots when they were begun
	SnapshotsRejected int64 `json:"snapshots_refused"` // calls rejected because the budget for snapshots was spent
	RejectedEmpty     int64 `json:"refused_empty"`     // calls rejected because there was nothing yet
	RejectedBehind    int64 `json:"refused_behind"`    // calls rejected because the reader knew of newer versions
	Encoded           int64 `json:"encoded"`           // slices encoded as JSON; the other answers shared them
}

// Status returns where the process stands. It is for any goroutine, at any time.
func (s *Server) Status() Status {
	usage := loadshed.ReadUsage()
	return Status{Uptime: time.Since(s.startedAt).Seconds(), CPU: usage.CPU.Seconds(), LiveHeap: usage.LiveBytes,
		Readers: s.readers.Load(), RejectedReaders: s.rejectedReaders.Load(),
		BytesIn: s.bytesIn.Load(), BytesOut: s.bytesOut.Load(),
		Endpoints: s.Endpoints.Status(), Settings: s.Settings.Status()}
}

// Status returns where the resource stands. It is for any goroutine, at any time.
func (r *Resource) Status() ResourceStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, bytes := r.log.Live()
	head := r.log.Version()
	return ResourceStatus{Epoch: head.Epoch, Index: head.Index, Entries: entries, LiveBytes: bytes,
		Staleness: r.stalenessLocked().Seconds(), Waiting: r.waiting, Counters: r.counters}
}

// LogStatus logs a line on the process and one on each resource at every interval, until ctx ends.
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

func (r ResourceStatus) log(resource distribution.Resource) {
	slog.Info("resource status", logmsg.KeyResource, resource.Name(), "epoch", r.Epoch, "index", r.Index,
		"entries", r.Entries, "staleness_seconds", r.Staleness, "waiting_readers", r.Waiting, "calls", r.Calls,
		"bytes", r.Bytes, "heartbeats", r.Heartbeats, "snapshots", r.Snapshots,
		"snapshots_rejected", r.SnapshotsRejected, "encoded_slices", r.Encoded)
}
