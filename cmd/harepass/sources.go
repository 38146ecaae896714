package main

import (
	"errors"
	"fmt"
	"net"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/distribution"
)

// This file is what the files of coordinators and relays say of the relays that are followed.

const (
	leastHeartbeat = 50 * time.Millisecond
	mostHeartbeat  = 20 * time.Second
)

// relaySource is a relay that may be followed.
type relaySource struct {
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
	Region  string `yaml:"region"`
}

// checkRelaySources finds what is wrong with a list of sources.
func checkRelaySources(list []relaySource) error {
	if len(list) == 0 {
		return errors.New("no sources")
	}
	seen := map[string]bool{}
	for _, s := range list {
		if _, _, err := net.SplitHostPort(s.Address); err != nil {
			return fmt.Errorf("source: %w", err)
		}
		if seen[s.Address] {
			return fmt.Errorf("source %s stands twice", s.Address)
		}
		seen[s.Address] = true
	}
	return nil
}

// checkHeartbeat finds what is wrong with the times of calls.
func checkHeartbeat(heartbeat, allowance time.Duration) error {
	switch {
	case heartbeat < leastHeartbeat || heartbeat > mostHeartbeat:
		return fmt.Errorf("heartbeat %v has to be from %v to %v", heartbeat, leastHeartbeat, mostHeartbeat)
	case allowance < leastHeartbeat || allowance > mostHeartbeat:
		return fmt.Errorf("allowance %v has to be from %v to %v", allowance, leastHeartbeat, mostHeartbeat)
	}
	return nil
}

// withSources is a follower's configuration with the sources of a file, for a reader at a place.
func withSources(c distribution.Config, list []relaySource, own failover.Locality) distribution.Config {
	c.Locality, c.Sources = own, nil
	for _, s := range list {
		c.Sources = append(c.Sources, failover.Source{Address: s.Address, Locality: failover.Locality{Zone: s.Zone, Region: s.Region}})
	}
	return c
}
