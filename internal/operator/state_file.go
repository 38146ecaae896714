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

// StateFile is the state that one process of a coordinator stores for the others. Times are since the Unix epoch. The
// JSON form is stored on disk and read by other versions of the program.
type StateFile struct {
	Name        string               `json:"name"`                // of the coordinator
	ListAt      time.Duration        `json:"at"`                  // instant at which List was set; 0 for no list
	Maintenance maintenance.Register `json:"book"`                // the operators' calls
	Discovery   string               `json:"discovery,omitempty"` // address of the discovery service of List
	List        json.RawMessage      `json:"list,omitempty"`      // endpoint list, in discovery's form
	Checkpoint  *scatter.Checkpoint  `json:"learned,omitempty"`   // what was learned about replicas; nil for nothing
}

const (
	// magic is the first word of a state file.
	magic = "harepass-state"
	// formatVersion is the version of the state file's format. Files of other versions are rejected, because a file
	// that is only half understood is worse than none.
	formatVersion = 2
	// maxHeadBytes is the maximum length of a state file's first line.
	maxHeadBytes = 64
	// maxStateFileBytes is the maximum length of a state file, with its endpoint list, register and checkpoint
	// together. It is limited because files count as memory on the platform.
	maxStateFileBytes = 1 << 20
)

var (
	// ErrNotStateFile is returned for data that does not begin like a state file.
	ErrNotStateFile = errors.New("operator: not a state file")
	// ErrVersion is returned for a state file in the format of another version of the program.
	ErrVersion = errors.New("operator: unsupported state file version")
	// ErrCorrupt is returned for a state file that is incomplete or was altered.
	ErrCorrupt = errors.New("operator: corrupt state file")
	// ErrTooLarge is returned for a state file over the limit of 1 MiB.
	ErrTooLarge = errors.New("operator: state file too large")
)

// Encode returns the stored form of a state file: a first line with the format version and the JSON's length and
// checksum, then the JSON. It returns ErrTooLarge if that exceeds the limit.
func Encode(s StateFile) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	data := fmt.Appendf(nil, "%s %d %d %08x\n", magic, formatVersion, len(body), crc32.ChecksumIEEE(body))
	data = append(data, body...)
	if len(data) > maxStateFileBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are written", ErrTooLarge, len(data), maxStateFileBytes)
	}
	return data, nil
}

// Decode decodes a state file completely or not at all. It ignores data beyond maxStateFileBytes. An error is
// ErrNotStateFile, ErrVersion, ErrCorrupt, or a JSON error.
func Decode(data []byte) (StateFile, error) {
	data = data[:min(len(data), maxStateFileBytes)]
	head, body, _ := bytes.Cut(data, []byte("\n"))
	if err := checkHead(head, body); err != nil {
		return StateFile{}, err
	}
	var s StateFile
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return StateFile{}, fmt.Errorf("operator: invalid JSON in state file: %w", err)
	}
	if dec.More() {
		return StateFile{}, fmt.Errorf("%w: more than one JSON value", ErrCorrupt)
	}
	return s, nil
}

// checkHead checks a state file's first line, and its body against the length and the checksum there. A process that is
// killed while it writes, or a full disk, leaves an incomplete state file. Read as a complete one, it would return
// replicas to service that are out for maintenance.
func checkHead(head, body []byte) error {
	var name string
	var version, length int // length is the body's, in bytes
	var sum uint32
	if len(head) > maxHeadBytes {
		return fmt.Errorf("%w: first line is longer than %d bytes", ErrNotStateFile, maxHeadBytes)
	}
	// Parse the magic word and the version separately first: another version may have a different rest of the line, and
	// must not count as corrupt.
	if n, _ := fmt.Sscanf(string(head), "%s %d", &name, &version); n < 2 || name != magic {
		return fmt.Errorf("%w: first line does not begin with %s and a version", ErrNotStateFile, magic)
	}
	if version != formatVersion {
		return fmt.Errorf("%w: %d, this program reads version %d", ErrVersion, version, formatVersion)
	}
	if _, err := fmt.Sscanf(string(head), "%s %d %d %x", &name, &version, &length, &sum); err != nil {
		return fmt.Errorf("%w: malformed first line: %w", ErrCorrupt, err)
	}
	if len(body) != length {
		return fmt.Errorf("%w: body has %d of %d bytes", ErrCorrupt, len(body), length)
	}
	if crc32.ChecksumIEEE(body) != sum {
		return fmt.Errorf("%w: checksum of the body does not match", ErrCorrupt)
	}
	return nil
}
