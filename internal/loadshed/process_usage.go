package loadshed

import (
	"math"
	"runtime/metrics"
	"syscall"
	"time"
)

// Usage is a reading of a process's resource usage. LiveBytes is a current amount; all other fields are totals since
// the start of the process.
type Usage struct {
	CPU             time.Duration // CPU time in user and system mode
	LiveBytes       int64         // live heap at the last garbage collection
	GoroutineStarts float64       // number of times that a ready goroutine got a core
	StartWait       float64       // total seconds that ready goroutines waited for a core
}

// ReadUsage returns the usage of this process. A value that the system does not provide is 0. Any goroutine may call
// it.
func ReadUsage() Usage {
	var usage Usage
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) == nil {
		usage.CPU = time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
	}
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/sched/latencies:seconds"}}
	metrics.Read(samples)
	if v := samples[0].Value; v.Kind() == metrics.KindUint64 {
		usage.LiveBytes = int64(v.Uint64())
	}
	if v := samples[1].Value; v.Kind() == metrics.KindFloat64Histogram {
		usage.addStarts(v.Float64Histogram())
	}
	return usage
}

// addStarts adds a histogram of the waits for a core, in seconds. Each wait counts as the middle of its bucket; in a
// bucket without an upper bound, as the lower bound.
func (u *Usage) addStarts(h *metrics.Float64Histogram) {
	for i, n := range h.Counts {
		low, high := max(0, h.Buckets[i]), h.Buckets[i+1]
		if math.IsInf(high, 1) {
			high = low
		}
		u.GoroutineStarts += float64(n)
		u.StartWait += float64(n) * (low + high) / 2
	}
}

// schedulingWait returns the mean time that a ready goroutine waited for a core between two readings.
func schedulingWait(from, to Usage) time.Duration {
	if to.GoroutineStarts <= from.GoroutineStarts {
		return 0
	}
	seconds := (to.StartWait - from.StartWait) / (to.GoroutineStarts - from.GoroutineStarts)
	return time.Duration(seconds * float64(time.Second))
}

// cpuUsed returns the CPU seconds used per second between two readings that are elapsed apart.
func cpuUsed(from, to Usage, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return 0
	}
	return float64(to.CPU-from.CPU) / float64(elapsed)
}
