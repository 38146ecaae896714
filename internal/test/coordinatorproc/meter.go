package coordinatorproc

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/loadshed"
	"harepass/internal/test/loadgen"
)

const (
	longestWait        = time.Minute           // longest wait that the histogram can hold
	significantDigits  = 3                     // precision of the histogram
	waitPercentile     = 99                    // percentile in Stats.WaitP99MS
	pointsPerSecond    = 10                    // resolution of Stats.MaxWaits
	heapSampleInterval = 20 * time.Millisecond // time between two readings of the live heap
	bytesPerMB         = 1 << 20
	usPerMS            = 1000
)

// meter is the core.Admitter of a process. It passes each call on to the shedder, if there is one, and records
// measurements. Its methods may be called by any goroutine.
type meter struct {
	*loadshed.Shedder // nil if every query is admitted
	began             time.Time

	mu    sync.Mutex
	waits *hdrhistogram.Histogram // waits of the loop, in microseconds
	stats Stats
}

// newMeter returns a meter without a shedder, which admits every query.
func newMeter() *meter {
	waits := hdrhistogram.New(1, longestWait.Microseconds(), significantDigits)
	return &meter{began: time.Now(), waits: waits}
}

// summarize returns the measurements so far.
func (m *meter) summarize() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.WaitP99MS = float64(m.waits.ValueAtPercentile(waitPercentile)) / usPerMS
	m.stats.CPUSeconds = loadshed.ReadUsage().CPU.Seconds()
	return m.stats
}

// Admit implements core.Admitter.
func (m *meter) Admit(a overload.Arrival) (ok bool, retryAfter time.Duration) {
	if ok = true; m.Shedder != nil {
		ok, retryAfter = m.Shedder.Admit(a)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.stats.Admitted++
	} else {
		m.stats.Rejected++
	}
	return ok, retryAfter
}

// QueryDone implements core.Admitter.
func (m *meter) QueryDone(parts int) {
	if m.Shedder != nil {
		m.Shedder.QueryDone(parts)
	}
}

// ObserveTick implements core.Admitter.
func (m *meter) ObserveTick(t core.Tick) {
	if m.Shedder != nil {
		m.Shedder.ObserveTick(t)
	}
	if t.Count == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	mean := (t.TotalWait / time.Duration(t.Count)).Microseconds()
	m.waits.RecordValues(min(mean, m.waits.HighestTrackableValue()), int64(t.Count))
	m.recordMaxWait(float64(t.MaxWait) / float64(time.Millisecond))
}

// recordMaxWait records the longest wait of a tick, in milliseconds. The caller must hold the lock.
func (m *meter) recordMaxWait(ms float64) {
	m.stats.WaitMaxMS = max(m.stats.WaitMaxMS, ms)
	at := float64(int(time.Since(m.began).Seconds()*pointsPerSecond)) / pointsPerSecond
	if n := len(m.stats.MaxWaits); n > 0 && m.stats.MaxWaits[n-1].At == at {
		m.stats.MaxWaits[n-1].Value = max(m.stats.MaxWaits[n-1].Value, ms)
		return
	}
	m.stats.MaxWaits = append(m.stats.MaxWaits, loadgen.Point{At: at, Value: ms})
}

// watchHeap reads the live heap every heapSampleInterval until ctx ends, and records the largest value.
func (m *meter) watchHeap(ctx context.Context) {
	for ctx.Err() == nil {
		live := float64(loadshed.ReadUsage().LiveBytes) / bytesPerMB
		m.mu.Lock()
		m.stats.LiveHeapMaxMB = max(m.stats.LiveHeapMaxMB, live)
		m.mu.Unlock()
		time.Sleep(heapSampleInterval)
	}
}
