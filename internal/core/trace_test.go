package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

func logged(t *testing.T, level slog.Level) (*harness, *bytes.Buffer) {
	var out bytes.Buffer
	return newHarness(t, func(c *Config) {
		c.Log = slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level}))
	}), &out
}

// A query that fails is one line with its id, class, time left and attempts; one that is served in time is none.
func TestBadEndIsOneLine(t *testing.T) {
	h, out := logged(t, slog.LevelInfo)
	h.Submit(h.query("free", 0))
	h.pass(0)
	h.AttemptEnded(h.caller.last(), scatter.Succeeded, []byte("v"))
	h.pass(ms)
	if out.Len() > 0 {
		t.Errorf("a good query is told: %s", out)
	}
	h.Submit(h.query("once", 0))
	h.pass(100 * ms)
	h.AttemptEnded(h.caller.last(), scatter.ConnectionReset, nil)
	h.pass(ms)
	for _, want := range []string{"query_id=q2", "class=once", "status=failed", "time_left=2.9s", "attempts=1"} {
		if strings.Count(out.String(), want) != 1 {
			t.Errorf("%q is not there once: %s", want, out)
		}
	}
	if strings.Contains(out.String(), `msg="attempt ended"`) {
		t.Errorf("attempts are told without a trace: %s", out)
	}
}

// Many bad ends are few lines, and the next line says how many there were.
func TestBadEndsAreBounded(t *testing.T) {
	var limit logLimit
	said := 0
	for i := range 20 {
		if _, ok := limit.take(time.Hour + time.Duration(i)*10*ms); ok {
			said++
		}
	}
	if said != maxLogBurst {
		t.Errorf("%d lines at once, want %d", said, maxLogBurst)
	}
	if dropped, ok := limit.take(time.Hour + 200*ms + logInterval); !ok || dropped != 20-maxLogBurst {
		t.Errorf("after a while: %d left out, %t", dropped, ok)
	}
	if dropped, ok := limit.take(2 * time.Hour); !ok || dropped != 0 {
		t.Errorf("an hour later: %d left out, %t", dropped, ok)
	}
}

// A trace tells every attempt and every query, those that go well too.
func TestTrace(t *testing.T) {
	h, out := logged(t, slog.LevelDebug)
	h.Submit(h.query("free", 0, 1))
	h.pass(0)
	for _, call := range h.caller.calls {
		for _, at := range call {
			h.AttemptEnded(at, scatter.Succeeded, []byte("v"))
		}
	}
	h.pass(time.Second)
	if n := strings.Count(out.String(), `msg="attempt ended" query_id=q1`); n != 2 {
		t.Errorf("%d attempts told, want 2: %s", n, out)
	}
	if !strings.Contains(out.String(), "status=served complete=true") {
		t.Errorf("the answer is not told: %s", out)
	}
}
