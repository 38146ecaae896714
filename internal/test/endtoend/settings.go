package endtoend

import (
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"
)

// SummaryIndex is the index of the summaries, in one phase or in two.
const SummaryIndex = "conditions"

const summaryClass = "conditions-summary"

// SummarySettings are the settings of a site whose nodes form a ring of so many cells: conditions summaries as the
// Co-operative has them, with a node holding so many sections in a row.
func SummarySettings(cells, reach int) scatter.Settings {
	return scatter.Settings{Coordinators: 1, RingSize: cells, ReplicationFactor: reach, PartsPerCall: 1, TickInterval: 5 * time.Millisecond, MaxAttempts: 4, Cancellation: true,
		RetryAfter: time.Second, Classes: []scatter.Class{{Name: summaryClass, LatencyObjective: 1500 * time.Millisecond,
			Deadline: 5 * time.Second, PriorityWeight: 3, LateWeight: 0.3, CompleteFraction: 1, MinFraction: 0.7}}}
}

// SummaryIndices has the one index of the summaries; its field "version" tells the versions of documents apart.
func SummaryIndices(twoPhase bool) map[string]*opensearch.Index {
	ix := &opensearch.Index{Class: summaryClass}
	if twoPhase {
		ix.TwoPhase = &opensearch.TwoPhase{VersionField: "version"}
	}
	return map[string]*opensearch.Index{SummaryIndex: ix}
}
