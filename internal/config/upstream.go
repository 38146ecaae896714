package config

import (
	"fmt"
	"net"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/distribution"
)

// Upstream is what the files of coordinators and relays say of the relays that are followed.
type Upstream struct {
	Zone             string        `yaml:"zone"` // where this process runs
	Region           string        `yaml:"region"`
	Sources          []RelaySource `yaml:"sources"`   // relays, or the authority
	Heartbeat        time.Duration `yaml:"heartbeat"` // how long a call stays open where nothing has changed
	SilenceTolerance time.Duration `yaml:"allowance"` // how much later than the heartbeat an answer may come
}

// RelaySource is a relay that may be followed.
type RelaySource struct {
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
	Region  string `yaml:"region"`
}

// Bounds of the heartbeat, and of the silence tolerance beyond it.
const (
	minHeartbeat = 50 * time.Millisecond
	maxHeartbeat = 20 * time.Second
)

// defaultUpstream holds where the file says nothing of the calls' times.
func defaultUpstream() Upstream {
	return Upstream{Heartbeat: distribution.DefaultHeartbeat, SilenceTolerance: distribution.DefaultSilenceTolerance}
}

// checkSources refuses a list of sources that is empty, has one twice, or one that is no host and port.
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

// checkHeartbeat refuses times of calls that are out of their bounds.
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

// Follower returns the configuration of a follower, c, with the sources, the locality and the times of the file.
func (u *Upstream) Follower(c distribution.Config) distribution.Config {
	c.Locality, c.Sources = failover.Locality{Zone: u.Zone, Region: u.Region}, nil
	for _, s := range u.Sources {
		locality := failover.Locality{Zone: s.Zone, Region: s.Region}
		c.Sources = append(c.Sources, failover.Source{Address: s.Address, Locality: locality})
	}
	c.Heartbeat, c.SilenceTolerance = u.Heartbeat, u.SilenceTolerance
	return c
}
