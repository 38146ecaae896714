package distribution

import (
	"errors"
	"fmt"
	"time"

	"harepass/internal/decide/versionlog"
)

// ErrInvalid is returned for answers that cannot be read.
var ErrInvalid = errors.New("distribution: invalid answer")

// longestName is the most bytes of an entry's name.
const longestName = 256

// decode reads an answer's body. Services without epochs number no entries: theirs get the answer's index.
func decode(body []byte) (versionlog.Slice, error) {
	slice, err := versionlog.ParseSlice(body)
	if err != nil {
		return slice, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if slice.Version.Epoch == 0 {
		slice.Head, slice.Base = slice.Version.Index, 0
		for i := range slice.Entries {
			slice.Entries[i].Index = slice.Version.Index
		}
	}
	for _, e := range slice.Entries {
		if e.Name == "" || len(e.Name) > longestName {
			return slice, fmt.Errorf("%w: an entry's name has %d bytes", ErrInvalid, len(e.Name))
		}
	}
	return slice, nil
}

// target is the call for what is newer than a reader has.
func target(r Resource, c versionlog.Cursor, known bool, hold time.Duration) string {
	if !known {
		return string(r)
	}
	b := append([]byte(r), '?')
	if c.Epoch > 0 {
		b = fmt.Appendf(b, "epoch=%d&", c.Epoch)
	}
	b = fmt.Appendf(b, "from=%d&hold_ms=%d", c.Index, hold.Milliseconds())
	if c.Base > 0 {
		b = fmt.Appendf(b, "&base=%d", c.Base)
	}
	if c.Head > c.Index {
		b = fmt.Appendf(b, "&head=%d", c.Head)
	}
	return string(b)
}
