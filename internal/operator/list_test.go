package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// A list that changes all the time is made anew at each look where it is short, and as often as its length allows where it
// is long; the last change is written in the end, and nothing is made where nothing has changed.
func TestListIsMadeAsItsLengthAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, err := os.MkdirTemp("", "")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		for name, c := range map[string]struct{ bytes, made int }{"short": {7_000, 21}, "long": {700_000, 4}} {
			var version, made atomic.Int64
			p := NewStore(name, open(t, dir), func() time.Duration { return time.Duration(time.Now().UnixNano()) })
			p.Coordinator = &owner{}
			p.List = func() (string, json.RawMessage, error) {
				made.Add(1)
				return "d:1", json.RawMessage(`"` + string(bytes.Repeat([]byte{byte('a' + version.Load()%26)}, c.bytes)) + `"`), nil
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { p.Run(ctx); close(done) }()
			for range 205 {
				version.Add(1)
				p.ListChanged()
				time.Sleep(lookEvery / 10)
			}
			if n := int(made.Load()); n < c.made-1 || n > c.made+1 {
				t.Errorf("%s: made %d times, want %d", name, n, c.made)
			}
			time.Sleep(2 * time.Second)
			before := made.Load()
			next := begin(t, dir, name)
			next.end()
			if list, from := next.FoundList(); from != "d:1" || len(list) != c.bytes+2 || list[1] != byte('a'+version.Load()%26) {
				t.Errorf("%s: found %d bytes from %s", name, len(list), from)
			}
			if time.Sleep(5 * time.Second); made.Load() != before {
				t.Errorf("%s: made %d times more", name, made.Load()-before)
			}
			cancel()
			<-done
		}
	})
}

// open opens a process's files.
func open(t *testing.T, dir string) *Files {
	files, err := OpenFiles(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return files
}
