package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
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
	Operator  string          `json:"operator"` // where operators' calls are taken; empty for nowhere
	Seed      string          `json:"seed"`
	Limits    limits          `json:"limits"`
	Known     platform.List   `json:"known"`
	Settings  json.RawMessage `json:"settings"`

	data []byte // the file
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Of the descriptors, the program keeps some for itself (streams, poller, listeners, discovery twice while it
// moves, files read again) and a quarter of all for nodes; clients have the rest. A client's connection is
// taken to cost this much memory with its goroutines, buffer and a request under way.
const (
	ownSockets   = 24
	clientMemory = 128 << 10
)

// half is what one process may use where a new version is started beside it: both together keep the limits.
func (l limits) half() limits {
	l.MemoryMB, l.Sockets = max(1, l.MemoryMB/2), l.Sockets/2
	return l
}

// nodes is how many connections to nodes there may be, besides the first one to each.
func (l limits) nodes() int { return max(1, l.Sockets/4) }

// clients is how many connections of clients there may be.
func (l limits) clients() int {
	return max(1, min(l.Sockets-l.nodes()-ownSockets, l.MemoryMB<<20/clientMemory))
}

// idle is how many connections are kept for clients that may ask again. Clients hold a third of the descriptors at
// most for requests, so that half of that remains for those who come next.
func (l limits) idle() int { return max(1, l.Sockets/6) }

// retained is how many bytes the values that two-phase queries retain may take: a sixteenth of the memory, since the
// collector lets garbage grow to as much again, and buffers and queries need the rest.
func (l limits) retained() int { return l.MemoryMB << 20 / 16 }

// defaultLimits hold where no platform tells any.
var defaultLimits = limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

// setup is all that a coordinator is to know before it starts. A front that is off is nil.
type setup struct {
	config     *config
	socket     int // the descriptor of the clients' socket where the platform holds that; 0 where it does not
	search     *opensearch.Config
	settings   scatter.Settings
	pushed     bool // lists are pushed to an agent, which is asked like discovery itself
	caps       wire.Limits
	limits     limits
	seed       uint64
	known      []core.Endpoint
	inventory  *inventory.Reader
	hosts      []core.Endpoint
	searchPath string
	overload   *overloadFile // nil where overload control is off

	distribution *distributionFile // nil where no relay gives out nodes or settings
}

// defaultSearch is the OpenSearch front's file; that front is off where it is missing.
const defaultSearch = "deploy/opensearch.yaml"

// load reads the platform's configuration, the OpenSearch front's file, or both.
func load(getenv func(string) string, paths files, clock core.Clock) (*setup, error) {
	s := &setup{limits: defaultLimits, seed: rand.Uint64()}
	if getenv("PROXY_CONFIG") != "" {
		var err error
		if s, err = loadPlatform(getenv); err != nil {
			return nil, err
		}
	}
	s.searchPath = paths.search
	_, err := os.Stat(paths.search)
	switch {
	case err == nil:
		err = s.loadSearch(clock)
	case errors.Is(err, os.ErrNotExist) && paths.search == defaultSearch && s.config != nil:
		err = nil
	case errors.Is(err, os.ErrNotExist) && paths.search == defaultSearch:
		err = errors.New("nothing to serve: PROXY_CONFIG is not set and there is no " + defaultSearch)
	}
	if err == nil {
		s.overload, err = loadOverload(paths.overload, s.limits)
	}
	if err == nil {
		s.distribution, err = loadDistribution(paths.distribution)
	}
	if err == nil && s.distribution != nil && s.config == nil {
		err = errors.New(paths.distribution + ": distribution needs PROXY_CONFIG")
	}
	return s, err
}

// loadPlatform reads the file that PROXY_CONFIG names; the other variables go before what it says.
func loadPlatform(getenv func(string) string) (*setup, error) {
	path := getenv("PROXY_CONFIG")
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &setup{}
	if err := s.readPlatform(data, getenv); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func (s *setup) readPlatform(data []byte, getenv func(string) string) error {
	c := &config{Limits: defaultLimits, data: data}
	err := json.Unmarshal(data, c)
	if err != nil {
		return err
	}
	for name, field := range map[string]*string{"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen,
		"PROXY_DISCOVERY": &c.Discovery, "PROXY_OPERATOR": &c.Operator} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	for _, a := range []struct{ what, address string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"operator", c.Operator}} {
		if a.address == "" && a.what == "operator" {
			continue
		}
		if a.address == "" {
			return fmt.Errorf("no %s address", a.what)
		}
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return fmt.Errorf("%s address: %w", a.what, err)
		}
	}
	if s.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed %q is not a hexadecimal number", c.Seed)
	}
	if s.settings, s.caps, err = wire.JSONSettings(c.Settings); err != nil {
		return err
	}
	s.pushed, s.settings.Subscribe = !s.settings.Subscribe, true // on sockets lists come to who asks, pushed or not
	if c.Limits.Sockets < 2*ownSockets || c.Limits.MemoryMB < 1 {
		return fmt.Errorf("limits %+v are too low", c.Limits)
	}
	s.config, s.limits = c, c.Limits
	if fd := getenv("PROXY_FD"); fd != "" {
		if s.socket, err = strconv.Atoi(fd); err != nil || s.socket < 3 {
			return fmt.Errorf("PROXY_FD %q is no descriptor that is handed down", fd)
		}
		s.limits = s.limits.half()
	}
	s.known, err = c.Known.CoreEndpoints()
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
		s.inventory = &inventory.Reader{Path: c.Inventory, Group: c.Group, RingSize: s.settings.RingSize}
		s.hosts, err = s.inventory.Read(clock())
	}
	return err
}
