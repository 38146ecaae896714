package testbed

import (
	"time"

	"harepass"
	"harepass/internal/opensearch"
)

// SummaryIndex is the index of the summaries, in one phase or in two.
const SummaryIndex = "conditions"

const summaryClass = "conditions-summary"

// SummarySettings are the settings of a site whose nodes form a ring of so many cells: conditions summaries as the
// Co-operative has them, with a node holding so many sections in a row.
func SummarySettings(cells, reach int) harepass.Settings {
	return harepass.Settings{Roots: 1, Cells: cells, Reach: reach, CallBatch: 1, Turn: 5 * time.Millisecond, MaxAttempts: 4, Cancel: true,
		RetryAdvice: time.Second, Classes: []harepass.Class{{Name: summaryClass, Aim: 1500 * time.Millisecond,
			Deadline: 5 * time.Second, Worth: 3, LateWorth: 0.3, Need: 1, Floor: 0.7}}}
}

// SummaryIndices has the one index of the summaries; its field "version" tells the versions of documents apart.
func SummaryIndices(twoPhase bool) map[string]*opensearch.Index {
	ix := &opensearch.Index{Class: summaryClass}
	if twoPhase {
		ix.TwoPhase = &opensearch.TwoPhase{Version: "version"}
	}
	return map[string]*opensearch.Index{SummaryIndex: ix}
}
