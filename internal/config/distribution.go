package config

import "slices"

// Resources as the distribution file names them.
const (
	ResourceEndpoints = "nodes"
	ResourceSettings  = "settings"
)

// DistributionFile is what an installation says of its relays to a coordinator. A nil one takes nothing from relays.
type DistributionFile struct {
	Upstream  `yaml:",inline"`
	Resources []string `yaml:"resources"` // what is taken from the relays
}

// loadDistribution reads the file; nil where it is missing at its default path.
func loadDistribution(path string) (*DistributionFile, error) {
	data, exists, err := readOptional(path, DefaultDistributionPath)
	if !exists {
		return nil, err
	}
	f := &DistributionFile{Upstream: defaultUpstream(), Resources: []string{ResourceEndpoints, ResourceSettings}}
	if err := decodeYAML(path, data, f); err != nil {
		return nil, err
	}
	if err := f.check(); err != nil {
		return nil, &FileError{path, err}
	}
	return f, nil
}

// check finds what is wrong with the file.
func (f *DistributionFile) check() error {
	if err := f.checkSources(); err != nil {
		return err
	}
	if len(f.Resources) == 0 {
		return ErrNoResources
	}
	for _, r := range f.Resources {
		if r != ResourceEndpoints && r != ResourceSettings {
			return &UnknownResourceError{r}
		}
	}
	return f.checkHeartbeat()
}

// Takes reports whether a resource comes from relays. It may be called on nil.
func (f *DistributionFile) Takes(resource string) bool {
	return f != nil && slices.Contains(f.Resources, resource)
}
