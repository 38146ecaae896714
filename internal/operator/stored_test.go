package operator

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"harepass"
	"harepass/internal/decide/maintenance"
)

// storedState is a snapshot that the program wrote at 51e85a9, the last version before Go names were changed.
const storedState = "testdata/51e85a9.state"

// storedSnapshot is what was stored there; every field has a value of its own.
func storedSnapshot() Snapshot {
	return Snapshot{
		Name: "n3",
		At:   1_764_700_000_123_456_789,
		Book: maintenance.Book{
			"a1": {Out: true, At: 1_764_700_000_000_000_001, By: "127.0.0.1:5001", Reason: "disk"},
			"a2": {Out: false, At: 1_764_700_000_000_000_002, From: 1_764_690_000_000_000_003, By: "127.0.0.1:5002"},
		},
		Discovery: "127.0.0.1:8500",
		List: json.RawMessage(`{"index":41,"snapshot":true,"endpoints":[` +
			`{"name":"a1","address":"127.0.0.1:7001","zone":"z1","group":3,"status":"ready","since_ms":1764700000001}]}`),
		Learned: &harepass.Memory{
			At: 1_764_700_000_000_000_004, Warm: 1.5, Asked: 2.5, Refills: 3, Strain: 4.5, IdleLimit: 5 * time.Second,
			Classes: []harepass.ClassMemory{{Name: "route-lookup", Base: 0.25, Work: 0.125, Seen: []float64{0.5, 0.75}}},
			Replicas: []harepass.ReplicaMemory{{
				ID: "a1", Since: 6, Ratio: 1.25, ColdFrom: 7, Suspect: true, Failing: true, Restarted: true,
				Good: 8, Errors: 9, Fulls: 10, Pause: 11, SuspectAt: 12, TrialAt: 13, LastOK: 14, FullUntil: 15,
				ShunUntil: 16, FailedAt: 17, ResetAt: 18, ErrorAt: 19, Faults: []int{20}, Barred: []time.Duration{21},
				OKAt: []time.Duration{22}, LostAt: []time.Duration{23},
			}, {ID: "a2", Ratio: 1}},
			Shards: []harepass.ShardMemory{{No: 24, Rates: []float64{25.5}}},
		},
	}
}

// A new version of the program takes over from an old one: the state that the old one left is read whole, each value in
// its place, and is written again as the same bytes, which the old one could read.
func TestStateOfEarlierVersionIsReadAndWrittenAlike(t *testing.T) {
	stored, err := os.ReadFile(storedState)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(stored)
	if err != nil {
		t.Fatal(err)
	}
	if want := storedSnapshot(); !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v, want\n%+v", got, want)
	}
	if again, err := Encode(got); err != nil || !bytes.Equal(again, stored) {
		t.Errorf("%v: written again as\n%s, was\n%s", err, again, stored)
	}
}
