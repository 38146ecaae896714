package capacity

import (
	"io"
	"path/filepath"
	"reflect"
	"testing"
)

// The whole experiment at small size measures and fits every series, with its points in order of size and at least one
// operation in each. The probes themselves check that the requested work was done.
func TestShapeAtSmallSize(t *testing.T) {
	r, err := Measure(Small(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Series) != len(Small().probes()) {
		t.Errorf("run has %d series, want one for each probe", len(r.Series))
	}
	path := filepath.Join(t.TempDir(), "run.json")
	if err := r.Write(path); err != nil {
		t.Fatal(err)
	}
	if again, err := Load(path); err != nil || !reflect.DeepEqual(again, r) {
		t.Errorf("run read from its file differs from the one written: %v", err)
	}
	if err := Plot(r, filepath.Join(t.TempDir(), "run.png")); err != nil {
		t.Error(err)
	}
	for _, s := range r.Series {
		if len(s.Points) < minPoints {
			t.Errorf("%s has %d points, too few for a fit", s.Name, len(s.Points))
		}
		for i, p := range s.Points {
			if p.Count < 1 || i > 0 && p.X <= s.Points[i-1].X {
				t.Errorf("%s: point %d has no operations or is out of order: %+v", s.Name, i, p)
			}
		}
	}
}
