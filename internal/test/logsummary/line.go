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

// Errors that the package returns or wraps.
var (
	// ErrNoTrace reports that logs contain no attempt, because they were written without -trace.
	ErrNoTrace = errors.New("lab: the logs contain no attempt; write them with 'harepass serve -trace'")
	// ErrNoLogs reports that a folder contains no logs.
	ErrNoLogs = errors.New("lab: no *.log file")
	// ErrQueryNotFound reports that logs contain no line of a query.
	ErrQueryNotFound = errors.New("lab: no log line of query")
)

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Line is one line of a coordinator's log.
type Line struct {
	Coordinator string            // name of the log file, without its extension
	At          time.Duration     // since the preceding midnight, or since the start if the line begins with seconds
	Level       string            // as slog names it
	Message     string            // see internal/logmsg
	Attrs       map[string]string // values by key, unquoted
}

// ParseLine parses a line that the standard logger writes for slog: optional seconds, then date, time, level, message
// and attributes. It reports false for any other line, such as one of a panic.
func ParseLine(coordinator, line string) (l Line, ok bool) {
	l = Line{Coordinator: coordinator, Attrs: map[string]string{}}
	rest, ok := l.parseTime(line)
	if !ok {
		return l, false
	}
	l.Level, rest, _ = strings.Cut(rest, " ")
	if !l.parseAttrs(rest) {
		return l, false
	}
	return l, l.Message != ""
}

// parseTime parses the time and returns the rest of the line. Leading seconds take precedence over the date and the
// time.
func (l *Line) parseTime(line string) (rest string, ok bool) {
	first, rest, _ := strings.Cut(line, " ")
	seconds, err := strconv.ParseFloat(strings.Trim(first, "[]"), 64)
	hasSeconds := err == nil
	if hasSeconds {
		l.At = time.Duration(seconds * float64(time.Second))
		first, rest, _ = strings.Cut(rest, " ")
	}
	clock, rest, _ := strings.Cut(rest, " ")
	at, err := time.Parse("2006/01/02 15:04:05", first+" "+clock)
	if err != nil {
		return "", false
	}
	if !hasSeconds {
		l.At = at.Sub(at.Truncate(24 * time.Hour))
	}
	return rest, true
}

// parseAttrs parses the words of the message, and attributes of the form key=value or key="quoted value". It reports
// false for an unterminated quote.
func (l *Line) parseAttrs(rest string) bool {
	var words []string
	for rest != "" {
		if i := strings.IndexAny(rest, ` "`); i >= 0 && rest[i] == '"' {
			quoted, err := strconv.QuotedPrefix(rest[i:])
			if err != nil {
				return false
			}
			value, _ := strconv.Unquote(quoted)
			if key, found := strings.CutSuffix(rest[:i], "="); found {
				l.Attrs[key] = value
			}
			rest = strings.TrimPrefix(rest[i+len(quoted):], " ")
			continue
		}
		var word string
		word, rest, _ = strings.Cut(rest, " ")
		if key, value, found := strings.Cut(word, "="); found {
			l.Attrs[key] = value
		} else if len(l.Attrs) == 0 {
			words = append(words, word)
		}
	}
	l.Message = strings.Join(words, " ")
	return true
}

// ReadDir calls each with every line of the *.log files in a folder, file by file, and skips text that is not a log
// line. The error wraps ErrNoLogs if the folder contains no logs; otherwise it is that of a failed read.
func ReadDir(dir string, each func(Line)) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(files) == 0 {
		return errors.Join(err, fmt.Errorf("%w in %s", ErrNoLogs, dir))
	}
	for _, path := range files {
		if err := readFile(path, each); err != nil {
			return err
		}
	}
	return nil
}

// readFile calls each with every line of a log file.
func readFile(path string, each func(Line)) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	coordinator := strings.TrimSuffix(filepath.Base(path), ".log")
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if l, ok := ParseLine(coordinator, lines.Text()); ok {
			each(l)
		}
	}
	if err := errors.Join(lines.Err(), f.Close()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
