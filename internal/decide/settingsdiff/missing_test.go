package settingsdiff

import (
	"fmt"
	"testing"
)

// A deduplication window is required of guarded classes only. A class that is no longer guarded may omit it. A guarded
// class must have it even if no class had one before, or if other classes have none.
func TestDedupWindowIsRequiredOfGuardedClassesOnly(t *testing.T) {
	const want = "[classes[b].dedup_window_us]"
	old, next := settingsWith("a"), settingsWith("a")
	old["classes.0.repeat"], old["classes.0.dedup_window_us"] = "guarded", "5"
	if got := Missing(ByName(old), ByName(next)); len(got) != 0 {
		t.Errorf("a class that is no longer guarded: missing %v, want nothing", got)
	}
	next["classes.0.repeat"] = "guarded"
	if got := fmt.Sprint(Missing(ByName(old), ByName(next))); got != "[classes[a].dedup_window_us]" {
		t.Errorf("a class that stays guarded: missing %s, want its deduplication window", got)
	}
	old, next = settingsWith("a", "b"), settingsWith("a", "b")
	next["classes.1.repeat"] = "guarded"
	if got := fmt.Sprint(Missing(ByName(old), ByName(next))); got != want {
		t.Errorf("a class that becomes guarded: missing %s, want its deduplication window", got)
	}
	old["classes.1.repeat"], old["classes.1.dedup_window_us"] = "guarded", "5"
	if got := fmt.Sprint(Missing(ByName(old), ByName(next))); got != want {
		t.Errorf("a guarded class beside an unguarded one: missing %s, want its deduplication window", got)
	}
}

// A change leaves out keys that may be absent, as when a class's repeats may no longer be dropped. It lacks nothing, or
// it would be refused as a whole. A class whose repeats are dropped still needs its group.
func TestKeysThatMayBeAbsent(t *testing.T) {
	optional := []string{"classes.0.aim_stretch", "classes.0.group", "classes.0.dedup_window_us", "family_info.warm_keys",
		"rules.budget_free", "rules.extra_ratio", "rules.extra_window_us"}
	old := settingsWith("a")
	for _, path := range optional {
		old[path] = "1"
	}
	old["classes.0.repeat"] = "guarded"
	next := settingsWith("a")
	next["classes.0.repeat"] = "single_shot"
	if got := Missing(ByName(old), ByName(next)); len(got) != 0 {
		t.Errorf("a class becomes single_shot: missing %v, want nothing", got)
	}
	next["classes.0.repeat"] = "guarded"
	const want = "[classes[a].dedup_window_us classes[a].group]"
	if got := fmt.Sprint(Missing(ByName(old), ByName(next))); got != want {
		t.Errorf("a class stays guarded: missing %s, want %s", got, want)
	}
}
