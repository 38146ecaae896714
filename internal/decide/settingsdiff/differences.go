package settingsdiff

import (
	"fmt"
	"slices"
	"strings"
)

// countKey ends the paths of the lists' lengths. No setting whose path ends so is compared, one outside the lists
// neither: a length changes with the entries, which have lines of their own.
const countKey = ".count"

// Differences returns, in order, a line for each change from old to next, for operators to read. The result is empty if
// nothing changes.
func Differences(old, next Named) (lines []string) {
	was, is := keysOfEntries(old), keysOfEntries(next)
	lines = entryDifferences(was, is)
	covered := func(path string) bool { // by entryDifferences
		p, inEntry := parseEntryPath(path)
		return strings.HasSuffix(path, countKey) || inEntry && !(was.has(p.list, p.name) && is.has(p.list, p.name))
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

// entryDifferences returns a line for each entry that only one of two settings has.
func entryDifferences(was, is entryKeys) (lines []string) {
	for _, list := range lists {
		for name := range is[list] {
			if !was.has(list, name) {
				lines = append(lines, fmt.Sprintf("%s: %s is new", list, name))
			}
		}
		for name := range was[list] {
			if !is.has(list, name) {
				lines = append(lines, fmt.Sprintf("%s: %s is gone", list, name))
			}
		}
	}
	return lines
}
