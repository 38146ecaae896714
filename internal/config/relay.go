package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// RelayFile is what an installation says of a relay, or of the authority.
type RelayFile struct {
	Listen    string         `yaml:"listen"`    // address for coordinators and other relays
	Authority *AuthorityFile `yaml:"authority"` // nil for a relay
	Upstream  `yaml:",inline"`

	// SnapshotBytes is the budget for complete lists, in bytes a second for all readers together.
	SnapshotBytes int           `yaml:"snapshot_bytes_per_second"`
	Removals      int           `yaml:"removals"`  // removed entries that each version log remembers
	Readers       int           `yaml:"readers"`   // readers that may have a call open at once
	MemoryMB      int           `yaml:"memory_mb"` // memory of the process, in MiB
	Cores         int           `yaml:"cores"`     // processor cores; 0 for all
	LogEvery      time.Duration `yaml:"log_every"` // interval of the log lines with counters
}

// AuthorityFile says where the authority has the endpoint list and the settings from. A field that is empty gives
// none.
type AuthorityFile struct {
	Discovery     string `yaml:"discovery"` // address of the service that gives out the endpoint list
	EndpointsPath string `yaml:"nodes"`     // path of a file with the endpoint list, in the place of discovery
	SettingsPath  string `yaml:"settings"`  // path of a file with the settings
}

// defaultRelay is what holds where the file says nothing. Its budget gives 150 readers 0.94 MB each within 8 s.
var defaultRelay = RelayFile{Listen: "127.0.0.1:9700", Upstream: defaultUpstream(), SnapshotBytes: 18_000_000,
	Removals: 10_000, Readers: 400, MemoryMB: 128, LogEvery: 10 * time.Second}

// Bounds of a relay's numbers, in the units of their fields.
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

// LoadRelay reads a relay's file. The error is an *InvalidError.
func LoadRelay(path string) (*RelayFile, error) {
	f, err := loadRelay(path)
	if err != nil {
		return nil, invalid(err)
	}
	return f, nil
}

// loadRelay is LoadRelay with an error that is not marked yet.
func loadRelay(path string) (*RelayFile, error) {
	data, err := os.ReadFile(path)
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

// checkAddresses finds what is wrong with the addresses and sources.
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

// check finds what is wrong with the sources of the endpoint list and the settings.
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

// checkLimits finds the first number that is out of its bounds.
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
