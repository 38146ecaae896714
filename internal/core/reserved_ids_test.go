package core

import (
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// Two clients give their queries the same id. Replicas identify parts by it and would confuse the two queries, so the
// second is refused. It is also refused right after the first is answered, when a replica may still work on that. Once
// the first query's deadline has passed, nothing of it remains.
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
		t.Errorf("%d reserved ids and %d timers remain after the deadline", len(h.reservedIDs), n)
	}
}
