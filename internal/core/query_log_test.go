package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// newLoggedHarness returns a harness and the buffer that its log is written to.
func newLoggedHarness(t *testing.T, level slog.Level) (*harness, *bytes.Buffer) {
	var out bytes.Buffer
	return newHarness(t, func(c *Config) {
		c.Log = slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level}))
	}), &out
}

// A failed query gives one log line with its id, class, time left and attempts. A query served in time gives none.
func TestFailedQueryIsOneLine(t *testing.T) {
	h, out := newLoggedHarness(t, slog.LevelInfo)
	h.submit(h.query("free", 0))
	h.AttemptEnded(h.caller.last(), scatter.Succeeded, []byte("v"))
	h.pass(ms)
	if out.Len() > 0 {
		t.Errorf("a query served in time is logged: %s", out)
	}
	h.Submit(h.query("once", 0))
	h.pass(100 * ms)
	h.AttemptEnded(h.caller.last(), scatter.ConnectionReset, nil)
	h.pass(ms)
	for _, want := range []string{"query_id=q2", "class=once", "status=failed", "time_left=2.9s", "attempts=1"} {
		if strings.Count(out.String(), want) != 1 {
			t.Errorf("the log does not contain %q exactly once: %s", want, out)
		}
	}
	if strings.Contains(out.String(), logmsg.AttemptEnded) {
		t.Errorf("attempts are logged above debug level: %s", out)
	}
}

// In an outage most queries fail. Only a few log lines are written, and the next line reports how many were suppressed.
func TestLogLimitCountsSuppressedLines(t *testing.T) {
	var limit logLimit
	written := 0
	for i := range 20 {
		if _, ok := limit.take(time.Hour + time.Duration(i)*10*ms); ok {
			written++
		}
	}
	if written != maxLogBurst {
		t.Errorf("%d lines in a burst, want %d", written, maxLogBurst)
	}
	if suppressed, ok := limit.take(time.Hour + 200*ms + logInterval); !ok || suppressed != 20-maxLogBurst {
		t.Errorf("after the burst: %d lines suppressed, line allowed: %t", suppressed, ok)
	}
	if suppressed, ok := limit.take(2 * time.Hour); !ok || suppressed != 0 {
		t.Errorf("an hour later: %d lines suppressed, line allowed: %t", suppressed, ok)
	}
}

// At debug level every attempt and every query is logged, including those that succeed.
func TestTraceHasAllAttemptsAndQueries(t *testing.T) {
	h, out := newLoggedHarness(t, slog.LevelDebug)
	h.submit(h.query("free", 0, 1))
	h.succeed([]byte("v"))
	h.pass(time.Second)
	if n := strings.Count(out.String(), `msg="`+logmsg.AttemptEnded+`" query_id=q1`); n != 2 {
		t.Errorf("%d attempt outcomes logged, want 2: %s", n, out)
	}
	if !strings.Contains(out.String(), "status=served complete=true") {
		t.Errorf("the answer is not logged: %s", out)
	}
}
