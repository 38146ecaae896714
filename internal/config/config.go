package config

import (
	"errors"
	"math/rand/v2"
	"os"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/inventory"
	"harepass/internal/opensearch"
	"harepass/internal/wire"
)

// Paths of the installation's files. What such a file configures is off where it is missing at this path.
const (
	DefaultOpenSearchPath   = "deploy/opensearch.yaml"
	DefaultOverloadPath     = "deploy/overload.yaml"
	DefaultDistributionPath = "deploy/distribution.yaml"
)

// Paths names the installation's files.
type Paths struct {
	OpenSearch   string
	Overload     string
	Distribution string
}

// Environment returns the value of a variable, empty where it is not set, as os.Getenv does.
type Environment func(name string) string

// Config is all that a coordinator needs to know before it starts.
type Config struct {
	Platform       *PlatformFile // nil where PROXY_CONFIG is not set: there is no platform front
	ListenerFD     int           // descriptor of the clients' listener that the platform holds; 0 where it holds none
	Seed           uint64        // of all random draws of this process
	Limits         Limits        // of this process; half of the platform's, but for the cores, where PROXY_FD is set
	Settings       scatter.Settings
	ProtocolLimits wire.Limits // what the settings bound outside of the decisions
	ListPushed     bool        // the settings say that lists are pushed; an agent is then polled as discovery is

	KnownEndpoints []core.Endpoint // of the platform's file, or of stored state in their place

	OpenSearchPath     string             // of the OpenSearch front's file, which a reload does not read
	OpenSearch         *opensearch.Config // nil where the OpenSearch front is off
	Inventory          *inventory.Reader  // nil where no file lists endpoints
	InventoryEndpoints []core.Endpoint    // as Inventory was read at the start

	Overload     *OverloadFile     // nil where overload control is off
	Distribution *DistributionFile // nil where no relay gives out endpoints or settings
}

// Load reads the platform's configuration, the OpenSearch front's file, or both, and the files of
// overload control and distribution where those are on. The error is an *InvalidError.
func Load(env Environment, paths Paths, clock core.Clock) (*Config, error) {
	c, err := load(env, paths, clock)
	if err != nil {
		return nil, invalid(err)
	}
	return c, nil
}

// load is Load with an error that is not marked yet.
func load(env Environment, paths Paths, clock core.Clock) (*Config, error) {
	c := &Config{Limits: defaultLimits, Seed: rand.Uint64()}
	if env(varConfig) != "" {
		var err error
		if c, err = loadPlatform(env); err != nil {
			return nil, err
		}
	}
	c.OpenSearchPath = paths.OpenSearch
	_, err := os.Stat(paths.OpenSearch)
	switch missing := errors.Is(err, os.ErrNotExist) && paths.OpenSearch == DefaultOpenSearchPath; {
	case err == nil:
		err = c.loadOpenSearch(clock)
	case missing && c.Platform != nil:
		err = nil
	case missing:
		err = ErrNothingToServe
	}
	if err != nil {
		return nil, err
	}
	if c.Overload, err = loadOverload(paths.Overload, c.Limits); err != nil {
		return nil, err
	}
	if c.Distribution, err = loadDistribution(paths.Distribution); err != nil {
		return nil, err
	}
	if c.Distribution != nil && c.Platform == nil {
		return nil, &FileError{paths.Distribution, ErrDistributionWithoutPlatform}
	}
	return c, nil
}

// readOptional reads a file; there is no data where it is missing at its default path.
func readOptional(path, defaultPath string) (data []byte, exists bool, err error) {
	data, err = os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && path == defaultPath {
		return nil, false, nil
	}
	return data, err == nil, err
}
