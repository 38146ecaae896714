package settingsdiff

import (
	"fmt"
	"slices"
	"strings"
)

// countKey is the path suffix of list lengths. Settings with this suffix are not compared, not even outside the lists:
// a length changes only together with the entries, which have their own lines.
const countKey = ".count"

// Differences returns a sorted list with one line for each change from old to next, for operators to read. The result
// is empty if nothing changes.
func Differences(old, next Named) (lines []string) {
	oldKeys, nextKeys := keysOfEntries(old), keysOfEntries(next)
	lines = entryDifferences(oldKeys, nextKeys)
	// covered reports whether a setting gets no line of its own, because it is a length or belongs to an entry that
	// entryDifferences reports as a whole.
	covered := func(path string) bool {
		p, inEntry := parseEntryPath(path)
		return strings.HasSuffix(path, countKey) ||
			inEntry && !(oldKeys.has(p.list, p.name) && nextKeys.has(p.list, p.name))
	}
	for path, value := range next {
		before, ok := old[path]
		if !ok {
			before = "none"
		}
		if !covered(path) && (!ok || before != value) {
			lines = append(lines, fmt.Sprintf("%s: %s, was %s", path, value, before))
		}
	}
	for path, before := range old {
		if _, ok := next[path]; !covered(path) && !ok {
			lines = append(lines, fmt.Sprintf("%s: none, was %s", path, before))
		}
	}
	slices.Sort(lines)
	return lines
}

// entryDifferences returns a line for each entry that only the old or only the next settings have.
func entryDifferences(oldKeys, nextKeys entryKeys) (lines []string) {
	for _, list := range lists {
		for name := range nextKeys[list] {
			if !oldKeys.has(list, name) {
				lines = append(lines, fmt.Sprintf("%s: %s is new", list, name))
			}
		}
		for name := range oldKeys[list] {
			if !nextKeys.has(list, name) {
				lines = append(lines, fmt.Sprintf("%s: %s is gone", list, name))
			}
		}
	}
	return lines
}
