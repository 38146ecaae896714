// Package settingsdiff compares the settings in force with those of a file that is to replace them: what a broken file
// lacks, and what a good one changes.
//
// # Contract
//
// Settings come as Flat, as internal/wire writes them. ByName brings them into the form that the other functions take.
// No function changes its arguments or keeps them, and results are sorted, so that equal settings
// give equal texts.
package settingsdiff

import (
	"strconv"
	"strings"
)

// Flat is settings by flat paths, in which an entry of a list stands by its index: "classes.0.name".
type Flat map[string]string

// Named is settings by paths in which an entry of a list stands by its name: "classes[map].name".
type Named map[string]string

// lists are the settings' lists whose entries have names.
var lists = []string{classes, customers}

const (
	classes   = "classes"
	customers = "customers"

	// byClass ends the paths of lists that have one value for each class, in the order of the classes.
	byClass = "_by_class"
)

// entryPath is the path of a key of a list's entry, in the form "list[name].key".
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

// indexedPath is the path of a key of a list's entry in the flat form "list.index.key".
type indexedPath struct{ list, index, key string }

// parseIndexedPath parses a path in the form of indexedPath. ok is false for a path outside the lists.
func parseIndexedPath(path string) (p indexedPath, ok bool) {
	for _, list := range lists {
		if rest, found := strings.CutPrefix(path, list+"."); found {
			index, key, ok := strings.Cut(rest, ".")
			return indexedPath{list, index, key}, ok
		}
	}
	return indexedPath{}, false
}

// ByName returns settings with the entries' names in the paths instead of their indexes, so that an entry which moves
// within its list does not count as changed. Values by class become values of each class. An entry that has no name key
// keeps its index.
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

// entryNames returns the names of all entries, by their paths without a key.
func entryNames(flat Flat) map[indexedPath]string {
	names := map[indexedPath]string{}
	for path, value := range flat {
		if p, ok := parseIndexedPath(path); ok && p.key == "name" {
			names[indexedPath{list: p.list, index: p.index}] = value
		}
	}
	return names
}
