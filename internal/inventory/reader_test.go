package inventory

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// lookAndApply looks at the file once and applies what it shows, unless that has a fault.
func lookAndApply(r *Reader, now time.Duration) ([]core.Endpoint, error) {
	reading := r.Look()
	if reading.Err != nil {
		return nil, reading.Err
	}
	return r.Apply(reading.Hosts, now), nil
}

// An operator edits the inventory while the program runs. A host that is removed from the file drains, a host that is
// added later counts as just started, and a faulty file changes nothing.
func TestReadingsOfAnEditedFile(t *testing.T) {
	r := &Reader{Path: filepath.Join(t.TempDir(), "nodes.csv"), RingSize: 4}
	read := func(rows string) (string, error) {
		if err := os.WriteFile(r.Path, []byte("name,port,cell\n"+rows), 0o600); err != nil {
			t.Fatal(err)
		}
		endpoints, err := lookAndApply(r, time.Hour)
		text := ""
		for _, e := range endpoints {
			text += e.ID + map[scatter.ReplicaState]string{scatter.Ready: "+", scatter.Draining: "-"}[e.State]
			if e.StartedAt > 0 {
				text += "new"
			}
			text += " "
		}
		return text, err
	}
	for _, tc := range []struct{ rows, want string }{
		{"a,1,0\nb,2,1\n", "a+ b+ "},
		{"b,2,1\nc,3,2\n", "a- b+ c+new "},
		{"b,2,1\nc,3,9\n", ""}, // rejected
		{"a,1,0\nb,2,1\nc,3,2\n", "a+new b+ c+new "},
		{"a,1,0\nb,9,1\n", "a+new b+new c-new "},
		{"a,1,0\nb,9,1\n", "a+new b+new "}, // c is no longer listed
	} {
		got, err := read(tc.rows)
		if got != tc.want || (err != nil) != (tc.want == "") {
			t.Errorf("rows %q: endpoints %q, error %v; want %q", tc.rows, got, err, tc.want)
		}
	}
}
