package scaletest

import (
	"strings"
	"testing"
	"time"

	"harepass/internal/test/fake"
)

// The registry serves calls that have a change one after another, rejects those that would wait for too long, and
// serves a caller that has the latest version at no cost.
func TestRegistryServesCallsOneAfterAnother(t *testing.T) {
	r := NewRegistry([]fake.Endpoint{{Name: "a"}, {Name: "b"}})
	r.CallDuration, r.MaxWait = time.Hour, time.Millisecond
	if !r.hasChanges(-1) || r.hasChanges(2) {
		t.Error("changes of two endpoints")
	}
	r.idleAt = time.Now().Add(time.Hour) // calls before it take so long
	if r.awaitService(t.Context()) {
		t.Error("a call is served before those that came earlier")
	}
	if answered, failed := r.CallCounts(); answered != 0 || failed != 1 {
		t.Errorf("%d answered, %d failed", answered, failed)
	}
	r.Put(fake.Endpoint{Name: "a", Status: fake.StatusTerminated})
	text := string(r.encode(2))
	if !strings.Contains(text, `"index":3,"snapshot":false`) || strings.Contains(text, `"b"`) {
		t.Errorf("changes: %s", text)
	}
	text = string(r.encode(-1))
	if !strings.Contains(text, `"snapshot":true`) || strings.Contains(text, `"a"`) {
		t.Errorf("the complete list: %s", text)
	}
}
