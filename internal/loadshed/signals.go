package loadshed

import (
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
)

// handovers is how often a query is passed from one goroutine to another, at least, from its first byte to the last
// of its answer. Each time it waits for a core.
const handovers = 4

// sample is what was seen in a window.
type sample struct {
	ticks              core.Tick     // the coordinator's ticks; Duration and MaxWait are the longest
	cpuUsed            float64       // CPU seconds a second
	schedulingWait     time.Duration // mean wait of a ready goroutine for a core
	liveBytes          int64         // live heap when the collector last looked
	descriptorFraction float64       // descriptors in use, as a fraction of the limit
}

// signals returns the signals of a sample that the controller gets. The wait is the longest of three:
//   - the mean wait of what the coordinator's ticks took up;
//   - the waits for a core of a query that is handed over several times: a process whose cores are taken by others
//     falls behind before its coordinator does;
//   - half of the longest tick, for that is what an event at any time in it waits: a tick that hangs takes up nothing.
func (s sample) signals() overload.Signals {
	var tickWait time.Duration
	if s.ticks.Count > 0 {
		tickWait = s.ticks.TotalWait / time.Duration(s.ticks.Count)
	}
	return overload.Signals{
		MeanWait:           max(tickWait, handovers*s.schedulingWait, s.ticks.Duration/2),
		CoresUsed:          s.cpuUsed,
		LiveBytes:          s.liveBytes,
		QueryBytes:         s.ticks.QueryBytes,
		DescriptorFraction: s.descriptorFraction,
		OpenFraction:       s.ticks.OpenFraction,
	}
}
