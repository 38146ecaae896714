package config

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"harepass/internal/decide/stability"
	"harepass/internal/inputfile"
	"harepass/internal/logmsg"
)

// startTimeout is how long a process that starts waits for files that keep changing.
const startTimeout = 10 * time.Second

// ErrFilesChanging means that the installation's files did not stay the same for long enough to count as complete.
var ErrFilesChanging = errors.New("the files keep changing while they are read")

// fileSet remembers which versions of files were read together. It holds the files whose format does not tell a cut
// file from a complete one: YAML and CSV. JSON that is cut short does not parse.
type fileSet struct {
	paths []string
	looks []stability.Look // one for each path
}

// add remembers a look at a file.
func (s *fileSet) add(path string, l stability.Look) {
	s.paths, s.looks = append(s.paths, path), append(s.looks, l)
}

// read reads a file and remembers the look at it.
func (s *fileSet) read(path string) ([]byte, error) {
	file, err := inputfile.Inspect(path)
	file.Look.Suspect = err == nil && !inputfile.EndsLine(file.Data)
	s.add(path, file.Look)
	return file.Data, err
}

// readOptional reads a file as read does. A file that does not exist at its default path is no error; exists is then
// false.
func (s *fileSet) readOptional(path, defaultPath string) (data []byte, exists bool, err error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) && path == defaultPath {
		return nil, false, nil
	}
	data, err = s.read(path)
	return data, err == nil, err
}

// look returns the looks at all files as if they were one file.
func (s *fileSet) look() (all stability.Look) {
	h := sha256.New()
	for _, l := range s.looks {
		h.Write(l.Version[:])
		all.Writing = all.Writing || l.Writing
		all.Suspect = all.Suspect || l.Suspect
	}
	h.Sum(all.Version[:0])
	return all
}

// loadStable calls load until the files that it reads count as complete, and returns the last result. load is called
// once if it reads none of the files that a fileSet holds. The error is that of load, wraps ErrFilesChanging, or is the
// cause of ctx.
func loadStable[T any](ctx context.Context, load func(*fileSet) (T, error)) (result T, err error) {
	files := &fileSet{}
	if result, err = load(files); len(files.looks) == 0 {
		return result, err
	}
	waitContext, cancel := context.WithTimeoutCause(ctx, startTimeout, ErrFilesChanging)
	defer cancel()
	look := func() stability.Look {
		files = &fileSet{}
		result, err = load(files)
		return files.look()
	}
	waitErr := inputfile.WaitStable(waitContext, inputfile.StartWindows, look, logPostponed())
	if errors.Is(waitErr, ErrFilesChanging) {
		return result, fmt.Errorf("%s: %w", strings.Join(files.paths, ", "), waitErr)
	}
	if waitErr != nil {
		return result, waitErr
	}
	return result, err
}

// logPostponed returns a function that logs why files do not count as complete, whenever the reason changes. That they
// have not been looked at for long enough is not logged, since it is so at each start.
func logPostponed() func(stability.Reason) {
	last := stability.Unchecked
	return func(reason stability.Reason) {
		if reason != last && reason != stability.Unchecked {
			slog.Info(logmsg.ConfigurationPostponed, logmsg.KeyReason, reason.String())
		}
		last = reason
	}
}
