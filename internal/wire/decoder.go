package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"harepass/internal/decide/scatter"
)

// bufferSize is the size of the read and write buffers, in bytes.
const bufferSize = 1 << 16

// ErrTruncated is returned for input that ends inside a batch, or inside a line, also between batches.
var ErrTruncated = errors.New("input ends inside a batch")

// SyntaxError reports a line that is not a message, or a message that is not allowed at its place.
type SyntaxError struct {
	Line    int
	Problem string
}

// Error names the line.
func (e *SyntaxError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Problem) }

// syntaxErrorf returns a *SyntaxError for the line read last.
func (d *Decoder) syntaxErrorf(format string, args ...any) error {
	return &SyntaxError{d.line, fmt.Sprintf(format, args...)}
}

// Batch holds the messages of one point in time.
type Batch struct {
	Time     time.Duration
	Messages []Message
}

// Message is the start, the stop or an event of one instance of the decision module. Exactly one of Start, Stop and
// Event is set.
type Message struct {
	Line     int
	Instance string
	Start    *Start
	Stop     bool
	Event    scatter.Event
}

// Start holds the parameters of a new instance.
type Start struct {
	Seed     uint64
	Settings scatter.Settings
}

// Decoder reads batches. It is for one goroutine.
type Decoder struct {
	r     *bufio.Reader
	line  int                       // number of the line read last
	lists map[int][]scatter.Replica // endpoint lists by their number; each is kept until another list gets its number
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, bufferSize), lists: map[int][]scatter.Replica{}}
}

// Next returns the next batch, or io.EOF if the input ends between batches. Any other error of the input is a
// *SyntaxError, a *FieldError or wraps ErrTruncated, and names the line. An error of the reader itself is returned
// unchanged.
func (d *Decoder) Next() (Batch, error) {
	var b Batch
	text, err := d.readLine()
	if err != nil {
		return b, err
	}
	f, err := d.parse(text)
	if err != nil {
		return b, err
	}
	if f.name != "batch" {
		return b, d.syntaxErrorf("got %q, want a batch line", f.name)
	}
	b.Time = f.duration("time_us")
	if f.err != nil {
		return b, f.err
	}
	for {
		done, err := d.readMessage(&b)
		if done || err != nil {
			return b, err
		}
	}
}

// readMessage reads one line of a batch and the rows that belong to it. It reports whether the line ended the batch.
func (d *Decoder) readMessage(b *Batch) (done bool, err error) {
	f, err := d.parseInside()
	if err != nil {
		return false, err
	}
	switch f.name {
	case "flush":
		return true, nil
	case "batch", "row":
		return false, d.syntaxErrorf("unexpected %s line", f.name)
	case "sheet":
		return false, d.readList(f)
	}
	m, known := d.message(f)
	if f.err != nil {
		return false, f.err
	}
	if known {
		b.Messages = append(b.Messages, m)
	}
	return false, nil
}

// readLine reads a line and removes all CR and LF at its end. Its length is not bounded, because the simulator is
// trusted. It returns io.EOF if the input ends between lines, and ErrTruncated with the incomplete line's number if the
// input ends inside a line.
func (d *Decoder) readLine() (string, error) {
	s, err := d.r.ReadString('\n')
	if err == io.EOF && s != "" {
		return "", fmt.Errorf("line %d: %w", d.line+1, ErrTruncated)
	}
	if err != nil {
		return "", err
	}
	d.line++
	return strings.TrimRight(s, "\r\n"), nil
}

// parseInside reads and parses a line inside a batch, where the input must not end. If it ends between two lines,
// ErrTruncated names the last one.
func (d *Decoder) parseInside() (*fields, error) {
	text, err := d.readLine()
	if err == io.EOF {
		err = fmt.Errorf("line %d: %w", d.line, ErrTruncated)
	}
	if err != nil {
		return nil, err
	}
	return d.parse(text)
}

// parse parses a line: a message name and fields of the form name=value, separated by single spaces. If a name
// is repeated, its last value counts.
func (d *Decoder) parse(text string) (*fields, error) {
	words := strings.Split(text, " ")
	f := &fields{name: words[0], line: d.line, values: make(map[string]string, len(words)-1)}
	if f.name == "" || strings.Contains(f.name, "=") {
		return nil, d.syntaxErrorf("no message name")
	}
	for _, word := range words[1:] {
		key, value, ok := strings.Cut(word, "=")
		if !ok || key == "" {
			return nil, d.syntaxErrorf("field %q of %s is not name=value", word, f.name)
		}
		f.values[key] = value
	}
	return f, nil
}

// readList reads a numbered endpoint list and its rows.
func (d *Decoder) readList(f *fields) error {
	number, rows := f.int("table"), f.int("members")
	if f.err == nil && rows < 0 {
		f.fail("members", "is negative")
	}
	if f.err != nil {
		return f.err
	}
	var list []scatter.Replica
	for i := range rows {
		row, err := d.parseInside()
		if err != nil {
			return err
		}
		if row.name != "row" {
			return d.syntaxErrorf("got %q, want row %d of %d (members)", row.name, i+1, rows)
		}
		r := replica(row)
		if row.err != nil {
			return row.err
		}
		list = append(list, r)
	}
	d.lists[number] = list
	return nil
}
