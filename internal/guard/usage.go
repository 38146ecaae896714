package guard

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// Usage is what a process has used.
type Usage struct {
	CPU  time.Duration // since its start
	Live int64         // bytes of the heap that the collector found in use last
}

// Self reads this process's own.
func Self() Usage {
	var use Usage
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) == nil {
		use.CPU = time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
	}
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	if live[0].Value.Kind() == metrics.KindUint64 {
		use.Live = int64(live[0].Value.Uint64())
	}
	return use
}
