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

// The endpoint list changes continuously: 205 times, every tenth of a poll interval, so for 20.5 polls. A short list of
// 7,000 bytes may be encoded every 7 ms, so it is encoded at each poll of 100 ms: 20 or 21 times. A long list of
// 700,000 bytes may be encoded every 0.7 s, so it is encoded about three or four times in 2.05 s. The last change must
// be written eventually, and an unchanged list must not be encoded again.
func TestListIsEncodedAsOftenAsItsLengthAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, err := os.MkdirTemp("", "")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		for name, c := range map[string]struct{ bytes, encodings int }{"short": {7_000, 21}, "long": {700_000, 4}} {
			var version, encoded atomic.Int64
			s := NewStore(name, openDir(t, dir), wallClock)
			s.Coordinator = &fakeCoordinator{}
			s.EncodeList = func() (string, json.RawMessage, error) {
				encoded.Add(1)
				list := bytes.Repeat([]byte{byte('a' + version.Load()%26)}, c.bytes)
				return "d:1", json.RawMessage(`"` + string(list) + `"`), nil
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { s.Run(ctx); close(done) }()
			for range 205 {
				version.Add(1)
				s.ListChanged()
				time.Sleep(pollInterval / 10)
			}
			if n := int(encoded.Load()); n < c.encodings-1 || n > c.encodings+1 {
				t.Errorf("%s list: encoded %d times, want about %d", name, n, c.encodings)
			}
			time.Sleep(2 * time.Second)
			before := encoded.Load()
			next := startProcess(t, dir, name)
			next.end()
			list, from := next.InheritedList()
			if from != "d:1" || len(list) != c.bytes+2 || list[1] != byte('a'+version.Load()%26) {
				t.Errorf("%s list: next process found %d bytes from %s, want the last change", name, len(list), from)
			}
			if time.Sleep(5 * time.Second); encoded.Load() != before {
				t.Errorf("%s list: encoded %d times without a change", name, encoded.Load()-before)
			}
			cancel()
			<-done
		}
	})
}
