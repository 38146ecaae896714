package scaletest

import (
	"strings"
	"testing"
	"time"

	"harepass/internal/test/fake"
)

// The registry serves calls that return a change one after another and rejects those that would wait too long. It has
// no change for a caller with the latest version. A terminated endpoint is listed in the changes, but not in the
// complete list.
func TestRegistryServesCallsOneAfterAnother(t *testing.T) {
	r := NewRegistry([]fake.Endpoint{{Name: "a"}, {Name: "b"}})
	r.CallDuration, r.MaxWait = time.Hour, time.Millisecond
	if !r.hasChanges(-1) || r.hasChanges(2) {
		t.Error("registry of two endpoints: want changes since version -1 and none since version 2")
	}
	r.idleAt = time.Now().Add(time.Hour) // earlier calls take this long
	if r.awaitService(t.Context()) {
		t.Error("call was served before earlier calls, want it rejected after MaxWait")
	}
	if served, failed := r.CallCounts(); served != 0 || failed != 1 {
		t.Errorf("%d calls served and %d failed, want 0 and 1", served, failed)
	}
	r.Put(fake.Endpoint{Name: "a", Status: fake.StatusTerminated})
	text := string(r.encode(2))
	if !strings.Contains(text, `"index":3,"snapshot":false`) || strings.Contains(text, `"b"`) {
		t.Errorf("changes since version 2: %s, want index 3 and only endpoint a", text)
	}
	text = string(r.encode(-1))
	if !strings.Contains(text, `"snapshot":true`) || strings.Contains(text, `"a"`) {
		t.Errorf("complete list: %s, want a snapshot without endpoint a", text)
	}
}
