package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// A state file that is cut at any byte, has any single byte altered, or has the format of another version must not be
// decoded as a different state: that could return replicas to service that are out for maintenance.
func TestTornStateFilesAreRefused(t *testing.T) {
	s := StateFile{
		Name: "n1", ListAt: time.Second, Maintenance: maintenance.Register{"a": {Out: true, At: time.Hour, By: "x"}},
		Discovery: "d", List: json.RawMessage(`{"index":1}`),
		Checkpoint: &scatter.Checkpoint{At: 1, Replicas: []scatter.ReplicaCheckpoint{{ID: "a", LatencyRatio: 2}}},
	}
	good, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(good); err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("the unchanged state file: %v, error %v", got, err)
	}
	for n := range good {
		if _, err := Decode(good[:n]); !errors.Is(err, ErrNotStateFile) && !errors.Is(err, ErrCorrupt) {
			t.Errorf("the first %d bytes: %v, want ErrNotStateFile or ErrCorrupt", n, err)
		}
		bad := bytes.Clone(good)
		bad[n] ^= 1
		if got, err := Decode(bad); err == nil && !reflect.DeepEqual(got, s) {
			t.Errorf("with byte %d altered: decoded as %v without an error", n, got)
		}
	}
	for _, v := range []string{"0", "1", "999"} {
		other := bytes.Replace(good, []byte(magic+" 2"), []byte(magic+" "+v), 1)
		if _, err := Decode(other); !errors.Is(err, ErrVersion) {
			t.Errorf("version %s: %v, want ErrVersion", v, err)
		}
	}
}

// Any data is either rejected or decoded to a state that can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	good, _ := Encode(StateFile{
		Name: "n1", Maintenance: maintenance.Register{"a": {Out: true, At: 1}}, List: json.RawMessage(`{}`),
	})
	f.Add(good)
	f.Add([]byte("harepass-state 2 0 00000000\n"))
	f.Add([]byte("harepass-state 1 0 00000000\n{}"))
	f.Add([]byte("harepass-state -1 -1 -1\n"))
	for _, body := range []string{`{"name":"n1","book":null}`, `{"at":-1}`, `{"book":{"a":{"at":1e99}}}`, `{}{}`} {
		f.Add(fmt.Appendf(nil, "%s %d %d %08x\n%s", magic, formatVersion, len(body), crc32.ChecksumIEEE([]byte(body)), body))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := Encode(s)
		if err != nil {
			t.Fatalf("%+v cannot be encoded: %v", s, err)
		}
		got, err := Decode(encoded)
		if err != nil || got.Name != s.Name || got.ListAt != s.ListAt || len(got.Maintenance) != len(s.Maintenance) {
			t.Errorf("%+v encoded and decoded: %+v, error %v", s, got, err)
		}
	})
}

// The file system temporarily fails to read another process's state file. The file must be read again although it has
// not changed, because it may have an operator's call.
func TestStateFileIsReadAgainAfterFailure(t *testing.T) {
	dir := t.TempDir()
	writer := openDir(t, dir)
	if _, err := writer.Write(StateFile{Name: "n1"}); err != nil {
		t.Fatal(err)
	}
	reader := openDir(t, dir)
	reader.own = "reader" + StateFileSuffix
	reader.readFile = func(path string) ([]byte, error) {
		return nil, &fs.PathError{Op: "read", Path: path, Err: syscall.EIO}
	}
	if list := reader.ReadChanged(); len(list) != 0 {
		t.Errorf("%d files were read in spite of the failure, want 0", len(list))
	}
	reader.readFile = os.ReadFile
	for _, want := range []int{1, 0} {
		if list := reader.ReadChanged(); len(list) != want {
			t.Errorf("%d files were read after the failure, want %d", len(list), want)
		}
	}
}

// Something that is no regular file stands among the state files: a FIFO would block its reader for good, and with it
// every maintenance call and the start of the process. It is left out, and the other files are read.
func TestOnlyRegularStateFilesAreRead(t *testing.T) {
	dir := t.TempDir()
	d, err := OpenStateDir(dir, time.Unix(2, 0))
	if err != nil {
		t.Fatal(err)
	}
	other, err := OpenStateDir(dir, time.Unix(1, 0))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := other.Write(StateFile{Name: "n1"}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(filepath.Join(dir, "fifo"+StateFileSuffix), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(dir, "folder"+StateFileSuffix), 0o700); err != nil {
		t.Fatal(err)
	}
	read := make(chan []StateFile, 1)
	go func() { read <- d.ReadChanged() }()
	select {
	case list := <-read:
		if len(list) != 1 || list[0].Name != "n1" {
			t.Errorf("state files %v, want the one of n1", list)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the state files are not read in 10 s")
	}
}
