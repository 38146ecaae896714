package settingsdiff

import (
	"fmt"
	"testing"
)

// An operator edits the settings file. Missing finds what the file lacks, and Differences reports each change by its
// path. The order of the file's lists does not matter.
func TestMissingAndDifferencesOfEditedFile(t *testing.T) {
	for _, tc := range []struct {
		what             string
		edit             func(map[string]string)
		missing, changes string
	}{
		{"nothing", func(map[string]string) {}, "[]", "[]"},
		{"a class added and one removed", func(f map[string]string) {
			f["classes.1.name"] = "c"
		}, "[]", "[classes: b is gone classes: c is new]"},
		{"another order", func(f map[string]string) {
			f["classes.0.name"], f["classes.1.name"] = "b", "a"
		}, "[]", "[]"},
		{"a changed value", func(f map[string]string) {
			f["caps.most_tries"] = "2"
		}, "[]", "[caps.most_tries: 2, was 4]"},
		{"a changed value of a class in a list by class", func(f map[string]string) {
			f["family_info.need_by_class"] = "1,0.5"
		}, "[]", "[classes[b].family_info.need_by_class: 0.5, was 1]"},
		{"a key removed", func(f map[string]string) {
			delete(f, "caps.most_tries")
		}, "[caps.most_tries]", "[caps.most_tries: none, was 4]"},
		{"a class's key removed", func(f map[string]string) {
			delete(f, "classes.1.hard_limit_us")
		}, "[classes[b].hard_limit_us]", "[classes[b].hard_limit_us: none, was 3000000]"},
		{"a new class without a key", func(f map[string]string) {
			f["classes.1.name"] = "c"
			delete(f, "classes.1.repeat")
		}, "[classes[c].repeat]", "[classes: b is gone classes: c is new]"},
		{"a list by class that is too short", func(f map[string]string) {
			f["family_info.need_by_class"] = "1"
		}, "[classes[b].family_info.need_by_class]", "[classes[b].family_info.need_by_class: none, was 1]"},
	} {
		next := settingsWith("a", "b")
		tc.edit(next)
		old, named := ByName(settingsWith("a", "b")), ByName(next)
		if got := fmt.Sprint(Missing(old, named)); got != tc.missing {
			t.Errorf("%s: missing %s, want %s", tc.what, got, tc.missing)
		}
		if got := fmt.Sprint(Differences(old, named)); got != tc.changes {
			t.Errorf("%s: changes %s, want %s", tc.what, got, tc.changes)
		}
	}
}
