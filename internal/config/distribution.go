package config

import "slices"

// Names of the resources in the distribution file.
const (
	ResourceEndpoints = "nodes"
	ResourceSettings  = "settings"
)

// DistributionFile configures which relays a coordinator follows and which resources it takes from them. With a nil
// DistributionFile, a coordinator takes nothing from relays.
type DistributionFile struct {
	Upstream  `yaml:",inline"`
	Resources []string `yaml:"resources"` // resources to take from the relays
}

// loadDistribution reads the distribution file. It returns nil if the file does not exist at its default path.
func loadDistribution(files *fileSet, path string) (*DistributionFile, error) {
	data, exists, err := files.readOptional(path, DefaultDistributionPath)
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

// check returns the first fault in the file.
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

// Takes reports whether the coordinator takes a resource from relays. It may be called on nil.
func (f *DistributionFile) Takes(resource string) bool {
	return f != nil && slices.Contains(f.Resources, resource)
}
