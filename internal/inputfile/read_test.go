package inputfile

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"harepass/internal/decide/stability"
)

// What stands in a file's place may be anything. A reading ends at once, with an error that says what is wrong, and
// reads no more than a bounded number of bytes: a FIFO without a writer would block an ordinary open for good.
func TestOnlyBoundedRegularFilesAreRead(t *testing.T) {
	dir := t.TempDir()
	fifo, large, locked := filepath.Join(dir, "fifo"), filepath.Join(dir, "large"), filepath.Join(dir, "none")
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(large, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(large, 1<<40); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]error{fifo: ErrNotRegular, dir: ErrNotRegular, "/dev/zero": ErrNotRegular,
		large: ErrTooLarge, locked: fs.ErrNotExist} {
		began := time.Now()
		_, err := Read(path)
		var pathError *fs.PathError
		took := time.Since(began)
		if !errors.Is(err, want) || !errors.As(err, &pathError) || pathError.Path != path || took > time.Second {
			t.Errorf("%s: error %v after %v, want at once an error with the path that wraps %q", path, err, took, want)
		}
	}
}

// look returns the look at a file.
func look(t *testing.T, path string) stability.Look {
	t.Helper()
	f, err := Inspect(path)
	if err != nil {
		t.Fatal(err)
	}
	return f.Look
}

// A look must show another version after any write to the file, also if the tool keeps size and times, and after
// another file has taken its place. Looks without a write in between show the same version.
func TestVersionShowsEachWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.csv")
	seen := map[stability.Version]string{}
	for _, write := range []struct {
		what string
		do   func() error
	}{
		{"the first write", func() error { return os.WriteFile(path, []byte("11\n"), 0o600) }},
		{"a shorter file", func() error { return os.WriteFile(path, []byte("1\n"), 0o600) }},
		{"another one of its size and times", func() error {
			info, err := os.Stat(path)
			return errors.Join(err, os.WriteFile(path, []byte("2\n"), 0o600), os.Chtimes(path, time.Time{}, info.ModTime()))
		}},
		{"a rename over it", func() error {
			return errors.Join(os.WriteFile(path+".new", []byte("2\n"), 0o600), os.Rename(path+".new", path))
		}},
		{"an empty file", func() error { return os.Truncate(path, 0) }},
	} {
		if err := write.do(); err != nil {
			t.Fatal(err)
		}
		v := look(t, path).Version
		if before := seen[v]; before != "" {
			t.Errorf("%s shows the version of %s", write.what, before)
		}
		if seen[v] = write.what; look(t, path).Version != v {
			t.Errorf("after %s: two looks show two versions", write.what)
		}
	}
}

// A tool has the file open between two writes. A look shows that for as long as it is so, whatever the pause is.
func TestLookShowsWriter(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.csv")
	w, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	if w.WriteString("name,port,ce"); !look(t, path).Writing {
		t.Error("with a writer, a look shows none")
	}
	if w.Close(); look(t, path).Writing {
		t.Error("without a writer, a look shows one")
	}
	r, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if look(t, path).Writing {
		t.Error("with another reader, a look shows a writer")
	}
}

// A tool opens the file for writing again and again while it is looked at. Neither notices the other: a look must not
// make a writer fail, nor the lease that it takes for an instant end this process by the signal that breaks it.
func TestLooksDoNotDisturbWriters(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.csv")
	if err := os.WriteFile(path, []byte("name\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var writers sync.WaitGroup
	end := time.Now().Add(300 * time.Millisecond)
	for range 4 {
		writers.Go(func() {
			for time.Now().Before(end) {
				if err := os.WriteFile(path, []byte("name\n"), 0o600); err != nil {
					t.Error(err)
				}
			}
		})
	}
	for time.Now().Before(end) {
		if _, err := Inspect(path); err != nil {
			t.Error(err)
		}
	}
	writers.Wait()
}
