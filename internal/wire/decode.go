// Package wire turns the simulator's text lines into the module's events and its actions into
// lines. It decides nothing.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"harepass"
)

// Batch is what happened at one time.
type Batch struct {
	Time     time.Duration
	Messages []Message
}

// Message is one event of one instance; exactly one of Start, Stop and Event is set.
type Message struct {
	Line  int
	Root  string
	Start *Start
	Stop  bool
	Event harepass.Event
}

// Start begins an instance.
type Start struct {
	Seed     uint64
	Settings harepass.Settings
}

// Decoder reads batches.
type Decoder struct {
	r      *bufio.Reader
	line   int
	sheets map[int][]harepass.Replica
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16), sheets: map[int][]harepass.Replica{}}
}

var errTruncated = errors.New("input ends inside a batch")

func (d *Decoder) read() (string, error) {
	s, err := d.r.ReadString('\n')
	if err == io.EOF && s != "" {
		return "", fmt.Errorf("line %d: %w", d.line+1, errTruncated)
	}
	if err != nil {
		return "", err
	}
	d.line++
	return strings.TrimRight(s, "\r\n"), nil
}

// Next returns the next batch, or io.EOF at the clean end of input.
func (d *Decoder) Next() (Batch, error) {
	var b Batch
	head, err := d.read()
	if err != nil {
		return b, err
	}
	f, err := d.parse(head)
	if err != nil {
		return b, err
	}
	if f.name != "batch" {
		return b, fmt.Errorf("line %d: got %q, want a batch line", d.line, f.name)
	}
	b.Time = f.us("time_us")
	if f.err != nil {
		return b, f.err
	}
	for {
		text, err := d.inside()
		if err != nil {
			return b, err
		}
		f, err := d.parse(text)
		if err != nil {
			return b, err
		}
		switch f.name {
		case "flush":
			return b, nil
		case "batch", "row":
			return b, fmt.Errorf("line %d: unexpected %s line", d.line, f.name)
		case "sheet":
			if err := d.sheet(f); err != nil {
				return b, err
			}
			continue
		}
		m, known := d.message(f)
		if f.err != nil {
			return b, f.err
		}
		if known {
			b.Messages = append(b.Messages, m)
		}
	}
}

func (d *Decoder) inside() (string, error) {
	s, err := d.read()
	if err == io.EOF {
		err = fmt.Errorf("line %d: %w", d.line, errTruncated)
	}
	return s, err
}

var states = map[string]harepass.ReplicaState{
	"active": harepass.Ready, "leaving": harepass.Draining, "left": harepass.Gone}

// sheet reads a numbered list and its rows.
func (d *Decoder) sheet(f *fields) error {
	table, n := f.num("table"), f.num("members")
	if f.err == nil && n < 0 {
		f.bad("members", "is negative")
	}
	if f.err != nil {
		return f.err
	}
	var list []harepass.Replica
	for i := 0; i < n; i++ {
		text, err := d.inside()
		if err != nil {
			return err
		}
		row, err := d.parse(text)
		if err != nil {
			return err
		}
		if row.name != "row" {
			return fmt.Errorf("line %d: got %q, want row %d of %d (members)", d.line, row.name, i+1, n)
		}
		state, ok := states[row.str("state")]
		if !ok && row.err == nil {
			row.bad("state", "is unknown")
		}
		rep := harepass.Replica{ID: row.str("leaf"), State: state, Zone: row.get("dc")}
		rep.Cell = row.optNum("position", 0)
		rep.Since = row.optUS("online_since_us")
		if row.err != nil {
			return row.err
		}
		list = append(list, rep)
	}
	d.sheets[table] = list
	return nil
}

var scopes = map[string]harepass.ListScope{
	"changes": harepass.ListChanges, "all": harepass.ListFull,
	"remembered": harepass.ListRemembered, "refused": harepass.ListRefused}

var outcomes = []harepass.Outcome{harepass.Errored, harepass.Served, harepass.Full,
	harepass.TimedOut, harepass.ConnectFailed, harepass.Reset, harepass.Cancelled,
	harepass.Moot}

const (
	optionRetry = 2 // bit of ask options: a client's retry
)

// message decodes one event line; known is false for names that are not of this page.
func (d *Decoder) message(f *fields) (m Message, known bool) {
	m.Line = d.line
	switch f.name {
	case "provision":
		m.Start = &Start{Seed: f.u64("random_seed"), Settings: settings(f)}
	case "stop":
		m.Stop = true
	case "backends_changed":
		scope, ok := scopes[f.str("scope")]
		if !ok && f.err == nil {
			f.bad("scope", "is unknown")
		}
		ev := harepass.ListReceived{Scope: scope}
		if scope != harepass.ListRefused {
			table := f.num("table")
			list, ok := d.sheets[table]
			if !ok && f.err == nil {
				f.bad("table", "names no sheet")
			}
			ev.Replicas = list
		}
		m.Event = ev
	case "ask":
		shard := f.num("segment_no")
		if shard < 0 {
			m.Event = harepass.QueryArrived{ID: f.str("tid"), Number: f.i64("group_no"),
				Class: f.str("band"), Tenant: f.get("client_group"),
				ValidUntil: f.us("valid_until_us"), Parts: int(f.float("heft")),
				IsRetry: f.optNum("options", 0)&optionRetry != 0}
		} else {
			m.Event = harepass.PartArrived{ID: f.str("tid"), Number: f.i64("group_no"),
				Shard: shard, Weight: f.float("heft")}
		}
	case "ended":
		m.Event = harepass.AttemptEnded{Part: f.str("tid"), Attempt: f.num("hop"),
			Replica: f.str("leaf"), Outcome: f.outcome(), Took: f.us("time_taken_us")}
	case "gone":
		m.Event = harepass.QueryGone{ID: f.str("tid")}
	case "deadline_hit":
		m.Event = harepass.Woken{}
	default:
		return m, false
	}
	m.Root = f.str("root_id")
	return m, true
}

// fields is one parsed line; the first failing access sets err.
type fields struct {
	name string
	line int
	vals map[string]string
	err  error
}

func (d *Decoder) parse(text string) (*fields, error) {
	words := strings.Split(text, " ")
	f := &fields{name: words[0], line: d.line, vals: make(map[string]string, len(words)-1)}
	if f.name == "" || strings.Contains(f.name, "=") {
		return nil, fmt.Errorf("line %d: no message name", d.line)
	}
	for _, w := range words[1:] {
		k, v, ok := strings.Cut(w, "=")
		if !ok || k == "" {
			return nil, fmt.Errorf("line %d: field %q of %s is not name=value", d.line, w, f.name)
		}
		f.vals[k] = v
	}
	return f, nil
}

func (f *fields) bad(key, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("line %d: %s: field %s %s", f.line, f.name, key, why)
	}
}

func (f *fields) get(key string) string { return f.vals[key] }

func (f *fields) str(key string) string {
	v := f.vals[key]
	if v == "" {
		f.bad(key, "is missing")
	}
	return v
}

func (f *fields) i64(key string) int64 {
	v := f.str(key)
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		f.bad(key, fmt.Sprintf("is no whole number: %q", v))
	}
	return n
}

func (f *fields) num(key string) int { return int(f.i64(key)) }

func (f *fields) u64(key string) uint64 {
	v := f.str(key)
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		f.bad(key, fmt.Sprintf("is no whole number: %q", v))
	}
	return n
}

func (f *fields) optNum(key string, def int) int {
	if f.vals[key] == "" {
		return def
	}
	return f.num(key)
}

func (f *fields) us(key string) time.Duration {
	return time.Duration(f.i64(key)) * time.Microsecond
}

func (f *fields) optUS(key string) time.Duration {
	if f.vals[key] == "" {
		return 0
	}
	return f.us(key)
}

func (f *fields) float(key string) float64 {
	v := f.str(key)
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.bad(key, fmt.Sprintf("is no number: %q", v))
	}
	return x
}

func (f *fields) outcome() harepass.Outcome {
	v := f.num("verdict")
	if f.err == nil && (v < 0 || v >= len(outcomes)) {
		f.bad("verdict", "is unknown")
	}
	if f.err != nil {
		return harepass.Errored
	}
	return outcomes[v]
}
