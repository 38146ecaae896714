package lifecycle

import (
	"testing"

	"harepass/internal/platform"
)

// listAt returns a list of a service with one endpoint, whose status tells the version.
func listAt(service string, index int64, status string) firstList {
	return firstList{service: service, List: platform.List{Index: index, Snapshot: true,
		Endpoints: []platform.Endpoint{{Name: "a", Address: "a:1", Status: status}}}}
}

// A new process finds a record of version 42 and three lists: the one that the record's writer stored, the one that was
// stored last, and the configuration's. If it started with a list that lacks changes of the record, and did not know
// that, it would send to nodes that drain.
func TestInheritedListHasAllChangesOfRecord(t *testing.T) {
	record := platform.ListRecord{Service: "d", Index: 42, Base: 40, Changes: []platform.List{
		{Index: 41, Endpoints: []platform.Endpoint{{Name: "b", Address: "b:1", Status: "in_service"}}},
		{Index: 42, Endpoints: []platform.Endpoint{{Name: "a", Address: "a:1", Status: "terminating"}}},
	}}
	none, before, late := firstList{}, listAt("d", 40, "in_service"), listAt("d", 39, "in_service")
	for name, c := range map[string]struct {
		written, stored, configured firstList
		index                       int64
		withRecord                  bool
	}{
		"written by the record's writer": {before, none, late, 42, true},
		"written with all changes":       {listAt("d", 42, "terminating"), none, late, 42, true},
		"stored by another process":      {none, before, late, 42, true},
		"only in the configuration":      {none, none, before, 42, true},
		"of another service":             {listAt("e", 41, "in_service"), none, before, 42, true},
		"too old, and known to be":       {late, none, late, 39, true},
		"stored by an earlier version":   {late, listAt("d", 50, "terminating"), late, 50, false},
		"none":                           {none, none, none, 0, false},
	} {
		complete := func() (string, platform.List, bool) {
			return c.written.service, c.written.List, c.written.service != ""
		}
		got := inherit(record, complete, c.stored, c.configured)
		if got.Index != c.index || (got.record != nil) != c.withRecord {
			t.Errorf("%s: version %d, with a record: %v; want %d, %v", name, got.Index, got.record != nil, c.index, c.withRecord)
		}
		for _, e := range got.Endpoints {
			if got.Index == 42 && e.Name == "a" && e.Status != "terminating" {
				t.Errorf("%s: version 42 lacks the drain", name)
			}
		}
	}
}

// The configuration's list is later by its index, unless the service was restarted with a lower one since.
func TestConfiguredListIsLaterByIndex(t *testing.T) {
	inherited := listAt("d", 3, "in_service")
	for name, c := range map[string]struct {
		configured firstList
		numbering  int64
		want       bool
	}{
		"later":                 {listAt("d", 4, "in_service"), 0, true},
		"the same":              {listAt("d", 3, "in_service"), 0, false},
		"of another service":    {listAt("e", 4, "in_service"), 0, false},
		"from before a restart": {listAt("d", 42, "in_service"), 7, false},
	} {
		inherited.record = &platform.ListRecord{Numbering: c.numbering}
		if got := inherited.isBefore(c.configured); got != c.want {
			t.Errorf("%s: the inherited list is before it: %v, want %v", name, got, c.want)
		}
	}
}
