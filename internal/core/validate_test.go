package core

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// An invalid query is refused immediately and never queued. The client is told the reason.
func TestInvalidQueriesAreRefused(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Limits.Shards = 24
		c.Settings.Tenants = []scatter.Tenant{{Name: "kitakaze"}}
	})
	for name, tc := range map[string]struct {
		change func(*Query)
		reason string
		err    error // nil for an *InvalidPartError
	}{
		"no id":          {func(q *Query) { q.ID = "" }, "bad id", ErrInvalidID},
		"long id":        {func(q *Query) { q.ID = strings.Repeat("x", 200) }, "bad id", ErrInvalidID},
		"id with a dot":  {func(q *Query) { q.ID = "a.3" }, "bad id", ErrInvalidID},
		"id of lines":    {func(q *Query) { q.ID = "a\nb" }, "bad id", ErrInvalidID},
		"class":          {func(q *Query) { q.Class = "none" }, "unknown class", ErrUnknownClass},
		"tenant":         {func(q *Query) { q.Tenant = "none" }, "unknown tenant", ErrUnknownTenant},
		"no time":        {func(q *Query) { q.Deadline = h.clock }, "no time left", ErrNoTimeLeft},
		"no parts":       {func(q *Query) { q.Parts = nil }, "no parts", ErrNoParts},
		"shard":          {func(q *Query) { q.Parts[1].Shard = 24 }, "unknown shard 24", nil},
		"negative shard": {func(q *Query) { q.Parts[1].Shard = -1 }, "unknown shard -1", nil},
		"shard twice":    {func(q *Query) { q.Parts[1].Shard = 0 }, "shard 0 twice", nil},
		"no weight":      {func(q *Query) { q.Parts[0].Weight, q.Parts[1].Weight = 0, 1 }, "weight 0", nil},
		"negative":       {func(q *Query) { q.Parts[0].Weight, q.Parts[1].Weight = -0.5, 1.5 }, "weight -0.5", nil},
		"not a number":   {func(q *Query) { q.Parts[0].Weight = math.NaN() }, "weight NaN", nil},
		"too little":     {func(q *Query) { q.Parts[0].Weight = 0.4 }, "weights sum to 0.9", nil},
		"too much":       {func(q *Query) { q.Parts[0].Weight = 0.6 }, "weights sum to 1.1", nil},
	} {
		q := h.query("free", 0, 1)
		q.Tenant = "kitakaze"
		tc.change(q)
		err := h.validate(q)
		var part *InvalidPartError
		if tc.err != nil && !errors.Is(err, tc.err) || tc.err == nil && !errors.As(err, &part) {
			t.Errorf("%s: unexpected error %v of type %T", name, err, err)
		}
		if a := h.Execute(q, nil); a.Status != Invalid || a.Reason != tc.reason || len(h.queue) > 0 {
			t.Errorf("%s: answer %+v, want the reason %q", name, a, tc.reason)
		}
	}
	q := h.query("free", 0)
	q.Tenant, q.Deadline = "kitakaze", q.Deadline+time.Minute
	if err := h.validate(q); err != nil {
		t.Errorf("a valid query is refused: %v", err)
	}
}

// A client's rounded weights miss a sum of 1 by just less than the tolerance. The query is valid, so its answer with
// all parts is complete, even for a client that requires a complete answer.
func TestValidWeightsMakeCompleteAnswer(t *testing.T) {
	for _, weight := range []float64{0.1999, 0.19981, 0.2001, 0.20019} {
		for _, requireComplete := range []bool{false, true} {
			h := newHarness(t, nil)
			q := h.query("free", 0, 1, 2, 3, 4)
			for i := range q.Parts {
				q.Parts[i].Weight = weight
			}
			q.RequireComplete = requireComplete
			if err := h.validate(q); err != nil {
				t.Errorf("weight %g is refused: %v", weight, err)
			}
			h.submit(q)
			for _, call := range h.caller.calls {
				for _, at := range call {
					h.AttemptEnded(at, scatter.Succeeded, []byte("v"))
				}
			}
			h.pass(5 * time.Second)
			h.want(t, `served complete=true ["v" "v" "v" "v" "v"]`)
		}
	}
}
