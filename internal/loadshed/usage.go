package loadshed

import (
	"math"
	"runtime/metrics"
	"syscall"
	"time"
)

// Usage is what a process has used since its start.
type Usage struct {
	CPU     time.Duration
	Live    int64   // bytes of the heap that the collector found in use last
	Starts  float64 // of goroutines that were ready to run
	Waiting float64 // seconds that these waited for a core
}

// Self reads this process's own.
func Self() Usage {
	var use Usage
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) == nil {
		use.CPU = time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
	}
	read := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/sched/latencies:seconds"}}
	metrics.Read(read)
	if v := read[0].Value; v.Kind() == metrics.KindUint64 {
		use.Live = int64(v.Uint64())
	}
	if v := read[1].Value; v.Kind() == metrics.KindFloat64Histogram {
		h := v.Float64Histogram()
		for i, n := range h.Counts {
			low, high := max(0, h.Buckets[i]), h.Buckets[i+1]
			if math.IsInf(high, 1) {
				high = low
			}
			use.Starts += float64(n)
			use.Waiting += float64(n) * (low + high) / 2
		}
	}
	return use
}

// runWait is the mean time that goroutines which were ready waited for a core, between two readings.
func runWait(from, to Usage) time.Duration {
	if to.Starts <= from.Starts {
		return 0
	}
	return time.Duration((to.Waiting - from.Waiting) / (to.Starts - from.Starts) * float64(time.Second))
}
