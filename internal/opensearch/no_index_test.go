package opensearch

import (
	"testing"

	"harepass/internal/core"
)

// A query from the platform's front has a class that no index has, so it cannot be sent to replicas that offer the API.
// Each attempt is counted, and the class is marked as logged; before, nothing reported why the queries of such a class
// failed.
func TestClassWithoutIndexIsCounted(t *testing.T) {
	caller := &Caller{Config: &Config{SectionField: "section", Indices: map[string]*Index{"i": {Class: "a", name: "i"}}}}
	before := attemptsWithoutIndex.Value()
	for _, class := range []string{"a", "b", "b"} {
		if _, ok := caller.requestFor(&core.Attempt{Class: class}, "address"); ok != (class == "a") {
			t.Errorf("class %s: request built %t", class, ok)
		}
	}
	if n := attemptsWithoutIndex.Value() - before; n != 2 || !caller.withoutIndex["b"] || caller.withoutIndex["a"] {
		t.Errorf("%d attempts counted, classes %v logged; want 2 attempts, class b", n, caller.withoutIndex)
	}
}
