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
	// snapshotSuffix ends a snapshot's file name.
	snapshotSuffix = ".state"
	// writingSuffix is appended to the name of a snapshot while it is written.
	writingSuffix = ".new"
	// maxOldSnapshots is how many snapshots of other processes are kept, the latest ones.
	maxOldSnapshots = 4
	// partialLifetime is the age from which the writer of a partial snapshot was killed.
	partialLifetime = time.Minute
)

// msgNotUsed is the log message for a snapshot that was found and left out.
const msgNotUsed = "snapshot not used"

// SnapshotDir is the directory that the processes of a coordinator share. Each writes a snapshot of its own. It is
// for one goroutine at a time.
type SnapshotDir struct {
	dir  string
	own  string                 // name of this process's snapshot
	seen map[string]fs.FileInfo // the other snapshots when they were last read, by name
}

// OpenSnapshotDir makes the directory where it is missing. started is this process's start: snapshots' names are in
// the order of starts.
func OpenSnapshotDir(dir string, started time.Time) (*SnapshotDir, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	own := fmt.Sprintf("%016x-%d%s", started.UnixNano(), os.Getpid(), snapshotSuffix)
	return &SnapshotDir{dir: dir, own: own, seen: map[string]fs.FileInfo{}}, nil
}

// ownPartial is the name of this process's snapshot while it is written.
func (d *SnapshotDir) ownPartial() string { return d.own + writingSuffix }

// Write replaces this process's snapshot completely or not at all. It returns ErrTooLarge or an error of the file
// system.
//
// A process that is killed while it writes would leave a torn snapshot in place of its last one, and the operators'
// calls would be lost. So the new one is written beside it and renamed over it. The directory does not outlive the
// machine, so nothing is synced: only other processes read it, and they see a rename completely or not at all.
func (d *SnapshotDir) Write(s Snapshot) error {
	data, err := Encode(s)
	if err != nil {
		return err
	}
	partial := filepath.Join(d.dir, d.ownPartial())
	if err := os.WriteFile(partial, data, 0o600); err != nil {
		os.Remove(partial) // a full disk leaves half of it
		return err
	}
	return os.Rename(partial, filepath.Join(d.dir, d.own))
}

// ReadChanged returns the other processes' snapshots that have changed since the last call, in order of the processes'
// starts. One that cannot be used is logged and left out.
func (d *SnapshotDir) ReadChanged() (list []Snapshot) {
	paths, err := filepath.Glob(filepath.Join(d.dir, "*"+snapshotSuffix))
	if err != nil {
		return nil
	}
	for _, path := range paths {
		name := filepath.Base(path)
		if name == d.own {
			continue
		}
		info, err := os.Stat(path)
		if err != nil || sameFile(d.seen[name], info) {
			continue
		}
		d.seen[name] = info
		s, err := readSnapshot(path, info.Size())
		if err != nil {
			slog.Warn(msgNotUsed, "file", path, "err", err)
			continue
		}
		list = append(list, s)
	}
	return list
}

// sameFile reports whether a file is as it was when it was last read; nil where it was not read yet.
func sameFile(last, now fs.FileInfo) bool {
	return last != nil && os.SameFile(last, now) && last.ModTime().Equal(now.ModTime()) && last.Size() == now.Size()
}

// readSnapshot reads a file of a size in bytes. It returns ErrTooLarge or an error of the file system or of Decode.
func readSnapshot(path string, size int64) (Snapshot, error) {
	if size > maxSnapshotBytes {
		return Snapshot{}, fmt.Errorf("%w: %d bytes, at most %d are read", ErrTooLarge, size, maxSnapshotBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Snapshot{}, err
	}
	return Decode(data)
}

// Prune removes the snapshots of ended processes but for the latest few, and partial ones whose writers were killed.
func (d *SnapshotDir) Prune() {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return
	}
	var others []string // names in order of the processes' starts
	for _, e := range entries {
		switch name := e.Name(); {
		case strings.HasSuffix(name, snapshotSuffix) && name != d.own:
			others = append(others, name)
		case strings.HasSuffix(name, snapshotSuffix+writingSuffix) && name != d.ownPartial():
			if info, err := e.Info(); err == nil && time.Since(info.ModTime()) > partialLifetime {
				d.remove(name)
			}
		}
	}
	for len(others) > maxOldSnapshots {
		d.remove(others[0])
		delete(d.seen, others[0])
		others = others[1:]
	}
}

func (d *SnapshotDir) remove(name string) {
	if err := os.Remove(filepath.Join(d.dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		slog.Warn("snapshot not removed", "file", name, "err", err)
	}
}
