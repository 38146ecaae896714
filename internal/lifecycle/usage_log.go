package lifecycle

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/metrics"
	"time"

	"harepass/internal/http1"
	"harepass/internal/logmsg"
)

const (
	// usageCheckInterval is the interval at which the process's memory is compared with its limit.
	usageCheckInterval = 200 * time.Millisecond
	// usageLogInterval is the longest time between two log lines about the process's usage.
	usageLogInterval = 10 * time.Second
	// usageLevels is the number of equal steps into which the limit of memory is divided. Whenever the process's memory
	// rises by a step, its usage is logged, so that the log of a process that was killed shows what held the memory.
	usageLevels = 8
)

// memoryUsage is the memory of this process, in bytes.
type memoryUsage struct {
	resident   int64 // as the operating system counts it; 0 if it is unknown
	managed    int64 // what counts towards the Go runtime's memory limit
	objects    int64 // heap objects, live or not yet collected
	liveHeap   int64 // heap objects that the last garbage collection found live
	stacks     int64 // goroutine stacks
	goroutines int64 // number of goroutines
}

// readMemoryUsage returns the present usage.
func readMemoryUsage() memoryUsage {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"}, {Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	value := func(i int) int64 {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return int64(samples[i].Value.Uint64())
	}
	return memoryUsage{resident: residentBytes(), managed: value(0) - value(1), objects: value(2), liveHeap: value(3),
		stacks: value(4), goroutines: value(5)}
}

// residentBytes returns the resident memory of this process, or 0 if the system does not tell.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var total, resident int64 // in pages
	if _, err := fmt.Sscan(string(data), &total, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// logUsage logs what the process holds every usageLogInterval and whenever its memory has risen by a level, until ctx
// is done.
func (p *process) logUsage(ctx context.Context) {
	ticker := time.NewTicker(usageCheckInterval)
	defer ticker.Stop()
	limit := int64(p.Limits.MemoryMB) << 20
	level, loggedAt := int64(0), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		used := readMemoryUsage()
		now := max(used.resident, used.managed) * usageLevels / limit
		if now > level || time.Since(loggedAt) >= usageLogInterval {
			p.writeUsage(used)
			level, loggedAt = now, time.Now()
		}
	}
}

// writeUsage writes the log line about what the process holds.
func (p *process) writeUsage(m memoryUsage) {
	var clients http1.Usage
	for _, f := range p.fronts {
		u := f.server.Usage()
		clients.Conns += u.Conns
		clients.Closing += u.Closing
		clients.Idle += u.Idle
		clients.Busy += u.Busy
		clients.RequestBytes += u.RequestBytes
	}
	queries := p.coordinator.Usage()
	slog.Info(logmsg.MemoryUsed, "limit_kb", p.Limits.MemoryMB<<10, "resident_kb", m.resident>>10,
		"managed_kb", m.managed>>10, "objects_kb", m.objects>>10, "live_heap_kb", m.liveHeap>>10,
		"stacks_kb", m.stacks>>10, "goroutines", m.goroutines, "client_connections", clients.Conns,
		"client_connections_closing", clients.Closing, "client_connections_idle", clients.Idle,
		"client_connections_busy", clients.Busy, "request_kb", clients.RequestBytes>>10,
		"replica_connections", p.frameCaller.OpenConns(), "open_queries", queries.OpenQueries,
		"parts", queries.Parts, "reserved_ids", queries.ReservedIDs,
		"query_kb", queries.QueryBytes>>10)
}
