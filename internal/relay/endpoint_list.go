package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"

	"harepass/internal/decide/versionlog"
	"harepass/internal/platform"
)

// The errors of endpoint lists that an authority does not publish.
var (
	// ErrEmptyList is the error of a complete endpoint list without entries.
	ErrEmptyList = errors.New("relay: the endpoint list is empty")
	// ErrDuplicateEndpoint is wrapped where a complete list has two entries of one name.
	ErrDuplicateEndpoint = errors.New("relay: the endpoint is listed twice")
	// ErrTerminatedEndpoint is wrapped where a complete list has an entry that says that it is removed.
	ErrTerminatedEndpoint = errors.New("relay: a complete list does not hold terminated endpoints")
	// ErrVersionedEndpoint is wrapped where an entry has a version before its publication.
	ErrVersionedEndpoint = errors.New("relay: the endpoint has a version, which only an authority gives")
	// ErrInvalidGroup is wrapped where an entry's ring position is negative.
	ErrInvalidGroup = errors.New("relay: the endpoint's group is negative")
)

// endpointObject is what is checked of an endpoint's entry.
type endpointObject struct {
	platform.Endpoint
	Version *json.RawMessage `json:"version"`
}

// readEndpoints reads the endpoint list's file, if there is one. The errors have the file's path, and wrap those of
// checkCompleteList.
func (a *Authority) readEndpoints() ([]versionlog.Change, error) {
	if a.EndpointsFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(a.EndpointsFile)
	if err != nil {
		return nil, err
	}
	slice, err := versionlog.ParseSlice(data)
	if err == nil {
		err = checkCompleteList(slice.Entries)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", a.EndpointsFile, err)
	}
	var list []versionlog.Change
	for _, entry := range slice.Entries {
		list = append(list, changeOf(entry))
	}
	return list, nil
}

// checkCompleteList reports what is wrong with a list that replaces all entries. The errors wrap ErrEmptyList,
// ErrDuplicateEndpoint, ErrTerminatedEndpoint, or those of checkEndpoints.
func checkCompleteList(entries []versionlog.Entry) error {
	if len(entries) == 0 {
		return ErrEmptyList
	}
	names := make(map[string]struct{}, len(entries))
	for _, entry := range entries {
		if _, duplicate := names[entry.Name]; duplicate {
			return fmt.Errorf("endpoint %.40q: %w", entry.Name, ErrDuplicateEndpoint)
		}
		if names[entry.Name] = struct{}{}; entry.Removed {
			return fmt.Errorf("endpoint %.40q: %w", entry.Name, ErrTerminatedEndpoint)
		}
	}
	return checkEndpoints(entries)
}

// checkEndpoints reports what is wrong with entries of an endpoint list. The errors name the entry, and wrap
// versionlog.ErrTooLarge, ErrVersionedEndpoint, ErrInvalidGroup, or those of reading the entry and its address.
func checkEndpoints(entries []versionlog.Entry) error {
	for _, entry := range entries {
		if err := checkEndpoint(entry); err != nil {
			return fmt.Errorf("endpoint %.40q: %w", entry.Name, err)
		}
	}
	return nil
}

func checkEndpoint(entry versionlog.Entry) error {
	if err := checkSize(entry.Body); err != nil {
		return err
	}
	var object endpointObject
	if err := json.Unmarshal(entry.Body, &object); err != nil {
		return err
	}
	if object.Version != nil {
		return ErrVersionedEndpoint
	}
	if _, err := (platform.List{Endpoints: []platform.Endpoint{object.Endpoint}}).CoreEndpoints(); err != nil {
		return err
	}
	if object.Group < 0 {
		return fmt.Errorf("%w: %d", ErrInvalidGroup, object.Group)
	}
	if _, _, err := net.SplitHostPort(object.Address); err != nil && !entry.Removed {
		return err
	}
	return nil
}

// checkSize reports an object that no answer could hold. The error wraps versionlog.ErrTooLarge.
func checkSize(object []byte) error {
	if len(object) > versionlog.MaxObjectBytes {
		return fmt.Errorf("%w: %d bytes, at most %d fit into an answer", versionlog.ErrTooLarge, len(object),
			versionlog.MaxObjectBytes)
	}
	return nil
}
