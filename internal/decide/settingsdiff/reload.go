// Package settingsdiff compares the settings in force with those of a file that is to replace them: what a broken file lacks,
// and what a good one changes. Settings are given as paths with their values, as internal/wire flattens them.
package settingsdiff

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// lists are those whose entries have names, with the key of the name.
var lists = []string{"classes", "customers"}

// byClass are lists of figures with one for each class, in the classes' order.
const byClass = "_by_class"

// window is a key that only classes of one kind need to have.
const window, guarded = "dedup_window_us", "guarded"

// ByName gives the paths with the entries' names in place of their places: an entry that has moved has not changed.
func ByName(flat map[string]string) map[string]string {
	names := map[string]string{}
	for path, v := range flat {
		for _, l := range lists {
			if i, ok := strings.CutPrefix(path, l+"."); ok && strings.HasSuffix(i, ".name") {
				names[l+"."+strings.TrimSuffix(i, ".name")+"."] = l + "[" + v + "]."
			}
		}
	}
	named := map[string]string{}
	for path, v := range flat {
		if strings.HasSuffix(path, byClass) {
			for i, x := range strings.Split(v, ",") {
				if n, ok := names["classes."+strconv.Itoa(i)+"."]; ok {
					named[n+path] = x
				}
			}
			continue
		}
		for _, l := range lists {
			if rest, ok := strings.CutPrefix(path, l+"."); ok {
				if i, key, ok := strings.Cut(rest, "."); ok && names[l+"."+i+"."] != "" {
					path = names[l+"."+i+"."] + key
				}
			}
		}
		named[path] = v
	}
	return named
}

// entry parts a named path of a list's entry: the list, the entry and the key.
func entry(path string) (list, name, key string, ok bool) {
	for _, l := range lists {
		if rest, found := strings.CutPrefix(path, l+"["); found {
			if i := strings.LastIndex(rest, "]."); i >= 0 {
				return l, rest[:i], rest[i+2:], true
			}
		}
	}
	return "", "", "", false
}

// Missing lists, in order, what next would have to hold because old does: each key outside the lists, and in each of
// their entries the keys that all of old's had, and those that the entry itself had. Both are Named.
func Missing(old, next map[string]string) (paths []string) {
	shared := common(old)
	for list, names := range entries(next) {
		for name := range names {
			for key := range required(list, name, shared[list], old, next) {
				path := pathOf(list, name, key)
				if _, ok := next[path]; !ok {
					paths = append(paths, path)
				}
			}
		}
	}
	for path := range old {
		if _, _, _, in := entry(path); !in {
			if _, ok := next[path]; !ok {
				paths = append(paths, path)
			}
		}
	}
	slices.Sort(paths)
	return paths
}

// required is what an entry of next has to hold. A class has to say for how long its repeats are dropped if they are, and
// only then.
func required(list, name string, shared map[string]bool, old, next map[string]string) map[string]bool {
	keys := maps.Clone(shared)
	if keys == nil {
		keys = map[string]bool{}
	}
	for path := range old {
		if l, n, key, ok := entry(path); ok && l == list && n == name {
			keys[key] = true
		}
	}
	repeat := pathOf(list, name, "repeat")
	switch {
	case next[repeat] != guarded:
		delete(keys, window)
	case old[repeat] != guarded:
		keys[window] = true
	}
	return keys
}

// pathOf is the named path of a key of a list's entry.
func pathOf(list, name, key string) string { return list + "[" + name + "]." + key }

// entries is, by list, the entries' names and how many keys each has.
func entries(named map[string]string) map[string]map[string]int {
	found := map[string]map[string]int{}
	for path := range named {
		if list, name, _, ok := entry(path); ok {
			if found[list] == nil {
				found[list] = map[string]int{}
			}
			found[list][name]++
		}
	}
	return found
}

// common is, by list, the keys that all of its entries have.
func common(named map[string]string) map[string]map[string]bool {
	counts, found := map[string]map[string]int{}, map[string]map[string]bool{}
	for path := range named {
		if list, _, key, ok := entry(path); ok {
			if counts[list] == nil {
				counts[list], found[list] = map[string]int{}, map[string]bool{}
			}
			counts[list][key]++
		}
	}
	all := entries(named)
	for list, keys := range counts {
		for key, n := range keys {
			if n == len(all[list]) {
				found[list][key] = true
			}
		}
	}
	return found
}

// Differences lists, in order, what changes from old to next, for people. Both are Named.
func Differences(old, next map[string]string) (lines []string) {
	was, is := entries(old), entries(next)
	for _, l := range lists {
		for name := range is[l] {
			if was[l][name] == 0 {
				lines = append(lines, fmt.Sprintf("%s: %s is new", l, name))
			}
		}
		for name := range was[l] {
			if is[l][name] == 0 {
				lines = append(lines, fmt.Sprintf("%s: %s is gone", l, name))
			}
		}
	}
	told := func(path string) bool { // by the lines above
		list, name, _, in := entry(path)
		return strings.HasSuffix(path, ".count") || in && (was[list][name] == 0 || is[list][name] == 0)
	}
	for path, v := range next {
		if o, ok := old[path]; !told(path) && (!ok || o != v) {
			lines = append(lines, fmt.Sprintf("%s: %s, was %s", path, v, orNone(o, ok)))
		}
	}
	for path, o := range old {
		if _, ok := next[path]; !told(path) && !ok {
			lines = append(lines, fmt.Sprintf("%s: none, was %s", path, o))
		}
	}
	slices.Sort(lines)
	return lines
}

func orNone(v string, ok bool) string {
	if !ok {
		return "none"
	}
	return v
}
