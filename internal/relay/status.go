package relay

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/loadshed"
)

// Status is where a process stands, with its counters since the start.
type Status struct {
	Uptime          float64        `json:"uptime_seconds"`
	CPU             float64        `json:"cpu_seconds"`
	LiveHeap        int64          `json:"live_heap_bytes"`
	Readers         int64          `json:"readers"` // with a call open
	RejectedReaders int64          `json:"refused_readers"`
	BytesIn         int64          `json:"bytes_in"` // of readers' connections, headers included
	BytesOut        int64          `json:"bytes_out"`
	Instances       ResourceStatus `json:"instances"`
	Settings        ResourceStatus `json:"settings"`
}

// Status tells where the process stands.
func (s *Server) Status() Status {
	usage := loadshed.ReadUsage()
	return Status{Uptime: time.Since(s.began).Seconds(), CPU: usage.CPU.Seconds(), LiveHeap: usage.LiveBytes,
		Readers: s.readers.Load(), RejectedReaders: s.refused.Load(), BytesIn: s.bytesIn.Load(), BytesOut: s.bytesOut.Load(),
		Instances: s.Instances.Status(), Settings: s.Settings.Status()}
}

// LogStatus writes a line on the process and one on each resource every so often until ctx ends.
func (s *Server) LogStatus(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
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
	slog.Info("relay", "readers", status.Readers, "refused_readers", status.RejectedReaders, "bytes_in", status.BytesIn,
		"bytes_out", status.BytesOut, "cpu_seconds", status.CPU, "live_heap_bytes", status.LiveHeap)
	status.Instances.log("instances")
	status.Settings.log("settings")
}

func (r ResourceStatus) log(name string) {
	slog.Info("resource", "name", name, "epoch", r.Epoch, "index", r.Index, "entries", r.Entries, "age_seconds", r.Age,
		"waiting", r.Waiting, "calls", r.Calls, "bytes", r.Bytes, "heartbeats", r.Heartbeats, "snapshots", r.Snapshots,
		"snapshots_refused", r.SnapshotsRejected, "encoded", r.Encoded)
}
