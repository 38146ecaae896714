package loadshed

import (
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
)

// handoffsPerQuery is the minimum number of times that a query is passed from one goroutine to another, from its first
// byte to the last byte of its answer. At each handoff it waits for a core.
const handoffsPerQuery = 4

// sample holds the measurements of one window.
type sample struct {
	ticks              core.Tick     // the coordinator's ticks; Duration and MaxWait are maxima
	cpuUsed            float64       // CPU seconds per second
	schedulingWait     time.Duration // mean wait of a ready goroutine for a core
	liveBytes          int64         // live heap at the last garbage collection
	descriptorFraction float64       // file descriptors in use as a fraction of the limit
}

// signals returns the controller's signals for a sample. The wait is the longest of three:
//   - the mean wait of the messages and timers that the coordinator's ticks processed;
//   - the total wait for a core of a query over all its handoffs: a process whose cores are taken by others falls
//     behind before its coordinator does;
//   - half of the longest tick, which is the mean wait of an event that arrives during it: a tick that hangs processes
//     no messages that could show a wait.
func (s sample) signals() overload.Signals {
	var tickWait time.Duration
	if s.ticks.Count > 0 {
		tickWait = s.ticks.TotalWait / time.Duration(s.ticks.Count)
	}
	return overload.Signals{
		MeanWait:           max(tickWait, handoffsPerQuery*s.schedulingWait, s.ticks.Duration/2),
		CoresUsed:          s.cpuUsed,
		LiveBytes:          s.liveBytes,
		QueryBytes:         s.ticks.QueryBytes,
		DescriptorFraction: s.descriptorFraction,
		OpenFraction:       s.ticks.OpenFraction,
	}
}
