package operator

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// storedPath is a state file written by the program at commit 51e85a9, the last one before Go identifiers were renamed.
const storedPath = "testdata/51e85a9.state"

// storedStateFile returns the state that is stored in storedPath. Each field has a distinct value.
func storedStateFile() StateFile {
	return StateFile{
		Name:   "n3",
		ListAt: 1_764_700_000_123_456_789,
		Maintenance: maintenance.Register{
			"a1": {Out: true, At: 1_764_700_000_000_000_001, By: "127.0.0.1:5001", Reason: "disk"},
			"a2": {Out: false, At: 1_764_700_000_000_000_002, OutSince: 1_764_690_000_000_000_003, By: "127.0.0.1:5002"},
		},
		Discovery: "127.0.0.1:8500",
		List: json.RawMessage(`{"index":41,"snapshot":true,"endpoints":[` +
			`{"name":"a1","address":"127.0.0.1:7001","zone":"z1","group":3,"status":"ready","since_ms":1764700000001}]}`),
		Checkpoint: &scatter.Checkpoint{
			At: 1_764_700_000_000_000_004, WarmedUpRate: 1.5, DemandRate: 2.5, Intervals: 3, LoadFactor: 4.5,
			IdleLimit: 5 * time.Second,
			Classes: []scatter.ClassCheckpoint{
				{Name: "route-lookup", MeanLatency: 0.25, MinService: 0.125, Latencies: []float64{0.5, 0.75}},
			},
			Replicas: []scatter.ReplicaCheckpoint{{
				ID: "a1", StartedAt: 6, LatencyRatio: 1.25, SlowStartFrom: 7,
				Ejected: true, FailsFast: true, MayHaveRestarted: true,
				ProbeSuccesses: 8, ConsecutiveFaults: 9, ConsecutiveRejections: 10, ProbeBackoff: 11,
				EjectedAt: 12, NextProbe: 13, LastSuccess: 14, RejectingUntil: 15,
				AvoidUntil: 16, LastFailure: 17, LastReset: 18, LastError: 19,
				ClassConsecutiveFaults: []int{20}, ClassExcludedUntil: []time.Duration{21},
				ClassLastSuccess: []time.Duration{22}, ClassLastUnanswered: []time.Duration{23},
			}, {ID: "a2", LatencyRatio: 1}},
			Shards: []scatter.ShardCheckpoint{{Number: 24, Rates: []float64{25.5}}},
		},
	}
}

// A new version of the program takes over from an old one. It must read the old version's state file completely, with
// each value in its field, and must write the same state as the same bytes, so that the old version could read them.
func TestStateFileOfEarlierVersionIsReadAndWrittenAlike(t *testing.T) {
	stored, err := os.ReadFile(storedPath)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(stored)
	if err != nil {
		t.Fatal(err)
	}
	if want := storedStateFile(); !reflect.DeepEqual(got, want) {
		t.Errorf("decoded\n%+v, want\n%+v", got, want)
	}
	if encoded, err := Encode(got); err != nil || !bytes.Equal(encoded, stored) {
		t.Errorf("error %v, encoded again as\n%s, want\n%s", err, encoded, stored)
	}
}
