// Package settingsdiff compares the settings in force with the settings of a file that is to replace them. It reports
// the paths that an incomplete file lacks, and the changes that a complete file makes.
//
// # Contract
//
// Settings are passed as Flat, the form that internal/wire writes. ByName converts them to the form that the other
// functions take. No function modifies or retains its arguments. Results are sorted, so that equal settings give equal
// texts.
package settingsdiff

import (
	"strconv"
	"strings"
)

// Flat holds settings by flat paths, in which a list entry is identified by its index: "classes.0.name".
type Flat map[string]string

// Named holds settings by paths in which a list entry is identified by its name: "classes[search].name" for the
// class named search.
type Named map[string]string

// lists holds the path prefixes of the settings' lists whose entries have names.
var lists = []string{classes, customers}

const (
	classes   = "classes"
	customers = "customers"

	// byClass is the path suffix that marks a list with one value for each class, in the order of the classes. Such a
	// list without the suffix (family_info.second_step) is compared as one setting.
	byClass = "_by_class"
)

// entryPath is the path of a key of a list entry, in the form "list[name].key".
type entryPath struct{ list, name, key string }

func (p entryPath) String() string { return p.list + "[" + p.name + "]." + p.key }

// parseEntryPath parses a path in the form of entryPath. ok is false for a path outside the lists.
func parseEntryPath(path string) (p entryPath, ok bool) {
	for _, list := range lists {
		rest, found := strings.CutPrefix(path, list+"[")
		if !found {
			continue
		}
		if i := strings.LastIndex(rest, "]."); i >= 0 {
			return entryPath{list, rest[:i], rest[i+2:]}, true
		}
	}
	return entryPath{}, false
}

// indexedPath is the path of a key of a list entry, in the flat form "list.index.key".
type indexedPath struct{ list, index, key string }

// parseIndexedPath parses a path in the form of indexedPath. ok is false for a path outside the lists, and for a list's
// length, such as "classes.count".
func parseIndexedPath(path string) (p indexedPath, ok bool) {
	for _, list := range lists {
		if rest, found := strings.CutPrefix(path, list+"."); found {
			index, key, ok := strings.Cut(rest, ".")
			return indexedPath{list, index, key}, ok
		}
	}
	return indexedPath{}, false
}

// ByName converts settings to paths with entry names instead of indexes, so that an entry that moves within its list
// does not count as changed. It splits a list with one value for each class (byClass) into one setting for each class.
// An entry without a name key keeps its index, but a class without one loses its values in such lists.
func ByName(flat Flat) Named {
	names := entryNames(flat)
	named := Named{}
	for path, value := range flat {
		if strings.HasSuffix(path, byClass) {
			for i, v := range strings.Split(value, ",") {
				if name, ok := names[indexedPath{list: classes, index: strconv.Itoa(i)}]; ok {
					named[entryPath{classes, name, path}.String()] = v
				}
			}
			continue
		}
		if p, ok := parseIndexedPath(path); ok {
			if name, ok := names[indexedPath{list: p.list, index: p.index}]; ok {
				path = entryPath{p.list, name, p.key}.String()
			}
		}
		named[path] = value
	}
	return named
}

// entryNames returns the names of the list entries that have one, by their indexed paths with an empty key.
func entryNames(flat Flat) map[indexedPath]string {
	names := map[indexedPath]string{}
	for path, value := range flat {
		if p, ok := parseIndexedPath(path); ok && p.key == "name" {
			names[indexedPath{list: p.list, index: p.index}] = value
		}
	}
	return names
}
