package overload

import "time"

// Level is how far a coordinator is from normal, for logs and for work that yields to queries.
type Level int

// The levels.
const (
	Normal   Level = iota // everything is admitted
	Trimming              // traffic beyond its tenant's share, or of least worth, is refused
	Shedding              // traffic within its share is refused, what is kept excepted
	Critical              // even queries that may not run twice are refused
)

func (l Level) String() string { return [...]string{"normal", "trimming", "shedding", "critical"}[l] }

const (
	refusedGain = 0.3 // weight of a window in the share of arrivals that are refused
	manyRefused = 0.1 // of that share: fewer refusals make no level, for a few of the returning are always among them
)

const holdLevel = 650 * time.Millisecond // a level is left downwards only after so long without cause

// Level is the present one.
func (c *Controller) Level() Level { return c.level }

// Reasons is why, for a log line.
func (c *Controller) Reasons(s Signals) []string {
	var list []string
	for _, r := range []struct {
		name string
		is   bool
	}{
		{"loop delay", s.MeanWait > c.cfg.WaitTarget}, {"cpu", c.cfg.Cores > 0 && s.CPU > cpuFull*c.cfg.Cores},
		{"memory", c.memory > MemoryNormal}, {"descriptors", s.Descriptors > crowded}, {"open queries", s.Open > crowded},
	} {
		if r.is {
			list = append(list, r.name)
		}
	}
	return list
}

// relevel goes up at once, and down when there has been no cause for so high a level for long enough.
func (c *Controller) relevel(s Signals, w window, now time.Duration) bool {
	if tries := w.queries + w.refusals; tries > 0 {
		c.refusing += refusedGain * (w.refusals/tries - c.refusing)
	}
	want, many := Normal, w.refusals > 0 && c.refusing > manyRefused
	switch {
	case w.highest || c.memory == EndQueries:
		want = Critical
	case c.memory == RejectNew || many && w.lowest >= lowScore-retryLoss:
		want = Shedding
	case many:
		want = Trimming
	}
	if want >= c.level {
		changed := want > c.level
		c.level, c.levelAt = want, now
		return changed
	}
	if now-c.levelAt < holdLevel {
		return false
	}
	c.level, c.levelAt = want, now
	return true
}
