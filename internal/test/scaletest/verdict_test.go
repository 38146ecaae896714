package scaletest

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"harepass/internal/test/fake"
)

// smallFleet has two members, one entry with a node, and no processes.
func smallFleet(t *testing.T) (*fleet, time.Time) {
	t.Helper()
	plan := &Plan{Regions: 1, Zones: 1, Coordinators: 2, Hosts: 1, Entries: 1, Nodes: 1}
	f, err := newFleet(Config{Dir: t.TempDir()}, plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.close() })
	began := time.Now()
	for _, m := range f.members {
		f.started[m.name] = []time.Time{began}
	}
	return f, began
}

// at is a record of a list's version so long after the start.
func at(began time.Time, member string, after time.Duration, epoch, index int64) Taken {
	return Taken{Member: member, Resource: List, Epoch: epoch, Index: index, At: began.Add(after), Whole: true}
}

// The verdict sees versions that go back, halves and members that are behind, and lets a new process begin anew.
func TestVerdictOnRecords(t *testing.T) {
	f, began := smallFleet(t)
	f.records.add(at(began, "c0", time.Second, 1, 5))
	f.records.add(at(began, "c0", 2*time.Second, 2, 1)) // a later epoch
	f.started["c0"] = append(f.started["c0"], began.Add(3*time.Second))
	f.records.add(at(began, "c0", 4*time.Second, 1, 7)) // of a new process
	f.records.add(at(began, "c0", 5*time.Second, 1, 6)) // back
	half := at(began, "c1", time.Second, 1, 3)
	half.Resource, half.Half = Settings, true
	f.records.add(half)
	f.records.add(at(began, "c1", time.Second, 1, 9))
	b := f.broken([]Publication{{Resource: List, Index: 7, At: began}})
	if b.WentBack != 1 || b.Half != 1 || b.Behind != 1 || len(b.examples) != 3 {
		t.Errorf("%+v", b)
	}
}

// A part counts as forbidden once its sender has had the node's leaving in force for longer than it may, and not before, nor
// after the node is back.
func TestVerdictOnSends(t *testing.T) {
	f, began := smallFleet(t)
	name := f.publisher.entries[0].Name
	published := []Publication{
		{Resource: List, Index: 2, At: began.Add(time.Second), Names: []string{name}, Status: fake.StatusTerminating},
		{Resource: List, Index: 3, At: began.Add(9 * time.Second), Names: []string{name}, Status: fake.StatusInService},
	}
	f.records.add(at(began, "c0", 2*time.Second, 1, 2))
	f.records.add(at(began, "c0", 9*time.Second, 1, 3))
	for _, c := range []struct {
		member string
		after  time.Duration
		want   int
	}{{"c0", 2500 * time.Millisecond, 0}, {"c0", 4 * time.Second, 1}, {"c1", 4 * time.Second, 0}, {"c0", 10 * time.Second, 0}} {
		f.nodes.sends = []send{{c.member, 0, began.Add(c.after)}}
		var b Broken
		if f.checkSends(&b, published); b.Forbidden != c.want {
			t.Errorf("a part of %s after %v counts %d times, want %d", c.member, c.after, b.Forbidden, c.want)
		}
	}
}

// A change counts from its publishing, from the end of a cut for those behind it, and not at all for members that were
// started later.
func TestDelays(t *testing.T) {
	f, began := smallFleet(t)
	partial := at(began, "c0", 1100*time.Millisecond, 1, 4)
	partial.Whole = false
	f.records.add(partial)
	f.records.add(at(began, "c0", 5*time.Second, 1, 5))
	f.started["c1"] = []time.Time{began.Add(3 * time.Second)}
	f.records.add(at(began, "c1", 4*time.Second, 1, 5))
	h := &held{records: f.records, starts: f.started}
	change := Publication{Resource: List, Index: 4, At: began.Add(time.Second)}
	if m := h.measure([]Publication{change}, f.members); m.Samples != 1 || m.Last != Seconds(4*time.Second) || m.Never != 0 {
		t.Errorf("%+v", m)
	}
	h.cuts = []*occurrence{{begin: began.Add(500 * time.Millisecond), end: began.Add(4500 * time.Millisecond), region: 0}}
	if m := h.measure([]Publication{change}, f.members); m.Last != Seconds(500*time.Millisecond) {
		t.Errorf("behind a cut: %+v", m)
	}
	change.Index = 6
	if m := h.measure([]Publication{change}, f.members); m.Samples != 0 || m.Never != 1 {
		t.Errorf("a change that nobody has: %+v", m)
	}
}

// Records go through a host's output as they are, and lines of a coordinator's log become records.
func TestRecordsAreRead(t *testing.T) {
	var out bytes.Buffer
	sent := Taken{Member: "c7", Resource: Settings, Epoch: 3, Index: 4, Mark: 5, At: time.Unix(6, 7), Whole: true, Half: true}
	sent.write(&out)
	out.WriteString("#bytes 8 9\nnonsense\n")
	r := newRecords()
	var read, written int64
	r.read(&out, func(in, to int64) { read, written = in, to })
	if got, _ := r.latest("c7", Settings); got != sent || read != 8 || written != 9 || len(r.strays) != 1 {
		t.Errorf("%+v, %d, %d, %q", got, read, written, r.strays)
	}
	l := &logReader{member: "c1", records: r}
	l.read(strings.NewReader(`x INFO settings changed change="caps.max_retry_after_us: 1000003, was 1000000"
x INFO settings changed change="caps.keepalive_us: 30000002, was 30000000"
x INFO version in force resource=settings epoch=1 index=2 at_unix_ms=1790000000000
x INFO version in force resource=instances epoch=1 index=9 at_unix_ms=1790000000001
`))
	if got, _ := r.latest("c1", Settings); got.Mark != 3 || !got.Half || got.Index != 2 {
		t.Errorf("settings: %+v", got)
	}
	if got, _ := r.latest("c1", List); got.Index != 9 || got.Epoch != 1 || got.At != time.UnixMilli(1790000000001) {
		t.Errorf("list: %+v", got)
	}
}

// The registry serves calls that have a change one after another, rejects those that would wait for too long, and serves
// a caller that has the latest version at no cost.
func TestRegistryServesCallsInTurn(t *testing.T) {
	r := NewRegistry([]fake.Endpoint{{Name: "a"}, {Name: "b"}})
	r.CallDuration, r.MaxWait = time.Hour, time.Millisecond
	if !r.hasChanges(-1) || r.hasChanges(2) {
		t.Error("changes of two endpoints")
	}
	r.idleAt = time.Now().Add(time.Hour) // calls before it take so long
	if r.serveInTurn(t.Context()) {
		t.Error("a call is served before its turn")
	}
	if answered, failed := r.CallCounts(); answered != 0 || failed != 1 {
		t.Errorf("%d answered, %d failed", answered, failed)
	}
	r.Put(fake.Endpoint{Name: "a", Status: fake.StatusTerminated})
	if text := string(r.encode(2)); !strings.Contains(text, `"index":3,"snapshot":false`) || strings.Contains(text, `"b"`) {
		t.Errorf("changes: %s", text)
	}
	if text := string(r.encode(-1)); !strings.Contains(text, `"snapshot":true`) || strings.Contains(text, `"a"`) {
		t.Errorf("the complete list: %s", text)
	}
}
