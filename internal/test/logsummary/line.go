// Package logsummary reads the logs that coordinators write under "serve -trace", one file each, and sums a fleet's up.
package logsummary

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Line is one line of a coordinator's log.
type Line struct {
	Root  string        // the coordinator, by its file's name
	At    time.Duration // since the midnight before, or since the start where the log's writer put seconds in front
	Level string
	Name  string // what happened: see internal/logmsg
	Attrs map[string]string
}

// ErrNoTrace is returned for logs that tell of no attempt: they were written without -trace.
var ErrNoTrace = errors.New("lab: no attempt in these logs: were they written with 'harepass serve -trace'?")

// ParseLine reads a line of the standard logger as slog uses it: perhaps seconds, then date, time, level, words and
// attributes. False for any other, such as a panic's.
func ParseLine(root, line string) (l Line, ok bool) {
	l = Line{Root: root, Attrs: map[string]string{}}
	first, rest, _ := strings.Cut(line, " ")
	seconds, err := strconv.ParseFloat(strings.Trim(first, "[]"), 64)
	led := err == nil
	if led {
		l.At = time.Duration(seconds * float64(time.Second))
		first, rest, _ = strings.Cut(rest, " ")
	}
	clock, rest, _ := strings.Cut(rest, " ")
	at, err := time.Parse("2006/01/02 15:04:05", first+" "+clock)
	if err != nil {
		return l, false
	}
	if !led {
		l.At = at.Sub(at.Truncate(24 * time.Hour))
	}
	l.Level, rest, _ = strings.Cut(rest, " ")
	var words []string
	for rest != "" {
		word := rest
		if i := strings.IndexAny(rest, ` "`); i >= 0 && rest[i] == '"' {
			quoted, err := strconv.QuotedPrefix(rest[i:])
			if err != nil {
				return l, false
			}
			value, _ := strconv.Unquote(quoted)
			if key, found := strings.CutSuffix(rest[:i], "="); found {
				l.Attrs[key] = value
			}
			rest = strings.TrimPrefix(rest[i+len(quoted):], " ")
			continue
		}
		word, rest, _ = strings.Cut(rest, " ")
		if key, value, found := strings.Cut(word, "="); found {
			l.Attrs[key] = value
		} else if len(l.Attrs) == 0 {
			words = append(words, word)
		}
	}
	l.Name = strings.Join(words, " ")
	return l, l.Name != ""
}

// ReadDir hands each line of a folder's *.log files to one function, file by file.
func ReadDir(dir string, each func(Line)) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(files) == 0 {
		return errors.Join(err, fmt.Errorf("lab: no *.log file in %s", dir))
	}
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		root := strings.TrimSuffix(filepath.Base(path), ".log")
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if l, ok := ParseLine(root, lines.Text()); ok {
				each(l)
			}
		}
		if err := errors.Join(lines.Err(), f.Close()); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}
