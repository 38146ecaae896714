package settingsdiff

// entryKeys maps a list and an entry name to the set of the entry's keys.
type entryKeys map[string]map[string]map[string]bool

// keysOfEntries returns the keys of all list entries in the settings.
func keysOfEntries(named Named) entryKeys {
	found := entryKeys{}
	for path := range named {
		p, ok := parseEntryPath(path)
		if !ok {
			continue
		}
		if found[p.list] == nil {
			found[p.list] = map[string]map[string]bool{}
		}
		if found[p.list][p.name] == nil {
			found[p.list][p.name] = map[string]bool{}
		}
		found[p.list][p.name][p.key] = true
	}
	return found
}

// has reports whether a list has an entry with the given name.
func (e entryKeys) has(list, name string) bool { return len(e[list][name]) > 0 }

// shared returns the keys that all entries of a list have.
func (e entryKeys) shared(list string) map[string]bool {
	counts := map[string]int{}
	for _, keys := range e[list] {
		for key := range keys {
			counts[key]++
		}
	}
	shared := map[string]bool{}
	for key, n := range counts {
		if n == len(e[list]) {
			shared[key] = true
		}
	}
	return shared
}
