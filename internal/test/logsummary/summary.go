package logsummary

import (
	"time"

	"harepass/internal/logmsg"
)

// Tables that a Summary counts by second. Each class has a further table for its queries.
const (
	discoveryPolls = "discovery polls"
	connections    = "connections"
	attempts       = "attempts"
)

// Columns whose names are not values in a log line.
const (
	pollSucceeded  = "ok"
	pollFailed     = "failed"
	opened         = "opened"
	beyondFirst    = "beyond the first" // retries and hedged requests
	partial        = "partial"          // served but incomplete
	rejectedUnsent = "refused unsent"   // rejected before the first attempt
)

// queriesOf returns the name of the table of a class's queries.
func queriesOf(class string) string { return "queries " + class }

// Summary aggregates the logs of a fleet.
type Summary struct {
	Coordinators map[string]bool // those with at least one line
	Seconds      map[int]counts  // by second; rows are tables, columns are events
	Replicas     counts          // attempts by replica and outcome, and connections by replica

	slowStart        time.Duration            // duration of a replica's slow start
	startedAt        map[string]time.Duration // latest start of each replica, on the clock of the lines
	partsInSlowStart map[int]map[string]int   // parts by second and replica, for replicas in slow start
	partsWarmedUp    map[int]map[string]int   // parts by second and replica, for all other replicas
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		Coordinators:     map[string]bool{},
		Seconds:          map[int]counts{},
		Replicas:         counts{},
		startedAt:        map[string]time.Duration{},
		partsInSlowStart: map[int]map[string]int{},
		partsWarmedUp:    map[int]map[string]int{},
	}
}

// ReadContext collects from a line what Add needs to classify parts: the duration of slow start, and when replicas
// started. It must be called for all lines before the first Add, because a replica's start may be in the log of a
// coordinator other than the one that sent the part. An age of 0 means that a replica has long been warmed up.
func (s *Summary) ReadContext(l Line) {
	switch l.Message {
	case logmsg.SettingsRead:
		s.slowStart, _ = time.ParseDuration(l.Attrs[logmsg.KeySlowStart])
	case logmsg.EndpointUpdated:
		age, err := time.ParseDuration(l.Attrs[logmsg.KeyAge])
		if err == nil && age > 0 && l.Attrs[logmsg.KeyState] == logmsg.StateReady {
			replica := l.Attrs[logmsg.KeyReplica]
			s.startedAt[replica] = max(s.startedAt[replica], l.At-age)
		}
	}
}

// Add counts a line.
func (s *Summary) Add(l Line) {
	s.Coordinators[l.Coordinator] = true
	second := int(l.At / time.Second)
	if s.Seconds[second] == nil {
		s.Seconds[second] = counts{}
	}
	tables := s.Seconds[second]
	switch l.Message {
	case logmsg.DiscoveryPolled:
		tables.add(discoveryPolls, pollResult(l))
	case logmsg.ConnectionOpened:
		tables.add(connections, opened)
		s.Replicas.add(l.Attrs[logmsg.KeyReplica], connections)
	case logmsg.AttemptEnded:
		tables.add(attempts, l.Attrs[logmsg.KeyOutcome])
		if l.Attrs[logmsg.KeyAttempt] != "0" {
			tables.add(attempts, beyondFirst)
		}
		s.Replicas.add(l.Attrs[logmsg.KeyReplica], l.Attrs[logmsg.KeyOutcome])
		s.countPart(l, second)
	case logmsg.QueryEnded:
		tables.add(queriesOf(l.Attrs[logmsg.KeyClass]), queryResult(l))
	}
}

// pollResult returns the column for the result of a discovery poll.
func pollResult(l Line) string {
	if l.Attrs[logmsg.KeyError] != "<nil>" {
		return pollFailed
	}
	return pollSucceeded
}

// queryResult returns the column for the result of a query: its status, or a more specific result.
func queryResult(l Line) string {
	status := l.Attrs[logmsg.KeyStatus]
	switch {
	case status == logmsg.StatusServed && l.Attrs[logmsg.KeyComplete] == "false":
		return partial
	case status == logmsg.StatusRejected && l.Attrs[logmsg.KeyAttempts] == "0":
		return rejectedUnsent
	}
	return status
}

// countPart counts a part, separately for replicas that were in slow start.
func (s *Summary) countPart(l Line, second int) {
	replica := l.Attrs[logmsg.KeyReplica]
	parts := s.partsWarmedUp
	if startedAt, known := s.startedAt[replica]; known && l.At >= startedAt && l.At-startedAt < s.slowStart {
		parts = s.partsInSlowStart
	}
	if parts[second] == nil {
		parts[second] = map[string]int{}
	}
	parts[second][replica]++
}

// Columns of the table of parts in slow start.
const (
	slowStartReplicas = "replicas"
	slowStartParts    = "parts"
	slowStartMost     = "most at one"
	warmedUpMean      = "mean of a warmed-up one"
)

// slowStartTable returns, by second, how many parts were sent to replicas in slow start and, for comparison, the mean
// per warmed-up replica.
func (s *Summary) slowStartTable() counts {
	table := counts{}
	for second, replicas := range s.partsInSlowStart {
		row := map[string]int{slowStartReplicas: len(replicas)}
		for _, parts := range replicas {
			row[slowStartParts] += parts
			row[slowStartMost] = max(row[slowStartMost], parts)
		}
		for _, parts := range s.partsWarmedUp[second] {
			row[warmedUpMean] += parts
		}
		row[warmedUpMean] /= max(1, len(s.partsWarmedUp[second]))
		table[secondRow(second)] = row
	}
	return table
}
