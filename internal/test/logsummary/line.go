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
	// ErrNoTrace says that logs have no attempt: they were written without -trace.
	ErrNoTrace = errors.New("lab: no attempt in these logs: were they written with 'harepass serve -trace'?")
	// ErrNoLogs says that a folder has no logs.
	ErrNoLogs = errors.New("lab: no *.log file")
	// ErrQueryNotFound says that logs have no line of a query.
	ErrQueryNotFound = errors.New("lab: no line of query")
)

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Line is one line of a coordinator's log.
type Line struct {
	Coordinator string            // by its file's name
	At          time.Duration     // since the midnight before, or since the start where seconds stand in front
	Level       string            // as slog names it
	Message     string            // see internal/logmsg
	Attrs       map[string]string // values by key, unquoted
}

// ParseLine reads a line as the standard logger writes it for slog: perhaps seconds, then date, time, level, message
// and attributes. It reports false for any other line, such as a panic's.
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

// parseTime reads the time and returns what follows it. Seconds in front go before the date and the time.
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

// parseAttrs reads the message's words, and attributes of the form key=value or key="quoted value". It reports false
// for a quote that does not end.
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

// ReadDir hands each line of a folder's *.log files to a function, file by file; what is no line of a log is left out.
// The error wraps ErrNoLogs for a folder without logs, and is that of reading otherwise.
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

// readFile hands each line of a log to a function.
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
