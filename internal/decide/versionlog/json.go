package versionlog

import (
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// MaxEnvelopeBytes bounds the bytes of an answer besides its entries and the commas between them.
const MaxEnvelopeBytes = 256

// ErrUnreadable is wrapped by the errors of ParseSlice.
var ErrUnreadable = errors.New("versionlog: unreadable answer")

// entryFields holds the keys of an entry's object that the log reads.
type entryFields struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Status  string `json:"status"`
}

// answer is the form of a slice on the wire, where the newest index has the name "head".
type answer struct {
	Epoch     int64            `json:"epoch"`
	Index     int64            `json:"index"`
	Head      int64            `json:"head"`
	Snapshot  bool             `json:"snapshot"`
	More      bool             `json:"more"`
	Base      int64            `json:"base"`
	Endpoints []jsontext.Value `json:"endpoints"`
}

// AppendJSON appends the slice in the form of discovery's answers.
func (s Slice) AppendJSON(buffer []byte) []byte {
	buffer = fmt.Appendf(buffer, `{"epoch":%d,"index":%d,"head":%d,"snapshot":%t,"more":%t`,
		s.Version.Epoch, s.Version.Index, s.NewestIndex, s.Snapshot, s.More())
	if s.Base != 0 {
		buffer = fmt.Appendf(buffer, `,"base":%d`, s.Base)
	}
	buffer = append(buffer, `,"endpoints":[`...)
	for i, entry := range s.Entries {
		if i > 0 {
			buffer = append(buffer, ',')
		}
		buffer = append(buffer, entry.Body...)
	}
	return append(buffer, "]}"...)
}

// ParseSlice parses an answer of discovery or of a relay. The slice shares no memory with data. ParseSlice checks only
// the form of the answer: answers of discovery have no epoch and need not pass Slice.Check. The error wraps
// ErrUnreadable.
func ParseSlice(data []byte) (Slice, error) {
	var a answer
	if err := json.Unmarshal(data, &a); err != nil {
		return Slice{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	slice := Slice{Version: Version{a.Epoch, a.Index}, NewestIndex: a.Head, Snapshot: a.Snapshot, Base: a.Base}
	if a.Epoch != 0 && a.More != slice.More() {
		return Slice{}, fmt.Errorf("%w: more is %t at index %d of %d", ErrUnreadable, a.More, a.Index, a.Head)
	}
	slice.Entries = make([]Entry, 0, len(a.Endpoints))
	for _, body := range a.Endpoints {
		entry, err := parseEntry(body)
		if err != nil {
			return Slice{}, err
		}
		slice.Entries = append(slice.Entries, entry)
	}
	return slice, nil
}

func parseEntry(body []byte) (Entry, error) {
	var fields entryFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return Entry{}, fmt.Errorf("%w: entry: %w", ErrUnreadable, err)
	}
	if fields.Name == "" {
		return Entry{}, fmt.Errorf("%w: an entry without a name", ErrUnreadable)
	}
	return Entry{Name: fields.Name, Index: fields.Version, Removed: fields.Status == statusRemoved, Body: body}, nil
}
