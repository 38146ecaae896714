package versionlog

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// statusRemoved is the status of an entry that exists no more.
const statusRemoved = "terminated"

// MaxEnvelopeBytes bounds what an answer holds besides its entries and the commas between them.
const MaxEnvelopeBytes = 256

// entryHead is the part of an entry that the log reads.
type entryHead struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Status  string `json:"status"`
}

// answer is a slice as it goes over the wire.
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

// ParseSlice reads an answer; nothing of data is kept. Only the form is checked here: Check tells whether the slice can be
// one of a log, which an answer of plain discovery, without epoch and versions, cannot.
func ParseSlice(data []byte) (Slice, error) {
	var a answer
	if err := json.Unmarshal(data, &a); err != nil {
		return Slice{}, fmt.Errorf("versionlog: unreadable answer: %w", err)
	}
	slice := Slice{Version: Version{a.Epoch, a.Index}, Head: a.Head, Snapshot: a.Snapshot, Base: a.Base}
	if a.Epoch != 0 && a.More != slice.More() {
		return Slice{}, fmt.Errorf("versionlog: more is %t at index %d of %d", a.More, a.Index, a.Head)
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
		return Entry{}, fmt.Errorf("versionlog: unreadable entry: %w", err)
	}
	if head.Name == "" {
		return Entry{}, errors.New("versionlog: an entry without a name")
	}
	return Entry{Name: head.Name, Index: head.Version, Removed: head.Status == statusRemoved, Body: body}, nil
}

// isObject tells whether data is a JSON object and nothing else.
func isObject(data []byte) bool {
	return len(data) > 0 && data[0] == '{' && jsontext.Value(data).IsValid()
}

// versioned is the JSON object with its version as the first key.
func versioned(object []byte, index int64) []byte {
	body := make([]byte, 0, len(object)+len(`"version":,`)+20)
	body = append(body, `{"version":`...)
	body = strconv.AppendInt(body, index, 10)
	rest := bytes.TrimLeft(object[1:], " \t\r\n")
	if rest[0] != '}' {
		body = append(body, ',')
	}
	return append(body, rest...)
}

// unversioned tells whether body is what versioned makes of the object.
func unversioned(body, object []byte, index int64) bool {
	return bytes.Equal(body, versioned(object, index))
}

// tombstone is the object of a removed entry.
func tombstone(name string) []byte {
	quoted, _ := json.Marshal(name) // a string can always be written
	return fmt.Appendf(nil, `{"name":%s,"status":%q}`, quoted, statusRemoved)
}
