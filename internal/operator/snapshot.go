package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// Snapshot is what one process of a coordinator leaves to the others. Times are since the Unix epoch.
type Snapshot struct {
	Name        string               `json:"name"` // of the coordinator
	At          time.Duration        `json:"at"`   // when the list was had last
	Maintenance maintenance.Register `json:"book"`
	Discovery   string               `json:"discovery,omitempty"` // the address that the list came from
	List        json.RawMessage      `json:"list,omitempty"`      // in discovery's form
	Checkpoint  *scatter.Checkpoint  `json:"learned,omitempty"`   // of nodes; its time is its own
}

const (
	magic       = "harepass-state"
	format      = 2       // of the snapshot; others are refused, for half of a meaning is worse than none
	longestHead = 64      // bytes
	longestFile = 1 << 20 // bytes of a snapshot; files count as memory
)

// ErrFormat is returned for files of another version of the program.
var ErrFormat = errors.New("operator: state of another version")

// Encode writes a snapshot with what it takes to know that it is whole.
func Encode(s Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	data := fmt.Appendf(nil, "%s %d %d %08x\n", magic, format, len(body), crc32.ChecksumIEEE(body))
	if data = append(data, body...); len(data) > longestFile {
		return nil, fmt.Errorf("operator: state of %d bytes, at most %d are kept", len(data), longestFile)
	}
	return data, nil
}

// Decode reads a snapshot: whole or not at all.
func Decode(data []byte) (s Snapshot, err error) {
	head, body, _ := bytes.Cut(data[:min(len(data), longestFile)], []byte("\n"))
	var name string
	var version, length int
	var sum uint32
	if len(head) > longestHead {
		return s, errors.New("operator: no state: its first line is too long")
	}
	if n, _ := fmt.Sscanf(string(head), "%s %d", &name, &version); n < 2 || name != magic {
		return s, errors.New("operator: no state: it does not begin like one")
	}
	if version != format {
		return s, fmt.Errorf("%w: %d, this one knows %d", ErrFormat, version, format)
	}
	if _, err := fmt.Sscanf(string(head), "%s %d %d %x", &name, &version, &length, &sum); err != nil {
		return s, fmt.Errorf("operator: torn state: first line: %w", err)
	}
	if len(body) != length || crc32.ChecksumIEEE(body) != sum {
		return s, fmt.Errorf("operator: torn state: %d of %d bytes, or others than were written", len(body), length)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil || dec.More() {
		return Snapshot{}, fmt.Errorf("operator: state: %w", err)
	}
	return s, nil
}
