package listexchange

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/operator"
	"harepass/internal/platform"
)

// largeFleet is the number of replicas of the largest fleet that is planned for.
const largeFleet = 7000

// largeList returns a list of largeFleet endpoints, with entries as long as discovery's.
func largeList() platform.List {
	list := platform.List{Index: 41, Snapshot: true}
	for i := range largeFleet {
		list.Endpoints = append(list.Endpoints, platform.Endpoint{Name: fmt.Sprintf("s-%04d", i),
			Address: fmt.Sprintf("10.%d.%d.%d:7%03d", i%200, i/200, i%250, i%1000), Zone: "sapporo-room", Group: i % 500,
			Status: "in_service", SinceMS: 1_764_700_000_000 + int64(i)})
	}
	return list
}

// storeLargeList stores the list of a process that runs in a large fleet.
func storeLargeList(t testing.TB, p *testProcess) {
	data, err := json.Marshal(largeList())
	if err != nil {
		t.Fatal(err)
	}
	state := operator.StateFile{Name: "n1", ListAt: 1, Discovery: "d", List: data, Maintenance: maintenance.Register{}}
	if leftOut, err := p.dir.Write(state); err != nil || len(leftOut) > 0 {
		t.Fatalf("state file written without %v, error %v", leftOut, err)
	}
	p.tell(41)
	p.record.Changes = []platform.List{{Index: 41, Endpoints: largeList().Endpoints[:64]}}
	p.record.Base = 40
}

// BenchmarkHandOverInLargeFleet measures what one confirmation costs the process that writes it, and what a new process
// reads at its start. With it the complete list is in the state file.
func BenchmarkHandOverInLargeFleet(b *testing.B) {
	folder := b.TempDir()
	writer := newTestProcess(&testing.T{}, folder, 0)
	storeLargeList(b, writer)
	b.Run("confirm", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			writer.writtenAt = -time.Hour
			writer.writeIfDue(&writer.fakeList)
		}
		report(b, writer.path(writer.own, recordSuffix), "record-bytes")
	})
	b.Run("start", func(b *testing.B) {
		b.ReportAllocs()
		reader := newTestProcess(&testing.T{}, folder, 0)
		for b.Loop() {
			clear(reader.peers)
			r, complete, ok := reader.Latest("d")
			_, stored, found := complete()
			if list, connected := r.Complete(stored); !ok || !found || !connected || len(list.Endpoints) != largeFleet {
				b.Fatal("the list is not complete")
			}
		}
		report(b, writer.dir.OwnPath(), "state-bytes")
	})
}

// report reports a file's size.
func report(b *testing.B, path, unit string) {
	info, err := os.Stat(path)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(info.Size()), unit)
}
