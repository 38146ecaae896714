package versionlog

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// MaxEnvelopeBytes bounds what an answer holds besides its entries and the commas between them.
const MaxEnvelopeBytes = 256

// maxVersionKeyBytes bounds what withVersion adds to an object.
const maxVersionKeyBytes = 32

// statusRemoved is the status of a tombstone on the wire.
const statusRemoved = "terminated"

// ErrUnreadable is wrapped by the errors of ParseSlice.
var ErrUnreadable = errors.New("versionlog: unreadable answer")

// entryHead is the part of an entry that the log reads.
type entryHead struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Status  string `json:"status"`
}

// answer is a slice as it stands on the wire.
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
		s.Version.Epoch, s.Version.Index, s.Head, s.Snapshot, s.More())
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

// ParseSlice reads an answer of discovery or of a relay. The slice shares no memory with data. Only the form is
// checked: answers of discovery have no epoch and need not pass Slice.Check. The error wraps ErrUnreadable.
func ParseSlice(data []byte) (Slice, error) {
	var a answer
	if err := json.Unmarshal(data, &a); err != nil {
		return Slice{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	slice := Slice{Version: Version{a.Epoch, a.Index}, Head: a.Head, Snapshot: a.Snapshot, Base: a.Base}
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
	var head entryHead
	if err := json.Unmarshal(body, &head); err != nil {
		return Entry{}, fmt.Errorf("%w: entry: %w", ErrUnreadable, err)
	}
	if head.Name == "" {
		return Entry{}, fmt.Errorf("%w: an entry without a name", ErrUnreadable)
	}
	return Entry{Name: head.Name, Index: head.Version, Removed: head.Status == statusRemoved, Body: body}, nil
}

// isObject reports whether data is one JSON object and nothing else.
func isObject(data []byte) bool {
	return len(data) > 0 && data[0] == '{' && jsontext.Value(data).IsValid()
}

// withVersion returns a JSON object with an index as the value of its first key, "version".
func withVersion(object []byte, index int64) []byte {
	body := make([]byte, 0, len(object)+maxVersionKeyBytes)
	body = append(body, `{"version":`...)
	body = strconv.AppendInt(body, index, 10)
	rest := bytes.TrimLeft(object[1:], " \t\r\n")
	if rest[0] != '}' {
		body = append(body, ',')
	}
	return append(body, rest...)
}

// isBodyOf reports whether body is what withVersion makes of an object.
func isBodyOf(body, object []byte, index int64) bool {
	return bytes.Equal(body, withVersion(object, index))
}

// tombstone returns the object of a removed name.
func tombstone(name string) []byte {
	quoted, _ := json.Marshal(name) // a string can always be written
	return fmt.Appendf(nil, `{"name":%s,"status":%q}`, quoted, statusRemoved)
}
