package settingsdiff

import (
	"maps"
	"slices"
)

// A class must have a deduplication window if its repeats are dropped, and only then.
const (
	repeatKey      = "repeat"
	repeatGuarded  = "guarded" // the value of repeatKey in a class whose repeats are dropped
	dedupWindowKey = "dedup_window_us"
)

// guardedOnlyKeys are the keys that only a class whose repeats are dropped needs.
var guardedOnlyKeys = []string{dedupWindowKey, "group"}

// optionalKeys are the other keys of list entries that may be absent, and optionalPaths the paths outside the lists.
// Their absence is a setting too.
var (
	optionalKeys  = []string{"aim_stretch"}
	optionalPaths = []string{"family_info.warm_keys", "rules.budget_free", "rules.extra_ratio", "rules.extra_window_us"}
)

// Missing returns the sorted paths that next must have but lacks. Required are each path outside the lists that old has
// and, in each list entry of next, the keys that all entries of the list had in old and the keys that the entry itself
// had in old, except for those that may be absent. The result is empty if next lacks nothing.
func Missing(old, next Named) (paths []string) {
	required := map[string]bool{}
	oldKeys := keysOfEntries(old)
	for list, entries := range keysOfEntries(next) {
		for name := range entries {
			for key := range requiredKeys(list, name, oldKeys, old, next) {
				required[entryPath{list, name, key}.String()] = true
			}
		}
	}
	for path := range old {
		if _, inEntry := parseEntryPath(path); !inEntry && !slices.Contains(optionalPaths, path) {
			required[path] = true
		}
	}
	for path := range required {
		if _, ok := next[path]; !ok {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

// requiredKeys returns the keys that an entry of next must have.
func requiredKeys(list, name string, oldKeys entryKeys, old, next Named) map[string]bool {
	keys := oldKeys.shared(list)
	maps.Copy(keys, oldKeys[list][name])
	for _, key := range optionalKeys {
		delete(keys, key)
	}
	repeat := entryPath{list, name, repeatKey}.String()
	switch {
	case next[repeat] != repeatGuarded:
		for _, key := range guardedOnlyKeys {
			delete(keys, key)
		}
	case old[repeat] != repeatGuarded:
		keys[dedupWindowKey] = true
	}
	return keys
}
