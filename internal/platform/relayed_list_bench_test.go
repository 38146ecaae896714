package platform

import (
	"fmt"
	"testing"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
)

// snapshotBodies returns a relay's answers that hold the complete list of so many replicas.
func snapshotBodies(b *testing.B, replicas int) (bodies [][]byte) {
	log := versionlog.New(1, replicas)
	changes := make([]versionlog.Change, replicas)
	for i := range changes {
		name := fmt.Sprintf("s-%08x", i)
		changes[i] = versionlog.Change{Name: name, Object: fmt.Appendf(nil,
			`{"name":%q,"address":"127.0.0.1:%d","zone":"zone-%d","type":"m2","group":%d,"status":"in_service","weight":1.0,"since_ms":0}`,
			name, 10000+i, i%19, i)}
	}
	if _, err := log.Publish(changes); err != nil {
		b.Fatal(err)
	}
	const sliceBytes = 65000
	for from := (versionlog.Cursor{}); ; {
		slice := log.Read(from, sliceBytes)
		bodies = append(bodies, slice.AppendJSON(nil))
		if !slice.More() {
			return bodies
		}
		from = versionlog.Cursor{Version: slice.Version, Base: slice.Base, NewestIndex: slice.NewestIndex}
	}
}

// BenchmarkWholeListFromRelays measures what a coordinator spends on reading a complete list before core receives it.
func BenchmarkWholeListFromRelays(b *testing.B) {
	bodies := snapshotBodies(b, 7000)
	b.ReportAllocs()
	for b.Loop() {
		d := NewRelayedList(List{})
		d.Listed = func(scatter.UpdateKind, []core.Endpoint) {}
		d.Part = func([]core.Endpoint) {}
		for _, body := range bodies {
			slice, err := versionlog.ParseSlice(body)
			if err != nil {
				b.Fatal(err)
			}
			if err := d.Check(slice.Entries); err != nil {
				b.Fatal(err)
			}
			d.Apply(distribution.Update{Slice: slice, Entries: slice.Entries})
		}
	}
}
