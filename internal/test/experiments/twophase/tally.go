package twophase

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harepass/internal/test/endtoend"
)

// maxRecordedLatency is the greatest latency that the histogram tells apart.
const maxRecordedLatency = 10 * time.Second

// tally is what came of one play. Late and wrong answers count from its start, all else after the warm-up.
type tally struct {
	queries, answers   int
	incomplete         int // answers without some shards
	rejected           int // queries without an answer
	late               int // answers later than the deadline
	wrong              int // violations found in answers
	firstViolation     string
	prunedParts, parts int                     // of all answers
	workUnits          float64                 // units of work that the replicas did
	latencies          *hdrhistogram.Histogram // microseconds
	unchanged          map[int]string          // by arrival: hits of answers during which the data did not change
}

func newTally() *tally {
	return &tally{latencies: hdrhistogram.New(1, maxRecordedLatency.Microseconds(), 3), unchanged: map[int]string{}}
}

// prunedShare returns the share of the parts that were pruned.
func (t *tally) prunedShare() float64 { return float64(t.prunedParts) / math.Max(1, float64(t.parts)) }

// latency returns a percentile of the latencies.
func (t *tally) latency(percentile float64) time.Duration {
	return time.Duration(t.latencies.ValueAtPercentile(percentile)) * time.Microsecond
}

// add counts an answer.
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
