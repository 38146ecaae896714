package versionlog

import "fmt"

// Check returns an error if the slice is invalid by itself: because of its version, newest index or base, or because of
// the order, indexes, names or sizes of its entries. The error wraps ErrInvalid.
func (s Slice) Check() error {
	if s.Version.Epoch <= 0 || s.Version.Index <= 0 || s.NewestIndex < s.Version.Index ||
		s.Base < 0 || s.Base > s.NewestIndex {
		return fmt.Errorf("%w: version %+v, head %d, base %d", ErrInvalid, s.Version, s.NewestIndex, s.Base)
	}
	last, names := int64(0), make(map[string]struct{}, len(s.Entries))
	for _, entry := range s.Entries {
		if entry.Index <= last || entry.Index > s.Version.Index {
			return fmt.Errorf("%w: entry %q has index %d after index %d in a slice up to index %d",
				ErrInvalid, entry.Name, entry.Index, last, s.Version.Index)
		}
		if entry.Name == "" || len(entry.Body) == 0 || len(entry.Body) > MaxEntryBytes {
			return fmt.Errorf("%w: no name or bad size: entry %q of %d bytes", ErrInvalid, entry.Name, len(entry.Body))
		}
		if _, repeated := names[entry.Name]; repeated {
			return fmt.Errorf("%w: entry %q is repeated", ErrInvalid, entry.Name)
		}
		last, names[entry.Name] = entry.Index, struct{}{}
	}
	return nil
}
