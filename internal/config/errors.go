package config

import (
	"errors"
	"fmt"
	"strings"
)

// InvalidError reports that files, variables or settings do not describe a program that can run. Its text is that of
// Err. A program that gets one at its start ends with the exit status for bad usage.
type InvalidError struct{ Err error }

// Error implements error.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong.
func (e *InvalidError) Unwrap() error { return e.Err }

// invalid marks err, if it is one.
func invalid(err error) error {
	if err == nil {
		return nil
	}
	return &InvalidError{err}
}

// Faults of the installation as a whole, or of one of its files.
var (
	// ErrNothingToServe means that neither front is configured.
	ErrNothingToServe = errors.New("nothing to serve: PROXY_CONFIG is not set and there is no " + DefaultOpenSearchPath)
	// ErrNoPlatform means that a comparison needs PROXY_CONFIG.
	ErrNoPlatform = errors.New("-against compares with PROXY_CONFIG, which is not set")
	// ErrDistributionWithoutPlatform means that relays are configured where PROXY_CONFIG is not set.
	ErrDistributionWithoutPlatform = errors.New("distribution needs PROXY_CONFIG")
	// ErrSettingsSourceMissing means that the OpenSearch front is alone and its file does not say enough for that.
	ErrSettingsSourceMissing = errors.New("without PROXY_CONFIG it has to name settings and an inventory")
	// ErrNoSources means that no relay is named to follow.
	ErrNoSources = errors.New("no sources")
	// ErrNoResources means that a distribution file takes nothing from the relays that it names.
	ErrNoResources = errors.New("no resources; without the file distribution is off")
	// ErrAuthorityWithSources means that an authority is configured to follow relays.
	ErrAuthorityWithSources = errors.New("an authority has no sources")
	// ErrAuthorityEmpty means that an authority has nothing to give out.
	ErrAuthorityEmpty = errors.New("the authority has neither discovery, nodes nor settings")
	// ErrAuthorityTwoLists means that an authority has two sources of its endpoint list.
	ErrAuthorityTwoLists = errors.New("the authority has its nodes from discovery or from a file, not from both")
	// ErrSettingsNotObject means that settings are JSON, but no object.
	ErrSettingsNotObject = errors.New("the settings are no object")
)

// FileError is a fault of one file.
type FileError struct {
	Path string // as it was given
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the file.
func (e *FileError) Unwrap() error { return e.Err }

// RangeError is a value outside of its bounds.
type RangeError struct {
	Key     string // as the file has it
	Value   any
	Allowed string // the bounds, as text for operators
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s %v has to be %s", e.Key, e.Value, e.Allowed)
}

// AddressError is an address that is missing, where Err is nil, or that is no host and port.
type AddressError struct {
	Name string // of the address: "listen", "discovery" or "operator"
	Err  error
}

// Error implements error.
func (e *AddressError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("no %s address", e.Name)
	}
	return fmt.Sprintf("%s address: %v", e.Name, e.Err)
}

// Unwrap returns why the address cannot be read, or nil.
func (e *AddressError) Unwrap() error { return e.Err }

// SeedError is a seed that is no hexadecimal number of 64 bits.
type SeedError struct{ Seed string }

// Error implements error.
func (e *SeedError) Error() string { return fmt.Sprintf("seed %q is not a hexadecimal number", e.Seed) }

// LimitsError is limits under which no coordinator can run.
type LimitsError struct{ Limits Limits }

// Error implements error. Operators and scripts read the text, so its names do not follow those of the fields.
func (e *LimitsError) Error() string {
	l := e.Limits
	return fmt.Sprintf("limits {Cores:%v MemoryMB:%d Sockets:%d} are too low", l.Cores, l.MemoryMB, l.Descriptors)
}

// DescriptorValueError is a value of PROXY_FD that is no number, or the number of a standard stream. Whether the
// descriptor is open, and a listener, is found out when the listener is opened.
type DescriptorValueError struct{ Value string }

// Error implements error.
func (e *DescriptorValueError) Error() string {
	return fmt.Sprintf("PROXY_FD %q is no descriptor that is handed down", e.Value)
}

// DuplicateSourceError is a relay that is named twice.
type DuplicateSourceError struct{ Address string }

// Error implements error.
func (e *DuplicateSourceError) Error() string {
	return fmt.Sprintf("source %s stands twice", e.Address)
}

// UnknownResourceError is a resource that relays do not have.
type UnknownResourceError struct{ Resource string }

// Error implements error.
func (e *UnknownResourceError) Error() string {
	return fmt.Sprintf("resource %q is neither %s nor %s", e.Resource, ResourceEndpoints, ResourceSettings)
}

// MissingKeyError is a top-level key that the configuration in force has and the next one lacks.
type MissingKeyError struct{ Key string }

// Error implements error.
func (e *MissingKeyError) Error() string {
	return fmt.Sprintf("the file lacks %s; the old settings stay", e.Key)
}

// MissingSettingsError is settings that are in force and that the next configuration lacks.
type MissingSettingsError struct{ Paths []string }

// Error implements error.
func (e *MissingSettingsError) Error() string {
	return fmt.Sprintf("the file's settings lack %s; the old ones stay", strings.Join(e.Paths, ", "))
}

// SettingsEntryError is an entry of the relays' settings that holds none.
type SettingsEntryError struct{ Name string }

// Error implements error.
func (e *SettingsEntryError) Error() string { return fmt.Sprintf("entry %.40q is no settings", e.Name) }
