package config

import (
	"fmt"
	"net"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/distribution"
)

// Upstream configures which sources a coordinator or a relay follows, and the times of its calls to them. It is part of
// DistributionFile and RelayFile.
type Upstream struct {
	Zone             string        `yaml:"zone"` // zone in which this process runs
	Region           string        `yaml:"region"`
	Sources          []RelaySource `yaml:"sources"`   // relays, or the authority
	Heartbeat        time.Duration `yaml:"heartbeat"` // how long a call stays open while nothing changes
	SilenceTolerance time.Duration `yaml:"allowance"` // how long after the heartbeat an answer may still arrive
}

// RelaySource is a relay, or the authority, that a process may follow.
type RelaySource struct {
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
	Region  string `yaml:"region"`
}

// Bounds of both the heartbeat and the silence tolerance.
const (
	minHeartbeat = 50 * time.Millisecond
	maxHeartbeat = 20 * time.Second
)

// defaultUpstream returns the default times of the calls, for keys that a file omits.
func defaultUpstream() Upstream {
	return Upstream{Heartbeat: distribution.DefaultHeartbeat, SilenceTolerance: distribution.DefaultSilenceTolerance}
}

// checkSources rejects a list of sources that is empty, has a duplicate, or has an address that is not of the form
// host:port.
func (u *Upstream) checkSources() error {
	if len(u.Sources) == 0 {
		return ErrNoSources
	}
	seen := map[string]bool{}
	for _, s := range u.Sources {
		if _, _, err := net.SplitHostPort(s.Address); err != nil {
			return fmt.Errorf("source: %w", err)
		}
		if seen[s.Address] {
			return &DuplicateSourceError{s.Address}
		}
		seen[s.Address] = true
	}
	return nil
}

// checkHeartbeat rejects a heartbeat or silence tolerance that is out of bounds.
func (u *Upstream) checkHeartbeat() error {
	allowed := fmt.Sprintf("from %v to %v", minHeartbeat, maxHeartbeat)
	switch {
	case u.Heartbeat < minHeartbeat || u.Heartbeat > maxHeartbeat:
		return &RangeError{"heartbeat", u.Heartbeat, allowed}
	case u.SilenceTolerance < minHeartbeat || u.SilenceTolerance > maxHeartbeat:
		return &RangeError{"allowance", u.SilenceTolerance, allowed}
	}
	return nil
}

// Follower returns c, the configuration of a follower, with the sources, locality and times of the file filled in.
func (u *Upstream) Follower(c distribution.Config) distribution.Config {
	c.Locality, c.Sources = failover.Locality{Zone: u.Zone, Region: u.Region}, nil
	for _, s := range u.Sources {
		locality := failover.Locality{Zone: s.Zone, Region: s.Region}
		c.Sources = append(c.Sources, failover.Source{Address: s.Address, Locality: locality})
	}
	c.Heartbeat, c.SilenceTolerance = u.Heartbeat, u.SilenceTolerance
	return c
}
