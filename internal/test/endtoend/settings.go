package endtoend

import (
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"
)

// SummaryIndex is the name of the index of conditions summaries, for one phase and for two.
const SummaryIndex = "conditions"

const summaryClass = "conditions-summary"

// SummarySettings returns the settings of a site that serves the Co-operative's conditions summaries. Its nodes form a
// ring of cells positions, and each node holds reach consecutive sections.
func SummarySettings(cells, reach int) scatter.Settings {
	return scatter.Settings{
		Coordinators:      1,
		RingSize:          cells,
		ReplicationFactor: reach,
		PartsPerCall:      1,
		TickInterval:      5 * time.Millisecond,
		MaxAttempts:       4,
		Cancellation:      true,
		RetryAfter:        time.Second,
		Classes: []scatter.Class{{
			Name:             summaryClass,
			LatencyObjective: 1500 * time.Millisecond,
			Deadline:         5 * time.Second,
			PriorityWeight:   3,
			LateWeight:       0.3,
			CompleteFraction: 1,
			MinFraction:      0.7,
		}},
	}
}

// SummaryIndices returns the index of the summaries as the only one. With two phases, its field "version" distinguishes
// the versions of documents.
func SummaryIndices(twoPhase bool) map[string]*opensearch.Index {
	ix := &opensearch.Index{Class: summaryClass}
	if twoPhase {
		ix.TwoPhase = &opensearch.TwoPhase{VersionField: "version"}
	}
	return map[string]*opensearch.Index{SummaryIndex: ix}
}
