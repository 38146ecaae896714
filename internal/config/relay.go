package config

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// RelayFile configures a relay or the authority.
type RelayFile struct {
	Listen    string         `yaml:"listen"`    // address for coordinators and other relays
	Authority *AuthorityFile `yaml:"authority"` // nil for a relay
	Upstream  `yaml:",inline"`

	// SnapshotBytes is the snapshot budget: bytes of complete lists per second, for all readers together.
	SnapshotBytes int           `yaml:"snapshot_bytes_per_second"`
	Removals      int           `yaml:"removals"`  // number of removed entries that each version log retains
	Readers       int           `yaml:"readers"`   // maximum number of readers with an open call
	MemoryMB      int           `yaml:"memory_mb"` // memory of the process, in MiB
	Cores         int           `yaml:"cores"`     // processor cores; 0 for all of them
	LogEvery      time.Duration `yaml:"log_every"` // interval between log lines with counters
}

// AuthorityFile configures where the authority gets the endpoint list and the settings from. An empty field disables
// that origin.
type AuthorityFile struct {
	Discovery     string `yaml:"discovery"` // address of the service that serves the endpoint list
	EndpointsPath string `yaml:"nodes"`     // path of a file with the endpoint list, instead of discovery
	SettingsPath  string `yaml:"settings"`  // path of a file with the settings
}

// defaultRelay holds the values of keys that a file omits. Its snapshot budget serves 150 readers 0.94 MB each within
// 8 s.
var defaultRelay = RelayFile{Listen: "127.0.0.1:9700", Upstream: defaultUpstream(), SnapshotBytes: 18_000_000,
	Removals: 10_000, Readers: 400, MemoryMB: 128, LogEvery: 10 * time.Second}

// Bounds of the numeric values of a relay's file, in the units of their fields.
const (
	minSnapshotBytes = 64 << 10
	maxSnapshotBytes = 1 << 40
	maxRemovals      = 1_000_000
	maxReaders       = 20_000
	minRelayMemoryMB = 16
	maxRelayMemoryMB = 1 << 20
	maxRelayCores    = 1 << 10
	minLogEvery      = 100 * time.Millisecond
)

// LoadRelay reads a relay's file once that counts as complete, or until ctx is done. The error is an *InvalidError, or
// the cause of ctx.
func LoadRelay(ctx context.Context, path string) (*RelayFile, error) {
	f, err := loadStable(ctx, func(files *fileSet) (*RelayFile, error) { return loadRelay(files, path) })
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if err != nil {
		return nil, invalid(err)
	}
	return f, nil
}

// loadRelay implements LoadRelay; its error is not yet wrapped in an *InvalidError.
func loadRelay(files *fileSet, path string) (*RelayFile, error) {
	data, err := files.read(path)
	if err != nil {
		return nil, err
	}
	f := defaultRelay
	if err := decodeYAML(path, data, &f); err != nil {
		return nil, err
	}
	if err := errors.Join(f.checkAddresses(), f.checkLimits()); err != nil {
		oneLine := strings.ReplaceAll(err.Error(), "\n", "; ")
		return nil, &FileError{path, &renderedError{oneLine, err}}
	}
	return &f, nil
}

// checkAddresses returns the first fault in the addresses and sources.
func (f *RelayFile) checkAddresses() error {
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if f.Authority == nil {
		return f.checkSources()
	}
	if len(f.Sources) > 0 {
		return ErrAuthorityWithSources
	}
	return f.Authority.check()
}

// check returns the first fault in the origins of the endpoint list and the settings.
func (a *AuthorityFile) check() error {
	switch {
	case a.Discovery == "" && a.EndpointsPath == "" && a.SettingsPath == "":
		return ErrAuthorityEmpty
	case a.Discovery != "" && a.EndpointsPath != "":
		return ErrAuthorityTwoLists
	case a.Discovery == "":
		return nil
	}
	if _, _, err := net.SplitHostPort(a.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// checkLimits returns an error for the first numeric value that is out of bounds.
func (f *RelayFile) checkLimits() error {
	for _, bound := range []struct {
		key      string
		value    int
		min, max int
	}{
		{"snapshot_bytes_per_second", f.SnapshotBytes, minSnapshotBytes, maxSnapshotBytes},
		{"removals", f.Removals, 0, maxRemovals},
		{"readers", f.Readers, 1, maxReaders},
		{"memory_mb", f.MemoryMB, minRelayMemoryMB, maxRelayMemoryMB},
		{"cores", f.Cores, 0, maxRelayCores},
	} {
		if bound.value < bound.min || bound.value > bound.max {
			return &RangeError{bound.key, bound.value, fmt.Sprintf("from %d to %d", bound.min, bound.max)}
		}
	}
	if f.LogEvery < minLogEvery {
		return &RangeError{"log_every", f.LogEvery, fmt.Sprintf("%v at least", minLogEvery)}
	}
	return f.checkHeartbeat()
}
