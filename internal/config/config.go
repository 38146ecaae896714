package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/inventory"
	"harepass/internal/opensearch"
	"harepass/internal/wire"
)

// Default paths of the installation's files. The part that a file configures is off if the file does not exist at its
// default path.
const (
	DefaultOpenSearchPath   = "deploy/opensearch.yaml"
	DefaultOverloadPath     = "deploy/overload.yaml"
	DefaultDistributionPath = "deploy/distribution.yaml"
)

// Paths holds the paths of the installation's files.
type Paths struct {
	OpenSearch   string
	Overload     string
	Distribution string
}

// Environment returns the value of an environment variable, or an empty string if it is not set, as os.Getenv does.
type Environment func(name string) string

// Config is the complete configuration of a coordinator.
type Config struct {
	Platform       *PlatformFile // nil if PROXY_CONFIG is not set: there is no platform front
	ListenerFD     int           // descriptor of the client listener that the platform holds; 0 if none
	Seed           uint64        // seed of all random draws of this process
	Limits         Limits        // of this process; if PROXY_FD is set, half of the platform's except for the cores
	Settings       scatter.Settings
	ProtocolLimits wire.Limits // limits in the settings that apply outside of the decision code
	ListPushed     bool        // the settings say that lists are pushed; an agent is then polled like discovery

	KnownEndpoints []core.Endpoint // from the platform's file, or from stored state instead

	OpenSearchPath     string             // path of the OpenSearch front's file, which a reload does not read
	OpenSearch         *opensearch.Config // nil if the OpenSearch front is off
	Inventory          *inventory.Reader  // nil if no file lists endpoints
	InventoryEndpoints []core.Endpoint    // endpoints that Inventory returned at start

	Overload     *OverloadFile     // nil if overload control is off
	Distribution *DistributionFile // nil if no relay distributes endpoints or settings
}

// Load reads the platform's file, the OpenSearch front's file, or both, and the files of overload control and
// distribution unless those parts are off. It waits until the files of these parts and the inventory count as complete,
// or ctx is done. The error is an *InvalidError, or the cause of ctx.
func Load(ctx context.Context, env Environment, paths Paths, clock core.Clock) (*Config, error) {
	c, err := loadStable(ctx, func(files *fileSet) (*Config, error) { return load(files, env, paths, clock) })
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if err != nil {
		return nil, invalid(err)
	}
	return c, nil
}

// load implements Load; its error is not yet wrapped in an *InvalidError.
func load(files *fileSet, env Environment, paths Paths, clock core.Clock) (*Config, error) {
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
		err = c.loadOpenSearch(files, clock)
	case missing && c.Platform != nil:
		err = nil
	case missing:
		err = ErrNothingToServe
	}
	if err != nil {
		return nil, err
	}
	if c.Overload, err = loadOverload(files, paths.Overload, c.Limits); err != nil {
		return nil, err
	}
	if c.Distribution, err = loadDistribution(files, paths.Distribution); err != nil {
		return nil, err
	}
	if c.Distribution != nil && c.Platform == nil {
		return nil, &FileError{paths.Distribution, ErrDistributionWithoutPlatform}
	}
	return c, nil
}
