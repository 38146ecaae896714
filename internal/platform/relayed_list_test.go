package platform

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
)

func distributedEntry(name, status string) versionlog.Entry {
	return versionlog.Entry{Name: name, Removed: status == statusRemoved,
		Body: fmt.Appendf(nil, `{"version":3,"name":%q,"address":"a:1","group":2,"status":%q}`, name, status)}
}

// A drain in an early slice of the first snapshot reaches the coordinator with that slice. Entries that the snapshot
// lacks are removed with its last slice, the first one that is passed to Listed. The copy for a process that takes over
// holds the complete list.
func TestDistributedList(t *testing.T) {
	d := NewRelayedList(List{Endpoints: []Endpoint{
		{Name: "known", Status: "in_service"}, {Name: "old", Status: "in_service"},
	}})
	if got := d.Known(); !slices.Equal(got, []string{"known", "old"}) {
		t.Errorf("known names %v, want known and old", got)
	}
	changes := 0
	listCopy := d.KeepCopy(func() { changes++ })
	var updates []string
	record := func(what string) func([]core.Endpoint) {
		return func(endpoints []core.Endpoint) {
			for _, n := range endpoints {
				what += fmt.Sprintf(" %s:%d", n.ID, n.State)
			}
			updates = append(updates, what)
		}
	}
	d.Part = func(endpoints []core.Endpoint) { record("part")(endpoints) }
	d.Listed = func(scope scatter.UpdateKind, endpoints []core.Endpoint) {
		record(fmt.Sprint("list ", scope))(endpoints)
	}
	update := func(u distribution.Update, entries ...versionlog.Entry) {
		if err := d.Check(entries); err != nil {
			t.Fatal(err)
		}
		u.Entries = entries
		u.Slice.Version.Index = int64(10 + len(updates))
		d.Apply(u)
	}
	update(distribution.Update{}, distributedEntry("known", "terminating"), distributedEntry("a", "in_service"))
	update(distribution.Update{SnapshotCompleted: true, MissingFromSnapshot: []string{"old"}},
		distributedEntry("b", "in_service"))
	update(distribution.Update{Complete: true}, distributedEntry("a", "terminated"))
	update(distribution.Update{}, distributedEntry("c", "in_service")) // a later snapshot's first slice
	want := fmt.Sprintf("part known:%d a:%d, list %d b:%d old:%d, list %d a:%d, list %d c:%d",
		scatter.Draining, scatter.Ready,
		scatter.IncrementalUpdate, scatter.Ready, scatter.Removed,
		scatter.IncrementalUpdate, scatter.Removed,
		scatter.IncrementalUpdate, scatter.Ready)
	if got := strings.Join(updates, ", "); got != want {
		t.Errorf("updates %s\nwant %s", got, want)
	}
	address, list := listCopy.Snapshot()
	var names []string
	for _, e := range list.Endpoints {
		names = append(names, e.Name+" "+e.Status)
	}
	got := strings.Join(names, ", ")
	if got != "b in_service, c in_service, known terminating" || address != DistributedSource ||
		list.Index != 13 || changes != 4 {
		t.Errorf("the copy holds %s from %s, version %d, after %d changes", got, address, list.Index, changes)
	}
}

// Check finds entries that are not endpoints, before any entry of their answer is applied.
func TestDistributedCheck(t *testing.T) {
	d := NewRelayedList(List{})
	for _, bad := range []string{
		`{"name":"a","status":"confused"}`, `{"name":"a","status":"in_service","group":"x"}`,
		`{"status":"in_service"}`, `7`,
	} {
		entries := []versionlog.Entry{distributedEntry("b", "in_service"), {Name: "a", Body: []byte(bad)}}
		if err := d.Check(entries); err == nil {
			t.Errorf("Check accepts the entry %s", bad)
		}
	}
}
