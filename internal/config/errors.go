package config

import (
	"errors"
	"fmt"
	"strings"
)

// InvalidError reports that the files, variables or settings are not a configuration that a program can run with. Its
// text is that of Err. A program that gets an InvalidError at start exits with the status for bad usage.
type InvalidError struct{ Err error }

// Error implements error.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *InvalidError) Unwrap() error { return e.Err }

// invalid wraps err in an *InvalidError, unless it is nil.
func invalid(err error) error {
	if err == nil {
		return nil
	}
	return &InvalidError{err}
}

// Faults of the whole installation or of one of its files.
var (
	// ErrNothingToServe means that neither front is configured.
	ErrNothingToServe = errors.New("nothing to serve: PROXY_CONFIG is not set and there is no " + DefaultOpenSearchPath)
	// ErrNoPlatform means that a comparison of configurations was requested, but PROXY_CONFIG is not set.
	ErrNoPlatform = errors.New("-against compares with PROXY_CONFIG, which is not set")
	// ErrDistributionWithoutPlatform means that relays are configured, but PROXY_CONFIG is not set.
	ErrDistributionWithoutPlatform = errors.New("distribution needs PROXY_CONFIG")
	// ErrSettingsSourceMissing means that only the OpenSearch front is configured, and its file does not name both a
	// settings file and an inventory.
	ErrSettingsSourceMissing = errors.New("without PROXY_CONFIG, this file has to name settings and an inventory")
	// ErrNoSources means that a file lists no relay to follow.
	ErrNoSources = errors.New("no sources")
	// ErrNoResources means that a distribution file lists relays, but no resource to take from them.
	ErrNoResources = errors.New("no resources; without the file distribution is off")
	// ErrAuthorityWithSources means that an authority is configured to follow relays.
	ErrAuthorityWithSources = errors.New("an authority has no sources")
	// ErrAuthorityEmpty means that an authority has nothing to distribute.
	ErrAuthorityEmpty = errors.New("the authority has neither discovery, nodes nor settings")
	// ErrAuthorityTwoLists means that an authority is configured with two origins of its endpoint list.
	ErrAuthorityTwoLists = errors.New("the authority has its nodes from discovery or from a file, not from both")
	// ErrSettingsNotObject means that the settings are valid JSON, but not an object.
	ErrSettingsNotObject = errors.New("the settings have to be a JSON object")
)

// FileError reports a fault in one file.
type FileError struct {
	Path string // as configured
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the fault in the file.
func (e *FileError) Unwrap() error { return e.Err }

// RangeError reports a value outside of its bounds.
type RangeError struct {
	Key     string // as written in the file
	Value   any
	Allowed string // the bounds, as text for operators
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s %v has to be %s", e.Key, e.Value, e.Allowed)
}

// AddressError reports an address that is missing (Err is nil) or is not of the form host:port.
type AddressError struct {
	Name string // which address: "listen", "discovery" or "operator"
	Err  error
}

// Error implements error.
func (e *AddressError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("no %s address", e.Name)
	}
	return fmt.Sprintf("%s address: %v", e.Name, e.Err)
}

// Unwrap returns why the address cannot be parsed, or nil if it is missing.
func (e *AddressError) Unwrap() error { return e.Err }

// SeedError reports a seed that is not a hexadecimal number of at most 64 bits.
type SeedError struct{ Seed string }

// Error implements error.
func (e *SeedError) Error() string { return fmt.Sprintf("seed %q is not a hexadecimal number", e.Seed) }

// LimitsError reports limits that are too low for a coordinator.
type LimitsError struct{ Limits Limits }

// Error implements error. Operators and scripts read the text, so it keeps its names when fields are renamed.
func (e *LimitsError) Error() string {
	l := e.Limits
	return fmt.Sprintf("limits {Cores:%v MemoryMB:%d Sockets:%d} are too low", l.Cores, l.MemoryMB, l.Descriptors)
}

// DescriptorValueError reports a value of PROXY_FD that is not a number or is the number of a standard stream. Whether
// the descriptor is open and refers to a listener is only checked when the listener is opened.
type DescriptorValueError struct{ Value string }

// Error implements error.
func (e *DescriptorValueError) Error() string {
	return fmt.Sprintf("PROXY_FD %q is no descriptor that is handed down", e.Value)
}

// DuplicateSourceError reports a relay that is listed twice.
type DuplicateSourceError struct{ Address string }

// Error implements error.
func (e *DuplicateSourceError) Error() string {
	return fmt.Sprintf("source %s stands twice", e.Address)
}

// UnknownResourceError reports a resource that relays do not distribute.
type UnknownResourceError struct{ Resource string }

// Error implements error.
func (e *UnknownResourceError) Error() string {
	return fmt.Sprintf("resource %q is neither %s nor %s", e.Resource, ResourceEndpoints, ResourceSettings)
}

// MissingKeyError reports a top-level key that the configuration in force has and the next one lacks.
type MissingKeyError struct{ Key string }

// Error implements error.
func (e *MissingKeyError) Error() string {
	return fmt.Sprintf("the file lacks %s; the old settings stay", e.Key)
}

// MissingSettingsError reports settings that are in force and that the next configuration lacks.
type MissingSettingsError struct{ Paths []string }

// Error implements error.
func (e *MissingSettingsError) Error() string {
	return fmt.Sprintf("the file's settings lack %s; the old ones stay", strings.Join(e.Paths, ", "))
}

// SettingsEntryError reports an entry of the settings resource that holds no settings.
type SettingsEntryError struct{ Name string }

// Error implements error.
func (e *SettingsEntryError) Error() string { return fmt.Sprintf("entry %.40q lacks settings", e.Name) }
