package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"

	"harepass"
	"harepass/internal/core"
	"harepass/internal/inventory"
	"harepass/internal/opensearch"
	"harepass/internal/platform"
	"harepass/internal/wire"
)

// config is what the platform tells a coordinator.
type config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limits          `json:"limits"`
	Known     platform.List   `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// defaultLimits hold where no platform tells any.
var defaultLimits = limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

// setup is all that a coordinator is to know before it starts. A front that is off is nil.
type setup struct {
	config     *config
	search     *opensearch.Config
	settings   harepass.Settings
	caps       wire.Limits
	limits     limits
	seed       uint64
	known      []core.Node
	inventory  *inventory.Keeper
	hosts      []core.Node
	searchPath string
}

// defaultSearch is the OpenSearch front's file; that front is off where it is missing.
const defaultSearch = "deploy/opensearch.yaml"

// load reads the platform's configuration, the OpenSearch front's file, or both.
func load(getenv func(string) string, searchPath string, clock core.Clock) (*setup, error) {
	s := &setup{limits: defaultLimits, seed: rand.Uint64(), searchPath: searchPath}
	if path := getenv("PROXY_CONFIG"); path != "" {
		if err := s.loadPlatform(path, getenv); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	_, err := os.Stat(searchPath)
	switch {
	case err == nil:
		err = s.loadSearch(clock)
	case errors.Is(err, os.ErrNotExist) && searchPath == defaultSearch && s.config != nil:
		err = nil
	case errors.Is(err, os.ErrNotExist) && searchPath == defaultSearch:
		err = errors.New("nothing to serve: PROXY_CONFIG is not set and there is no " + defaultSearch)
	}
	return s, err
}

// loadPlatform reads the file that PROXY_CONFIG names; the other variables go before what it says.
func (s *setup) loadPlatform(path string, getenv func(string) string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Unwrap(err) // the path is told already
	}
	c := &config{Limits: defaultLimits}
	if err := json.Unmarshal(data, c); err != nil {
		return err
	}
	for name, field := range map[string]*string{"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_DISCOVERY": &c.Discovery} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if c.Listen == "" {
		return errors.New("no listen address")
	}
	if c.Discovery == "" {
		return errors.New("no discovery address")
	}
	if s.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed %q is not a hexadecimal number", c.Seed)
	}
	if s.settings, s.caps, err = wire.JSONSettings(c.Settings); err != nil {
		return err
	}
	s.config, s.limits = c, c.Limits
	s.known, err = c.Known.Nodes()
	return err
}

// loadSearch reads the OpenSearch front's file and what it points to.
func (s *setup) loadSearch(clock core.Clock) error {
	c, err := opensearch.LoadConfig(s.searchPath)
	if err != nil {
		return err
	}
	if s.config == nil {
		if c.Settings == "" || c.Inventory == "" {
			return fmt.Errorf("%s: without PROXY_CONFIG it has to name settings and an inventory", s.searchPath)
		}
		data, err := os.ReadFile(c.Settings)
		if err != nil {
			return err
		}
		if s.settings, s.caps, err = wire.JSONSettings(data); err != nil {
			return fmt.Errorf("%s: %w", c.Settings, err)
		}
		s.settings.Subscribe = false // the inventory tells of changes by itself
	}
	if err := c.Check(s.settings, s.caps.Shards); err != nil {
		return fmt.Errorf("%s: %w", s.searchPath, err)
	}
	s.search = c
	if c.Inventory != "" {
		s.inventory = &inventory.Keeper{Path: c.Inventory, Group: c.Group, Cells: s.settings.Cells}
		s.hosts, err = s.inventory.Read(clock())
	}
	return err
}
