package capacity

import (
	"io"
	"path/filepath"
	"reflect"
	"testing"
)

// The whole experiment at small size: each series has its points in order of size, each point is more than nothing, and each
// is fitted. What was asked for was done: probes count that themselves.
func TestShapeAtSmallSize(t *testing.T) {
	r, err := Measure(Small(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Series) != len(Small().probes()) {
		t.Errorf("%d series", len(r.Series))
	}
	path := filepath.Join(t.TempDir(), "run.json")
	if err := r.Write(path); err != nil {
		t.Fatal(err)
	}
	if again, err := Load(path); err != nil || !reflect.DeepEqual(again, r) {
		t.Errorf("%v: the file holds another run", err)
	}
	if err := Plot(r, filepath.Join(t.TempDir(), "run.png")); err != nil {
		t.Error(err)
	}
	for _, s := range r.Series {
		if len(s.Points) < leastPoints {
			t.Errorf("%s has %d points", s.Name, len(s.Points))
		}
		for i, p := range s.Points {
			if p.Count < 1 || i > 0 && p.X <= s.Points[i-1].X {
				t.Errorf("%s: point %d is %+v", s.Name, i, p)
			}
		}
	}
}
