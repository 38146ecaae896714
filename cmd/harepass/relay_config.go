package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"harepass/internal/distribution"
)

// relayFile is what an installation says of a relay, or of the authority.
type relayFile struct {
	Listen    string         `yaml:"listen"`
	Authority *authorityFile `yaml:"authority"` // nil for a relay
	Zone      string         `yaml:"zone"`      // where this relay runs
	Region    string         `yaml:"region"`
	Sources   []relaySource  `yaml:"sources"`   // relays, or the authority, upstream
	Heartbeat time.Duration  `yaml:"heartbeat"` // how long a call upstream is held where there is no news
	Allowance time.Duration  `yaml:"allowance"` // how much later its answer may come

	SnapshotBytes int           `yaml:"snapshot_bytes_per_second"` // for whole lists, to all readers together
	Removals      int           `yaml:"removals"`                  // remembered in each log
	Readers       int           `yaml:"readers"`                   // with a call open at once
	MemoryMB      int           `yaml:"memory_mb"`
	Cores         int           `yaml:"cores"`     // 0 for all
	LogEvery      time.Duration `yaml:"log_every"` // between two lines on counters
}

// authorityFile says where the authority has its node list and the settings from.
type authorityFile struct {
	Discovery string `yaml:"discovery"`
	Nodes     string `yaml:"nodes"`
	Settings  string `yaml:"settings"`
}

// usualRelay is what holds where the file says nothing. The budget lets 150 readers have 0.94 MB each in 8 s.
var usualRelay = relayFile{Listen: "127.0.0.1:9700", Heartbeat: distribution.DefaultHeartbeat, Allowance: distribution.DefaultSilenceTolerance,
	SnapshotBytes: 18_000_000, Removals: 10_000, Readers: 400, MemoryMB: 128, LogEvery: 10 * time.Second}

const (
	leastSnapshotBytes = 64 << 10
	mostReaders        = 20_000
	mostRemovals       = 1_000_000
	leastRelayMB       = 16
	leastLogEvery      = 100 * time.Millisecond
)

// loadRelay reads the file.
func loadRelay(path string) (*relayFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := usualRelay
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&f); err != nil && err != io.EOF {
		return nil, fmt.Errorf("%s: %s", path, strings.Join(strings.Fields(err.Error()), " "))
	}
	if err := errors.Join(f.checkSources(), f.checkLimits()); err != nil {
		return nil, fmt.Errorf("%s: %s", path, strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return &f, nil
}

// checkSources finds what is wrong with the addresses of a relay's file.
func (f *relayFile) checkSources() error {
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if f.Authority == nil {
		return checkRelaySources(f.Sources)
	}
	a := f.Authority
	switch {
	case len(f.Sources) > 0:
		return errors.New("an authority has no sources")
	case a.Discovery == "" && a.Nodes == "" && a.Settings == "":
		return errors.New("the authority has neither discovery, nodes nor settings")
	case a.Discovery != "" && a.Nodes != "":
		return errors.New("the authority has its nodes from discovery or from a file, not from both")
	}
	if a.Discovery != "" {
		if _, _, err := net.SplitHostPort(a.Discovery); err != nil {
			return fmt.Errorf("discovery: %w", err)
		}
	}
	return nil
}

// checkLimits finds what is wrong with the bounds of a relay's file.
func (f *relayFile) checkLimits() error {
	for _, bound := range []struct {
		name        string
		value       int
		least, most int
	}{
		{"snapshot_bytes_per_second", f.SnapshotBytes, leastSnapshotBytes, 1 << 40},
		{"removals", f.Removals, 0, mostRemovals},
		{"readers", f.Readers, 1, mostReaders},
		{"memory_mb", f.MemoryMB, leastRelayMB, 1 << 20},
		{"cores", f.Cores, 0, 1 << 10},
	} {
		if bound.value < bound.least || bound.value > bound.most {
			return fmt.Errorf("%s %d has to be from %d to %d", bound.name, bound.value, bound.least, bound.most)
		}
	}
	if f.LogEvery < leastLogEvery {
		return fmt.Errorf("log_every %v has to be %v at least", f.LogEvery, leastLogEvery)
	}
	return checkHeartbeat(f.Heartbeat, f.Allowance)
}
