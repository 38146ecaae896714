package inventory

import (
	"os"
	"path/filepath"
	"testing"
)

// The log says how a reading differs from the one before, so that an operator sees that a torn or mistyped file moves a
// host. A host that drained in between counts as added when it is back.
func TestChangesCountHosts(t *testing.T) {
	r := &Reader{Path: filepath.Join(t.TempDir(), "nodes.csv"), RingSize: 12}
	for _, tc := range []struct {
		rows string
		want Difference
	}{
		{"a,1,0\nb,2,11\n", Difference{Added: 2}},
		{"a,1,0\nb,2,1", Difference{Changed: 1}},
		{"a,1,0\nc,3,1\n", Difference{Added: 1, Removed: 1}},
		{"a,1,0\nb,2,11\nc,3,1\n", Difference{Added: 1}},
		{"a,1,0\nb,2,11\nc,3,1\n", Difference{}},
	} {
		if err := os.WriteFile(r.Path, []byte("name,port,cell\n"+tc.rows), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := lookAndApply(r, 0); err != nil || r.Changes() != tc.want {
			t.Errorf("rows %q: changes %+v, error %v; want %+v", tc.rows, r.Changes(), err, tc.want)
		}
	}
}
