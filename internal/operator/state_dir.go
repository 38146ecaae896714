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

	"harepass/internal/inputfile"
	"harepass/internal/logmsg"
	"harepass/internal/sharedfile"
)

const (
	// StateFileSuffix is the suffix of a state file's name.
	StateFileSuffix = ".state"
	// maxOldStateFiles is how many state files of other processes Prune keeps, those that were written last.
	maxOldStateFiles = 4
	// partialLifetime is the age above which the writer of a partial state file counts as killed, and Prune removes the
	// file.
	partialLifetime = time.Minute
)

// msgNotUsed is the log message for a state file that was found but is ignored.
const msgNotUsed = "state file not used"

// StateDir is the directory that the processes of a coordinator share. Each process writes a state file of its own. A
// StateDir must not be used by several goroutines at once.
type StateDir struct {
	dir      string
	own      string                 // name of this process's state file
	lastRead map[string]fs.FileInfo // the other state files as of their last read, by name
	unread   map[string]fs.FileInfo // files that could not be read since, by name: reading is retried, and logged once
	out      map[string][]string    // ids of the replicas that are out in each other state file, by file name
	readFile func(path string) ([]byte, error)
}

// OpenStateDir opens the directory, and creates it if it does not exist. started is the start time of this process,
// which begins its state file's name, so that names sort in the order of the processes' starts.
func OpenStateDir(dir string, started time.Time) (*StateDir, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	own := fmt.Sprintf("%016x-%d%s", started.UnixNano(), os.Getpid(), StateFileSuffix)
	return &StateDir{dir: dir, own: own, lastRead: map[string]fs.FileInfo{}, unread: map[string]fs.FileInfo{},
		out: map[string][]string{}, readFile: inputfile.Read}, nil
}

// OwnPath returns the path of this process's state file.
func (d *StateDir) OwnPath() string { return filepath.Join(d.dir, d.own) }

// ownPartial returns the name of this process's state file while it is written.
func (d *StateDir) ownPartial() string { return d.own + sharedfile.WritingSuffix }

// Write replaces this process's state file completely or not at all. If the state exceeds the limit, Write leaves out
// the checkpoint and then the endpoint list, which a new process can get from discovery. It never leaves out the
// operators' calls, because no other component has them. leftOut names the parts that were left out. Write returns
// ErrTooLarge if the calls alone exceed the limit, or an error of the file system.
func (d *StateDir) Write(s StateFile) (leftOut []string, err error) {
	data, leftOut, err := encodeWithinLimit(s)
	if err != nil {
		return leftOut, err
	}
	return leftOut, sharedfile.Write(d.OwnPath(), data)
}

// encodeWithinLimit encodes a state file without the parts that do not fit into the limit, which leftOut names.
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
// processes' starts. It logs a file with unusable contents and ignores it until it changes. It also logs a file that
// the file system fails to read, but tries to read that one again at the next call.
func (d *StateDir) ReadChanged() (list []StateFile) {
	paths, err := filepath.Glob(filepath.Join(d.dir, "*"+StateFileSuffix))
	if err != nil {
		return nil
	}
	for _, path := range paths {
		name := filepath.Base(path)
		if name == d.own {
			continue
		}
		info, err := os.Stat(path)
		if err != nil || sharedfile.Unchanged(d.lastRead[name], info) {
			continue
		}
		s, err := d.read(path, info.Size())
		var failed *fs.PathError
		if errors.As(err, &failed) {
			if !sharedfile.Unchanged(d.unread[name], info) {
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

// isOutElsewhere reports whether another process's state file, as of its last read, has a replica as out for
// maintenance. The file counts even if its writer has ended, because a process that starts later may read it.
func (d *StateDir) isOutElsewhere(id string) bool {
	for _, ids := range d.out {
		if slices.Contains(ids, id) {
			return true
		}
	}
	return false
}

// read reads and decodes a state file; size is the file's, in bytes. An error is ErrTooLarge, a *fs.PathError or one of
// Decode.
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

// Prune removes other processes' state files that ReadChanged has returned or logged, except for the maxOldStateFiles
// that were written last, and partial files older than partialLifetime. The order is that of the writes, because a
// process that serves may have started before several that failed.
func (d *StateDir) Prune() {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return
	}
	var others []string
	for _, e := range entries {
		switch name := e.Name(); {
		case d.lastRead[name] != nil && d.unread[name] == nil:
			others = append(others, name)
		case strings.HasSuffix(name, StateFileSuffix+sharedfile.WritingSuffix) && name != d.ownPartial():
			if info, err := e.Info(); err == nil && time.Since(info.ModTime()) > partialLifetime {
				d.remove(name)
			}
		}
	}
	slices.SortStableFunc(others, func(a, b string) int {
		return d.lastRead[b].ModTime().Compare(d.lastRead[a].ModTime())
	})
	for _, name := range others[min(len(others), maxOldStateFiles):] {
		d.remove(name)
		delete(d.lastRead, name)
		delete(d.out, name)
	}
}

func (d *StateDir) remove(name string) {
	if err := os.Remove(filepath.Join(d.dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		slog.Warn("state file not removed", "file", name, logmsg.KeyError, err)
	}
}
