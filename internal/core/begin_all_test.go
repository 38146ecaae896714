package core

import (
	"strings"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// namesOf is a message that names the queries of its attempts.
func namesOf(list []*Attempt) []byte {
	var names []string
	for _, at := range list {
		names = append(names, at.QueryID)
	}
	return []byte(strings.Join(names, " "))
}

// While the message of two attempts is encoded, the process is suspended and the client of one of them leaves, or its
// time ends. The message that is written is encoded after the suspension, and names only the other attempt.
func TestMessageIsEncodedAgainAfterSuspension(t *testing.T) {
	for name, tc := range map[string]struct {
		suspension time.Duration
		leaves     bool
	}{
		"the client leaves during the suspension": {suspension: 300 * ms, leaves: true},
		"the client's time ends meanwhile":        {suspension: 4 * time.Second},
	} {
		h := newTwoEndpointHarness(t, nil)
		left := make(chan struct{})
		leaving, staying := h.query("free", 0), h.query("free", 1)
		leaving.client.closed = left
		staying.Deadline += time.Minute
		h.submit(leaving)
		first := h.caller.last()
		h.submit(staying)
		encodings := 0
		message, begun := BeginAll([]*Attempt{first, h.caller.last()}, func(list []*Attempt) []byte {
			if encodings++; encodings == 1 {
				h.clock += tc.suspension
				if tc.leaves {
					close(left)
				}
			}
			return namesOf(list)
		})
		if string(message) != staying.ID || len(begun) != 1 || begun[0].QueryID != staying.ID || encodings != 2 {
			t.Errorf("%s: message %q of %d attempts, encoded %d times; want only %q, encoded twice",
				name, message, len(begun), encodings, staying.ID)
		}
	}
}

// Nothing begins if there is no message for the attempts.
func TestNothingBeginsWithoutMessage(t *testing.T) {
	h := newTwoEndpointHarness(t, nil)
	h.submit(h.query("free", 0))
	at, before := h.caller.last(), attemptsBegun.Value()
	message, begun := BeginAll([]*Attempt{at}, func([]*Attempt) []byte { return nil })
	if message != nil || begun != nil || attemptsBegun.Value() != before || !at.Begin() {
		t.Errorf("message %q of %d attempts, want none, and the attempt may begin later", message, len(begun))
	}
	h.AttemptEnded(at, scatter.Succeeded, []byte("v"))
	h.pass(0)
}

// A replica refuses an attempt's first message. The second one is sent only while the client is still there.
func TestSecondMessageOfAnAttempt(t *testing.T) {
	h := newTwoEndpointHarness(t, nil)
	left := make(chan struct{})
	q := h.query("free", 0)
	q.client.closed = left
	h.submit(q)
	at := h.caller.last()
	if _, begun := BeginAll([]*Attempt{at}, namesOf); len(begun) != 1 {
		t.Fatal("the attempt may not begin")
	}
	if message := BeginAgain(at, namesOf); string(message) != q.ID {
		t.Errorf("second message %q, want %q", message, q.ID)
	}
	close(left)
	if message := BeginAgain(at, namesOf); message != nil {
		t.Errorf("second message %q after the client has left, want none", message)
	}
}
