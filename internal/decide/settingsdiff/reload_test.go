package settingsdiff

import (
	"fmt"
	"testing"
)

func classes(names ...string) map[string]string {
	flat := map[string]string{"caps.most_tries": "4", "classes.count": fmt.Sprint(len(names)), "family_info.need_by_class": "1"}
	for i, n := range names {
		p := fmt.Sprintf("classes.%d.", i)
		flat[p+"name"], flat[p+"repeat"], flat[p+"hard_limit_us"] = n, "free", "3000000"
		if i > 0 {
			flat["family_info.need_by_class"] += ",1"
		}
	}
	return flat
}

func TestComparison(t *testing.T) {
	for _, tc := range []struct {
		what             string
		change           func(map[string]string)
		missing, changes string
	}{
		{"nothing", func(map[string]string) {}, "[]", "[]"},
		{"a class that came and one that went", func(f map[string]string) { f["classes.1.name"] = "c" }, "[]", "[classes: b is gone classes: c is new]"},
		{"another order", func(f map[string]string) { f["classes.0.name"], f["classes.1.name"] = "b", "a" }, "[]", "[]"},
		{"a figure", func(f map[string]string) { f["caps.most_tries"] = "2" }, "[]", "[caps.most_tries: 2, was 4]"},
		{"a class's figure in a list", func(f map[string]string) { f["family_info.need_by_class"] = "1,0.5" }, "[]",
			"[classes[b].family_info.need_by_class: 0.5, was 1]"},
		{"a key lost", func(f map[string]string) { delete(f, "caps.most_tries") }, "[caps.most_tries]", "[caps.most_tries: none, was 4]"},
		{"a class's key lost", func(f map[string]string) { delete(f, "classes.1.hard_limit_us") }, "[classes[b].hard_limit_us]",
			"[classes[b].hard_limit_us: none, was 3000000]"},
		{"a new class without a key", func(f map[string]string) { f["classes.1.name"] = "c"; delete(f, "classes.1.repeat") }, "[classes[c].repeat]",
			"[classes: b is gone classes: c is new]"},
		{"a list too short", func(f map[string]string) { f["family_info.need_by_class"] = "1" }, "[classes[b].family_info.need_by_class]",
			"[classes[b].family_info.need_by_class: none, was 1]"},
	} {
		next := classes("a", "b")
		tc.change(next)
		old, named := ByName(classes("a", "b")), ByName(next)
		if got := fmt.Sprint(Missing(old, named)); got != tc.missing {
			t.Errorf("%s: missing %s, want %s", tc.what, got, tc.missing)
		}
		if got := fmt.Sprint(Differences(old, named)); got != tc.changes {
			t.Errorf("%s: changes %s, want %s", tc.what, got, tc.changes)
		}
	}
}

// Only guarded classes have a window: one that is not guarded any more lacks nothing without it.
func TestWindowOfGuardedOnly(t *testing.T) {
	old := classes("a")
	old["classes.0.repeat"], old["classes.0.dedup_window_us"] = "guarded", "5"
	next := classes("a")
	if got := Missing(ByName(old), ByName(next)); len(got) != 0 {
		t.Errorf("missing %v", got)
	}
	next["classes.0.repeat"] = "guarded"
	if got := fmt.Sprint(Missing(ByName(old), ByName(next))); got != "[classes[a].dedup_window_us]" {
		t.Errorf("missing %s", got)
	}
	// Also where classes that are not guarded say nothing of it, and where the class is guarded from now on.
	old, next = classes("a", "b"), classes("a", "b")
	next["classes.1.repeat"] = "guarded"
	if got := fmt.Sprint(Missing(ByName(old), ByName(next))); got != "[classes[b].dedup_window_us]" {
		t.Errorf("missing of a class that is guarded from now on: %s", got)
	}
	old["classes.1.repeat"], old["classes.1.dedup_window_us"] = "guarded", "5"
	if got := fmt.Sprint(Missing(ByName(old), ByName(next))); got != "[classes[b].dedup_window_us]" {
		t.Errorf("missing beside a class that is not guarded: %s", got)
	}
}
