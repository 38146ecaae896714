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

// Missing returns the sorted paths that next must have but lacks. Required are each path outside the lists that old has
// and, in each list entry of next, the keys that all entries of the list had in old and the keys that the entry itself
// had in old. The deduplication window is required of guarded classes only. The result is empty if next lacks nothing.
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
		if _, inEntry := parseEntryPath(path); !inEntry {
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
	repeat := entryPath{list, name, repeatKey}.String()
	switch {
	case next[repeat] != repeatGuarded:
		delete(keys, dedupWindowKey)
	case old[repeat] != repeatGuarded:
		keys[dedupWindowKey] = true
	}
	return keys
}
