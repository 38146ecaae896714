package inventory

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// A host that leaves the file drains, one that comes later is taken for freshly started, and a file that
// cannot be read changes nothing.
func TestReload(t *testing.T) {
	k := &Reader{Path: filepath.Join(t.TempDir(), "nodes.csv"), RingSize: 4}
	read := func(rows string) (string, error) {
		if err := os.WriteFile(k.Path, []byte("name,port,cell\n"+rows), 0o600); err != nil {
			t.Fatal(err)
		}
		nodes, err := k.Read(time.Hour)
		text := ""
		for _, n := range nodes {
			text += n.ID + map[scatter.ReplicaState]string{scatter.Ready: "+", scatter.Draining: "-"}[n.State]
			if n.StartedAt > 0 {
				text += "new"
			}
			text += " "
		}
		return text, err
	}
	for _, tc := range []struct{ rows, want string }{
		{"a,1,0\nb,2,1\n", "a+ b+ "},
		{"b,2,1\nc,3,2\n", "a- b+ c+new "},
		{"b,2,1\nc,3,9\n", ""}, // refused
		{"a,1,0\nb,2,1\nc,3,2\n", "a+new b+ c+new "},
		{"a,1,0\nb,9,1\n", "a+new b+new c-new "},
		{"a,1,0\nb,9,1\n", "a+new b+new "}, // c is forgotten
	} {
		got, err := read(tc.rows)
		if got != tc.want || (err != nil) != (tc.want == "") {
			t.Errorf("%q: %q, %v; want %q", tc.rows, got, err, tc.want)
		}
	}
}
