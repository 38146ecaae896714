package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"harepass/internal/decide/versionlog"
	"harepass/internal/inputfile"
	"harepass/internal/platform"
)

// Errors for invalid endpoint lists, which an authority does not publish.
var (
	// ErrEmptyList is the error for a complete endpoint list without entries.
	ErrEmptyList = errors.New("relay: the endpoint list is empty, list at least one endpoint")
	// ErrDuplicateEndpoint is wrapped by the error for a complete list with two entries of the same name.
	ErrDuplicateEndpoint = errors.New("relay: the endpoint is listed twice")
	// ErrTerminatedEndpoint is wrapped by the error for a complete list with an entry that is marked as removed.
	ErrTerminatedEndpoint = errors.New("relay: the endpoint is terminated, omit it from a complete list")
	// ErrVersionedEndpoint is wrapped by the error for an entry that has a version before it is published.
	ErrVersionedEndpoint = errors.New("relay: the endpoint has a version, which only an authority assigns")
	// ErrInvalidGroup is wrapped by the error for an entry with a negative ring position.
	ErrInvalidGroup = errors.New("relay: the endpoint's group is negative")
)

// endpointObject is the part of an endpoint's entry that is checked.
type endpointObject struct {
	platform.Endpoint
	Version *json.RawMessage `json:"version"`
}

// readEndpoints reads and checks the endpoint list's file, if one is configured. The errors contain the file's path and
// wrap those of checkCompleteList.
func (a *Authority) readEndpoints() ([]versionlog.Change, error) {
	if a.EndpointsFile == "" {
		return nil, nil
	}
	data, err := inputfile.Read(a.EndpointsFile)
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

// checkCompleteList checks a list that replaces all entries. The errors are ErrEmptyList, wrap ErrDuplicateEndpoint or
// ErrTerminatedEndpoint, or are those of checkEndpoints.
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

// checkEndpoints checks entries of an endpoint list. The errors name the entry. They wrap versionlog.ErrTooLarge,
// ErrVersionedEndpoint, ErrInvalidGroup, or an error of parsing the entry or its address.
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

// checkSize returns an error if an object is too large for an answer. The error wraps versionlog.ErrTooLarge.
func checkSize(object []byte) error {
	if len(object) > versionlog.MaxObjectBytes {
		return fmt.Errorf("%w: %d bytes, at most %d fit into an answer", versionlog.ErrTooLarge, len(object),
			versionlog.MaxObjectBytes)
	}
	return nil
}
