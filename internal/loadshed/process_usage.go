package loadshed

import (
	"math"
	"runtime/metrics"
	"syscall"
	"time"
)

// Usage is a reading of what a process uses. LiveBytes is a present amount; all else are totals since its start.
type Usage struct {
	CPU             time.Duration // CPU time, of the program and of the system for it
	LiveBytes       int64         // live heap when the collector last looked
	GoroutineStarts float64       // how often a ready goroutine was given a core
	StartWait       float64       // seconds that ready goroutines waited for a core, in all
}

// ReadUsage returns the usage of this process. A figure that the system does not give is 0. It may be called from any
// goroutine.
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

// addStarts adds a histogram of the waits for a core, in seconds. A wait counts as the middle of its bucket.
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

// schedulingWait is how long a ready goroutine waited for a core on average, between two readings.
func schedulingWait(from, to Usage) time.Duration {
	if to.GoroutineStarts <= from.GoroutineStarts {
		return 0
	}
	seconds := (to.StartWait - from.StartWait) / (to.GoroutineStarts - from.GoroutineStarts)
	return time.Duration(seconds * float64(time.Second))
}

// cpuUsed is the CPU time used between two readings that are elapsed apart, in CPU seconds a second.
func cpuUsed(from, to Usage, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return 0
	}
	return float64(to.CPU-from.CPU) / float64(elapsed)
}
