package twophase

import (
	"encoding/json"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harepass/internal/test/endtoend"
)

// tally is what came of one run.
type tally struct {
	queries, answers, inPart, refused int
	late, wrong                       int
	example                           string // of what is wrong
	pruned, sections                  int    // of all answers
	units                             float64
	latencies                         *hdrhistogram.Histogram // microseconds
	unchanged                         map[int]string          // by arrival: the hits of answers during which nothing changed
}

func newTally() *tally {
	return &tally{latencies: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3), unchanged: map[int]string{}}
}

func (t *tally) prunedShare() float64 { return float64(t.pruned) / math.Max(1, float64(t.sections)) }

// latency is that of a percentile.
func (t *tally) latency(percentile float64) time.Duration {
	return time.Duration(t.latencies.ValueAtPercentile(percentile)) * time.Microsecond
}

// add books an answer with its faults. During the warm-up only what is wrong or late counts.
func (t *tally) add(warmUp bool, status int, body []byte, took time.Duration, faults []string) {
	if t.wrong += len(faults); len(faults) > 0 && t.example == "" {
		t.example = faults[0]
	}
	if took > budget+lateSlack {
		t.late++
	}
	if warmUp {
		return
	}
	t.queries++
	if status != 200 {
		t.refused++
		return
	}
	t.answers++
	t.latencies.RecordValue(took.Microseconds())
	var a endtoend.Answer
	if json.Unmarshal(body, &a) == nil {
		t.pruned += a.Shards.Skipped
		t.sections += a.Shards.Total
		if a.TimedOut {
			t.inPart++
		}
	}
}
