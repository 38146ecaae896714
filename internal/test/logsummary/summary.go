package logsummary

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"harepass/internal/logmsg"
)

// counts is a table of them by row and column.
type counts map[string]map[string]int

func (c counts) add(row, column string) {
	if c[row] == nil {
		c[row] = map[string]int{}
	}
	c[row][column]++
}

// columns lists all of them, in order.
func (c counts) columns() []string {
	all := map[string]bool{}
	for _, row := range c {
		for column := range row {
			all[column] = true
		}
	}
	return sorted(all)
}

// sorted lists the keys of a map in order.
func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Summary is what the logs of a fleet tell. The settings and the list have to be read before what they are to count for.
type Summary struct {
	Roots   map[string]bool
	Seconds map[int]counts // by second, then by kind and what happened
	Nodes   counts         // attempts by node and outcome, and connections

	warmWithin time.Duration
	started    map[string]time.Duration // when a node started last, on the clock of the lines
	cold, warm map[int]map[string]int   // parts by second and node
}

// NewSummary returns an empty one.
func NewSummary() *Summary {
	return &Summary{Roots: map[string]bool{}, Seconds: map[int]counts{}, Nodes: counts{}, started: map[string]time.Duration{},
		cold: map[int]map[string]int{}, warm: map[int]map[string]int{}}
}

// Learn takes from a line what others are judged by: how long nodes are cold, and when each started; an age of 0 is long.
func (s *Summary) Learn(l Line) {
	switch l.Name {
	case logmsg.SettingsRead:
		s.warmWithin, _ = time.ParseDuration(l.Attrs[logmsg.KeySlowStart])
	case logmsg.EndpointUpdated:
		age, err := time.ParseDuration(l.Attrs[logmsg.KeyAge])
		if err == nil && age > 0 && l.Attrs[logmsg.KeyState] == logmsg.StateReady {
			replica := l.Attrs[logmsg.KeyReplica]
			s.started[replica] = max(s.started[replica], l.At-age)
		}
	}
}

// addPart books a part by whether its node was cold.
func (s *Summary) addPart(l Line, second int) {
	which := s.warm
	if since, known := s.started[l.Attrs[logmsg.KeyReplica]]; known && l.At >= since && l.At-since < s.warmWithin {
		which = s.cold
	}
	if which[second] == nil {
		which[second] = map[string]int{}
	}
	which[second][l.Attrs[logmsg.KeyReplica]]++
}

// coldNodes is what nodes that had just started got, second by second, beside what a warm one did.
func (s *Summary) coldNodes() counts {
	c := counts{}
	for second, nodes := range s.cold {
		row := map[string]int{"nodes": len(nodes)}
		for _, n := range nodes {
			row["parts"] += n
			row["most at one"] = max(row["most at one"], n)
		}
		for _, n := range s.warm[second] {
			row["mean of a warm one"] += n
		}
		row["mean of a warm one"] /= max(1, len(s.warm[second]))
		c[fmt.Sprintf("%6d", second)] = row
	}
	return c
}

// Add books a line.
func (s *Summary) Add(l Line) {
	s.Roots[l.Root] = true
	second := int(l.At / time.Second)
	if s.Seconds[second] == nil {
		s.Seconds[second] = counts{}
	}
	kinds := s.Seconds[second]
	switch l.Name {
	case logmsg.DiscoveryPolled:
		end := "ok"
		if e := l.Attrs[logmsg.KeyError]; e != "<nil>" {
			end = "failed"
		}
		kinds.add("list calls", end)
	case logmsg.ConnectionOpened:
		kinds.add("connections", "opened")
		s.Nodes.add(l.Attrs[logmsg.KeyReplica], "connections")
	case logmsg.AttemptEnded:
		kinds.add("attempts", l.Attrs[logmsg.KeyOutcome])
		if l.Attrs[logmsg.KeyAttempt] != "0" {
			kinds.add("attempts", "further")
		}
		s.Nodes.add(l.Attrs[logmsg.KeyReplica], l.Attrs[logmsg.KeyOutcome])
		s.addPart(l, second)
	case logmsg.QueryEnded:
		end := l.Attrs[logmsg.KeyStatus]
		switch {
		case end == logmsg.StatusServed && l.Attrs[logmsg.KeyComplete] == "false":
			end = "in part"
		case end == logmsg.StatusRejected && l.Attrs[logmsg.KeyAttempts] == "0":
			end = "refused unsent"
		}
		kinds.add("queries "+l.Attrs[logmsg.KeyClass], end)
	}
}
