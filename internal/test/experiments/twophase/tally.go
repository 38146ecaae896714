package twophase

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harepass/internal/test/endtoend"
)

// maxRecordedLatency is the greatest latency that the histogram can record.
const maxRecordedLatency = 10 * time.Second

// tally holds the counts of one run. late, wrong and unchanged count from the start of the run, all else after the
// warm-up.
type tally struct {
	queries, answers   int
	incomplete         int // answers without some shards
	rejected           int // queries whose HTTP status was not 200
	late               int // answers later than the deadline plus lateSlack
	wrong              int // violations found in answers
	firstViolation     string
	prunedParts, parts int                     // sums over all answers
	workUnits          float64                 // units of work done by the replicas
	latencies          *hdrhistogram.Histogram // microseconds
	unchanged          map[int]string          // hits of answers without a change of data during the query, by arrival
}

func newTally() *tally {
	return &tally{latencies: hdrhistogram.New(1, maxRecordedLatency.Microseconds(), 3), unchanged: map[int]string{}}
}

// prunedShare returns the share of pruned parts.
func (t *tally) prunedShare() float64 { return float64(t.prunedParts) / math.Max(1, float64(t.parts)) }

// latency returns a percentile, from 0 to 100, of the latencies.
func (t *tally) latency(percentile float64) time.Duration {
	return time.Duration(t.latencies.ValueAtPercentile(percentile)) * time.Microsecond
}

// add counts an answer. warmUp states whether the query started during the warm-up.
func (t *tally) add(a answer, warmUp bool) {
	if t.wrong += len(a.violations); len(a.violations) > 0 && t.firstViolation == "" {
		t.firstViolation = a.violations[0]
	}
	if a.latency() > deadline+lateSlack {
		t.late++
	}
	if warmUp {
		return
	}
	t.queries++
	if a.status != http.StatusOK {
		t.rejected++
		return
	}
	t.answers++
	t.latencies.RecordValue(a.latency().Microseconds())
	var body endtoend.Answer
	if json.Unmarshal(a.body, &body) == nil {
		t.prunedParts += body.Shards.Skipped
		t.parts += body.Shards.Total
		if body.TimedOut {
			t.incomplete++
		}
	}
}
