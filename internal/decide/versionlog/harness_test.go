package versionlog

import "fmt"

// object returns the object of a change.
func object(name string, value int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"status":"in_service","value":%d}`, name, value)
}

// entryAt returns an entry with the given index, as a log stores it.
func entryAt(name string, index int64) Entry {
	return Entry{Name: name, Index: index, Body: withVersion(object(name, 1), index)}
}

// liveBodies returns the bodies of live entries by name.
func liveBodies(entries map[string]Entry) map[string]string {
	bodies := map[string]string{}
	for name, entry := range entries {
		if !entry.Removed {
			bodies[name] = string(entry.Body)
		}
	}
	return bodies
}
