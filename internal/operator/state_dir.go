package operator

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"harepass/internal/logmsg"
)

const (
	// stateFileSuffix ends the name of a state file.
	stateFileSuffix = ".state"
	// writingSuffix is appended to the name of a state file while it is written.
	writingSuffix = ".new"
	// maxOldStateFiles is how many state files of other processes stay, the latest ones.
	maxOldStateFiles = 4
	// partialLifetime is the age from which the writer of a partial state file was killed.
	partialLifetime = time.Minute
)

// msgNotUsed is the log message for a state file that was found and left out.
const msgNotUsed = "state file not used"

// StateDir is the directory that the processes of a coordinator share. Each writes a state file of its own. It is
// for one goroutine at a time.
type StateDir struct {
	dir      string
	own      string                 // name of this process's state file
	lastRead map[string]fs.FileInfo // the other state files when they were last read, by name
	unread   map[string]fs.FileInfo // those whose reading failed since, by name: they are read again, and logged once
	out      map[string][]string    // ids of the replicas that are out by the other state files, by the files' names
	readFile func(path string) ([]byte, error)
}

// OpenStateDir makes the directory where it is missing. started is this process's start: state files' names are in
// the order of starts.
func OpenStateDir(dir string, started time.Time) (*StateDir, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	own := fmt.Sprintf("%016x-%d%s", started.UnixNano(), os.Getpid(), stateFileSuffix)
	return &StateDir{dir: dir, own: own, lastRead: map[string]fs.FileInfo{}, unread: map[string]fs.FileInfo{},
		out: map[string][]string{}, readFile: os.ReadFile}, nil
}

// ownPartial is the name of this process's state file while it is written.
func (d *StateDir) ownPartial() string { return d.own + writingSuffix }

// Write replaces this process's state file completely or not at all. What is over the limit is left out: first what was
// learned, then the endpoint list, which a new process gets from discovery; the operators' calls stay, for nobody else
// has them. leftOut names what was. Write returns ErrTooLarge where the calls alone are over the limit, or an error of
// the file system.
//
// A process that is killed while it writes would leave a torn state file in place of its last one, and the operators'
// calls would be lost. So the new one is written beside it and renamed over it. The directory does not outlive the
// machine, so nothing is synced: only other processes read it, and they see a rename completely or not at all.
func (d *StateDir) Write(s StateFile) (leftOut []string, err error) {
	data, leftOut, err := encodeWithinLimit(s)
	if err != nil {
		return leftOut, err
	}
	partial := filepath.Join(d.dir, d.ownPartial())
	if err := os.WriteFile(partial, data, 0o600); err != nil {
		os.Remove(partial) // a full disk leaves half of it
		return leftOut, err
	}
	return leftOut, os.Rename(partial, filepath.Join(d.dir, d.own))
}

// encodeWithinLimit returns a state file's stored form without what does not fit into the limit.
func encodeWithinLimit(s StateFile) (data []byte, leftOut []string, err error) {
	data, err = Encode(s)
	if errors.Is(err, ErrTooLarge) && s.Checkpoint != nil {
		s.Checkpoint, leftOut = nil, append(leftOut, "checkpoint")
		data, err = Encode(s)
	}
	if errors.Is(err, ErrTooLarge) && len(s.List) > 0 {
		s.List, s.Discovery, leftOut = nil, "", append(leftOut, "endpoint list")
		data, err = Encode(s)
	}
	return data, leftOut, err
}

// ReadChanged returns the other processes' state files that have changed since the last call, in order of the
// processes' starts. One that cannot be used is logged and left out until it changes. One that the file system fails to
// read is logged, and read again at the next call.
func (d *StateDir) ReadChanged() (list []StateFile) {
	paths, err := filepath.Glob(filepath.Join(d.dir, "*"+stateFileSuffix))
	if err != nil {
		return nil
	}
	for _, path := range paths {
		name := filepath.Base(path)
		if name == d.own {
			continue
		}
		info, err := os.Stat(path)
		if err != nil || sameFile(d.lastRead[name], info) {
			continue
		}
		s, err := d.read(path, info.Size())
		var failed *fs.PathError
		if errors.As(err, &failed) {
			if !sameFile(d.unread[name], info) {
				slog.Warn(msgNotUsed, "file", path, logmsg.KeyError, err)
			}
			d.unread[name] = info
			continue
		}
		d.lastRead[name] = info
		delete(d.unread, name)
		if err != nil {
			slog.Warn(msgNotUsed, "file", path, logmsg.KeyError, err)
			continue
		}
		d.out[name] = slices.Collect(maps.Keys(s.Maintenance.Out()))
		list = append(list, s)
	}
	return list
}

// hasOut reports whether a replica is out by another process's state file, as that was when it was last read. A process
// that starts later may read the file, though its writer has ended.
func (d *StateDir) hasOut(id string) bool {
	for _, ids := range d.out {
		if slices.Contains(ids, id) {
			return true
		}
	}
	return false
}

// sameFile reports whether a file is as it was when it was last read; nil where it was not read yet.
func sameFile(last, now fs.FileInfo) bool {
	return last != nil && os.SameFile(last, now) && last.ModTime().Equal(now.ModTime()) && last.Size() == now.Size()
}

// read reads a file of a size in bytes. It returns ErrTooLarge, a *fs.PathError or an error of Decode.
func (d *StateDir) read(path string, size int64) (StateFile, error) {
	if size > maxStateFileBytes {
		return StateFile{}, fmt.Errorf("%w: %d bytes, at most %d are read", ErrTooLarge, size, maxStateFileBytes)
	}
	data, err := d.readFile(path)
	if err != nil {
		return StateFile{}, err
	}
	return Decode(data)
}

// Prune removes the state files of ended processes but for the latest few, and partial ones whose writers were killed.
func (d *StateDir) Prune() {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return
	}
	var others []string // names in order of the processes' starts
	for _, e := range entries {
		switch name := e.Name(); {
		case strings.HasSuffix(name, stateFileSuffix) && name != d.own:
			others = append(others, name)
		case strings.HasSuffix(name, stateFileSuffix+writingSuffix) && name != d.ownPartial():
			if info, err := e.Info(); err == nil && time.Since(info.ModTime()) > partialLifetime {
				d.remove(name)
			}
		}
	}
	for len(others) > maxOldStateFiles {
		d.remove(others[0])
		delete(d.lastRead, others[0])
		delete(d.unread, others[0])
		delete(d.out, others[0])
		others = others[1:]
	}
}

func (d *StateDir) remove(name string) {
	if err := os.Remove(filepath.Join(d.dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		slog.Warn("state file not removed", "file", name, logmsg.KeyError, err)
	}
}
