package listexchange

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"harepass/internal/platform"
)

// recordVersion is the version of a record's stored form. Records of other versions are ignored.
const recordVersion = 1

// errNotUsable is returned for a record of another version, another coordinator or another boot of the machine.
var errNotUsable = errors.New("listexchange: record not usable")

// storedRecord is the stored form of a record. Its instants are readings of the shared clock.
type storedRecord struct {
	Version   int                 `json:"version"`
	Name      string              `json:"name"` // of the coordinator
	Boot      string              `json:"boot"` // see SharedClock
	WrittenAt time.Duration       `json:"written_at"`
	Record    platform.ListRecord `json:"record"`
}

// decode decodes a stored record of the same coordinator and boot.
func (x *Exchange) decode(data []byte) (s storedRecord, err error) {
	if err := json.Unmarshal(data, &s); err != nil {
		return s, err
	}
	switch {
	case s.Version != recordVersion:
		return s, fmt.Errorf("%w: version %d", errNotUsable, s.Version)
	case s.Name != x.Name:
		return s, fmt.Errorf("%w: it is of the coordinator %q", errNotUsable, s.Name)
	case s.Boot != x.Shared.Boot:
		return s, fmt.Errorf("%w: it is from before the machine's last start", errNotUsable)
	case s.Record.Lease == nil:
		return s, fmt.Errorf("%w: it has no lease", errNotUsable)
	}
	return s, nil
}
