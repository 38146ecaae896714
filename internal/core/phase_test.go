package core

import (
	"reflect"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// The platform kills a process some time after it has requested the shutdown. A query accepted during the drain is
// answered before that, however late its client's deadline is.
func TestDrainTimeoutBoundsQueries(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Limits.DrainTimeout = time.Second })
	h.Drain()
	h.pass(600 * ms)
	h.Submit(h.query("free", 0))
	h.pass(390 * ms)
	h.want(t)
	h.pass(11 * ms)
	h.want(t, "refused complete=false []")
}

// A coordinator never returns to an earlier phase. A draining coordinator accepts queries, and stops when the last one
// is answered.
func TestPhasesGoOneWay(t *testing.T) {
	h := newHarness(t, nil)
	var seen []string
	note := func() { seen = append(seen, h.Phase().String()) }
	note()
	h.Submit(h.query("free", 0))
	h.Drain()
	h.pass(0)
	note()
	h.Submit(h.query("free", 1))
	h.post(stopRequest{})
	h.pass(0)
	note()
	for _, call := range h.caller.calls {
		h.AttemptEnded(call[0], scatter.Succeeded, []byte("v"))
	}
	h.pass(0)
	note()
	if want := []string{"ready", "draining", "draining", "stopped"}; !reflect.DeepEqual(seen, want) {
		t.Errorf("phases %v, want %v", seen, want)
	}
	h.want(t, `served complete=true ["v"]`, `served complete=true ["v"]`)
	if h.Submit(h.query("free", 0)) {
		t.Error("a stopped coordinator accepted a query")
	}
}

func TestCheckReadyNamesThePhase(t *testing.T) {
	h := newHarness(t, nil)
	if err := h.CheckReady(); err != nil {
		t.Errorf("CheckReady in phase Ready: %v", err)
	}
	h.Drain()
	h.pass(0)
	if err := h.CheckReady(); err != (NotReadyError{Draining}) || err.Error() != "draining" {
		t.Errorf("CheckReady in phase Draining: %v", err)
	}
}
