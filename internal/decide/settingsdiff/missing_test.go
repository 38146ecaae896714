package settingsdiff

import (
	"fmt"
	"testing"
)

// Only guarded classes have a deduplication window. A class that is no longer guarded lacks nothing without it. A
// guarded class lacks it also if no class had one before, or if other classes have none.
func TestDedupWindowIsRequiredOfGuardedClassesOnly(t *testing.T) {
	const want = "[classes[b].dedup_window_us]"
	old, next := settingsWith("a"), settingsWith("a")
	old["classes.0.repeat"], old["classes.0.dedup_window_us"] = "guarded", "5"
	if got := Missing(ByName(old), ByName(next)); len(got) != 0 {
		t.Errorf("a class that is no longer guarded: missing %v", got)
	}
	next["classes.0.repeat"] = "guarded"
	if got := fmt.Sprint(Missing(ByName(old), ByName(next))); got != "[classes[a].dedup_window_us]" {
		t.Errorf("a class that stays guarded: missing %s", got)
	}
	old, next = settingsWith("a", "b"), settingsWith("a", "b")
	next["classes.1.repeat"] = "guarded"
	if got := fmt.Sprint(Missing(ByName(old), ByName(next))); got != want {
		t.Errorf("a class that is guarded from now on: missing %s", got)
	}
	old["classes.1.repeat"], old["classes.1.dedup_window_us"] = "guarded", "5"
	if got := fmt.Sprint(Missing(ByName(old), ByName(next))); got != want {
		t.Errorf("a guarded class beside one that is not: missing %s", got)
	}
}
