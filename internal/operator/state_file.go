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

// StateFile is what one process of a coordinator leaves to the others. Times are since the Unix epoch. Its JSON form is
// stored, and read by other versions of the program.
type StateFile struct {
	Name        string               `json:"name"`                // of the coordinator
	ListAt      time.Duration        `json:"at"`                  // instant at which List was entered; 0 for none
	Maintenance maintenance.Register `json:"book"`                // the operators' calls
	Discovery   string               `json:"discovery,omitempty"` // address that the endpoint list came from
	List        json.RawMessage      `json:"list,omitempty"`      // endpoint list, in discovery's form
	Checkpoint  *scatter.Checkpoint  `json:"learned,omitempty"`   // what was learned of replicas; nil for nothing
}

const (
	// magic begins a state file.
	magic = "harepass-state"
	// formatVersion is the version of a state file's form. Others are refused: half of a meaning is worse than none.
	formatVersion = 2
	// maxHeadBytes bounds a state file's first line.
	maxHeadBytes = 64
	// maxStateFileBytes bounds a state file, with its endpoint list, register and checkpoint together, in bytes: on the
	// platform files count as memory.
	maxStateFileBytes = 1 << 20
)

var (
	// ErrNotStateFile is returned for bytes that do not begin like a state file.
	ErrNotStateFile = errors.New("operator: not a state file")
	// ErrVersion is returned for a state file in the form of another version of the program.
	ErrVersion = errors.New("operator: state file of another version")
	// ErrTorn is returned for a state file that is not complete, or was altered.
	ErrTorn = errors.New("operator: torn state file")
	// ErrTooLarge is returned for a state file over the limit of 1 MiB.
	ErrTooLarge = errors.New("operator: state file too large")
)

// Encode returns a state file's stored form: a first line with version, length and checksum, then JSON. It returns
// ErrTooLarge where that is over the limit.
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

// Decode reads a state file completely or not at all; of data over the limit only what is within it counts. It returns
// ErrNotStateFile, ErrVersion, ErrTorn, or an error of the JSON inside.
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
		return StateFile{}, fmt.Errorf("operator: state file's JSON: %w", err)
	}
	if dec.More() {
		return StateFile{}, fmt.Errorf("%w: more than one JSON value", ErrTorn)
	}
	return s, nil
}

// checkHead checks a state file's body by its first line. A process that is killed while it writes, or a disk that is
// full, leaves a part of a state file; read as a complete one it would bring back replicas that are out. Its length or
// its checksum then does not match.
func checkHead(head, body []byte) error {
	var name string
	var version, length int // length is that of the body, in bytes
	var sum uint32
	if len(head) > maxHeadBytes {
		return fmt.Errorf("%w: its first line is longer than %d bytes", ErrNotStateFile, maxHeadBytes)
	}
	// Name and version come first, and alone: another version may go on in another form, and is not torn.
	if n, _ := fmt.Sscanf(string(head), "%s %d", &name, &version); n < 2 || name != magic {
		return fmt.Errorf("%w: it does not begin with %s and a version", ErrNotStateFile, magic)
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
