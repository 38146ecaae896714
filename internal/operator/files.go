package operator

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	suffix   = ".state"
	mostKept = 4 // files of processes that are over, the latest ones
)

// Files are the snapshots of a coordinator's processes in a folder that they share. Each process writes its own one.
// It is for one goroutine.
type Files struct {
	dir  string
	own  string
	seen map[string]fs.FileInfo // of the others, as they were read last
}

// OpenFiles makes the folder where it is missing. Names are in order of the processes' starts.
func OpenFiles(dir string, started time.Time) (*Files, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	return &Files{dir: dir, own: fmt.Sprintf("%016x-%d%s", started.UnixNano(), os.Getpid(), suffix), seen: map[string]fs.FileInfo{}}, nil
}

// Write puts a snapshot in the place of the last one, whole or not at all. The folder does not outlive the machine, so
// nothing is synced: a rename is seen whole by the other processes, which are all that is left to read it.
func (f *Files) Write(s Snapshot) error {
	data, err := Encode(s)
	if err != nil {
		return err
	}
	temp := filepath.Join(f.dir, f.own+".new")
	if err := os.WriteFile(temp, data, 0o600); err != nil {
		os.Remove(temp) // a full disk leaves half of it
		return err
	}
	return os.Rename(temp, filepath.Join(f.dir, f.own))
}

// Others reads what other processes have written since the last call. What cannot be used is logged and left out.
func (f *Files) Others() (list []Snapshot) {
	names, err := filepath.Glob(filepath.Join(f.dir, "*"+suffix))
	if err != nil {
		return nil
	}
	for _, path := range names { // in order of the processes' starts
		name := filepath.Base(path)
		info, err := os.Stat(path)
		if last := f.seen[name]; name == f.own || err != nil ||
			last != nil && os.SameFile(last, info) && last.ModTime().Equal(info.ModTime()) && last.Size() == info.Size() {
			continue
		}
		f.seen[name] = info
		s, err := f.read(path, info.Size())
		if err != nil {
			slog.Warn("state not used", "file", path, "err", err)
			continue
		}
		list = append(list, s)
	}
	return list
}

func (f *Files) read(path string, size int64) (Snapshot, error) {
	if size > longestFile {
		return Snapshot{}, fmt.Errorf("operator: state of %d bytes, at most %d are read", size, longestFile)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Snapshot{}, err
	}
	return Decode(data)
}

// Prune removes what processes long over have left, all but the latest few.
func (f *Files) Prune() {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return
	}
	var names []string
	for _, e := range entries {
		switch name := e.Name(); {
		case strings.HasSuffix(name, suffix) && name != f.own:
			names = append(names, name)
		case strings.HasSuffix(name, suffix+".new") && name != f.own+".new":
			if info, err := e.Info(); err == nil && time.Since(info.ModTime()) > time.Minute { // half written, and its writer killed
				f.remove(name)
			}
		}
	}
	for len(names) > mostKept {
		f.remove(names[0])
		delete(f.seen, names[0])
		names = names[1:]
	}
}

func (f *Files) remove(name string) {
	if err := os.Remove(filepath.Join(f.dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		slog.Warn("state not removed", "file", name, "err", err)
	}
}
