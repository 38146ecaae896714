package core

import (
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// Two clients give their queries one id. Replicas know parts by it, and would take one query's parts for the other's.
// So the second query is refused, also right after the first has its answer, when a replica may still be at it. Once
// the time of the first query's client is over, nothing of it remains.
func TestClientIDIsReserved(t *testing.T) {
	h := newHarness(t, nil)
	first, second := h.query("free", 0), h.query("free", 0)
	second.ID = first.ID
	first.Deadline += time.Minute
	h.Submit(first)
	h.submit(second)
	h.want(t, "invalid complete=false []")
	h.AttemptEnded(h.caller.last(), scatter.Succeeded, []byte("v"))
	h.pass(0)
	h.submit(second)
	h.want(t, "invalid complete=false []", `served complete=true ["v"]`, "invalid complete=false []")
	h.pass(2 * time.Minute)
	if n := h.timers.tree.Len(); len(h.reservedIDs) > 0 || n > 1 {
		t.Errorf("%d ids and %d timers remain", len(h.reservedIDs), n)
	}
}
