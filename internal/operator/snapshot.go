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

// Snapshot is what one process of a coordinator leaves to the others. Times are since the Unix epoch. Its JSON form is
// stored, and read by other versions of the program.
type Snapshot struct {
	Name        string               `json:"name"`                // of the coordinator
	At          time.Duration        `json:"at"`                  // when the endpoint list was last current
	Maintenance maintenance.Register `json:"book"`                // the operators' calls
	Discovery   string               `json:"discovery,omitempty"` // address that the endpoint list came from
	List        json.RawMessage      `json:"list,omitempty"`      // endpoint list, in discovery's form
	Checkpoint  *scatter.Checkpoint  `json:"learned,omitempty"`   // what was learned of replicas; nil for nothing
}

const (
	// magic begins a snapshot.
	magic = "harepass-state"
	// formatVersion is the version of a snapshot's form. Others are refused: half of a meaning is worse than none.
	formatVersion = 2
	// maxHeadBytes bounds a snapshot's first line.
	maxHeadBytes = 64
	// maxSnapshotBytes bounds a snapshot: on the platform files count as memory.
	maxSnapshotBytes = 1 << 20
)

var (
	// ErrNotSnapshot is returned for bytes that do not begin like a snapshot.
	ErrNotSnapshot = errors.New("operator: not a snapshot")
	// ErrVersion is returned for a snapshot in the form of another version of the program.
	ErrVersion = errors.New("operator: snapshot of another version")
	// ErrTorn is returned for a snapshot that is not complete, or was altered.
	ErrTorn = errors.New("operator: torn snapshot")
	// ErrTooLarge is returned for a snapshot over the limit of 1 MiB.
	ErrTooLarge = errors.New("operator: snapshot too large")
)

// Encode returns a snapshot's stored form: a first line with version, length and checksum, then JSON. It returns
// ErrTooLarge where that is over the limit.
func Encode(s Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	data := fmt.Appendf(nil, "%s %d %d %08x\n", magic, formatVersion, len(body), crc32.ChecksumIEEE(body))
	data = append(data, body...)
	if len(data) > maxSnapshotBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are written", ErrTooLarge, len(data), maxSnapshotBytes)
	}
	return data, nil
}

// Decode reads a snapshot completely or not at all. It returns ErrNotSnapshot, ErrVersion, ErrTorn, or an error of
// the JSON inside.
func Decode(data []byte) (Snapshot, error) {
	head, body, _ := bytes.Cut(data[:min(len(data), maxSnapshotBytes)], []byte("\n"))
	if err := checkHead(head, body); err != nil {
		return Snapshot{}, err
	}
	var s Snapshot
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Snapshot{}, fmt.Errorf("operator: snapshot's JSON: %w", err)
	}
	if dec.More() {
		return Snapshot{}, fmt.Errorf("%w: more than one JSON value", ErrTorn)
	}
	return s, nil
}

// checkHead checks a snapshot's body by its first line. A process that is killed while it writes, or a disk that is
// full, leaves a part of a snapshot; read as a complete one it would bring back replicas that are out. Its length or
// its checksum then does not match.
func checkHead(head, body []byte) error {
	var name string
	var version, length int
	var sum uint32
	if len(head) > maxHeadBytes {
		return fmt.Errorf("%w: its first line is longer than %d bytes", ErrNotSnapshot, maxHeadBytes)
	}
	if n, _ := fmt.Sscanf(string(head), "%s %d", &name, &version); n < 2 || name != magic {
		return fmt.Errorf("%w: it does not begin with %s and a version", ErrNotSnapshot, magic)
	}
	if version != formatVersion {
		return fmt.Errorf("%w: %d, this one reads %d", ErrVersion, version, formatVersion)
	}
	if _, err := fmt.Sscanf(string(head), "%s %d %d %x", &name, &version, &length, &sum); err != nil {
		return fmt.Errorf("%w: first line: %w", ErrTorn, err)
	}
	if len(body) != length {
		return fmt.Errorf("%w: %d of %d bytes", ErrTorn, len(body), length)
	}
	if crc32.ChecksumIEEE(body) != sum {
		return fmt.Errorf("%w: its checksum does not match", ErrTorn)
	}
	return nil
}
