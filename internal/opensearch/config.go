package opensearch

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Config is the configuration file of the API's front and of the replicas that offer the API. LoadConfig reads it;
// Check has to accept it before it is used.
type Config struct {
	// Listen is the address that the front listens on, host:port.
	Listen string `yaml:"listen"`
	// Inventory is the path of the replicas' inventory; a relative one starts at the file's own folder.
	Inventory string `yaml:"inventory"`
	// Group is the group of a YAML inventory that lists the replicas; empty stands for "all".
	Group string `yaml:"group"`
	// Settings is the path of the settings, for where no platform gives them; a relative one starts at the file's own
	// folder.
	Settings string `yaml:"settings"`
	// SectionField is the field of a document that names its section; "section" if the file does not say.
	SectionField string `yaml:"section_field"`
	// All is the index that a search without an index goes to; empty where each search has to name one.
	All string `yaml:"all"`
	// Indices are the indices that clients may name, by name.
	Indices map[string]*Index `yaml:"indices"`
	// Callers are the tenants by the caller that a request names. Empty has requests of no tenant, from any caller.
	Callers map[string]string `yaml:"callers"`
}

// Index maps an index of the API to shards and a class.
type Index struct {
	// Class is the class of the index's queries, by its name in the settings.
	Class string `yaml:"class"`
	// Reports says that the index takes documents and is not searched.
	Reports bool `yaml:"reports"`
	// Shards are the first and the last shard of the index; Check fills in all shards if there are none.
	Shards []int `yaml:"sections"`
	// Weights are the weights of shards in an answer, relative to each other; a shard without an entry weighs 1.
	Weights map[int]float64 `yaml:"weights"`
	// TwoPhase has the index's searches sent in two phases; nil has them sent in one.
	TwoPhase *TwoPhase `yaml:"two_phase"`

	name     string        // set by Check: the key in Config.Indices
	deadline time.Duration // set by Check: that of the class
}

// TwoPhase has the searches of an index begin with a cheap first phase that finds which shards matter.
type TwoPhase struct {
	// Version is a numeric field. Each change of a document gives it a value above all others in its shard.
	Version string `yaml:"version"`
}

// ErrEmptyFile is the error of LoadConfig for a file without any key.
var ErrEmptyFile = errors.New("empty file")

// LoadConfig reads the configuration file at a path. Its error is one line: that of the system if the file cannot be
// read, ErrEmptyFile, or what the YAML decoder says; unknown keys are errors.
func LoadConfig(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{SectionField: "section"}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	switch err := dec.Decode(c); {
	case errors.Is(err, io.EOF):
		return nil, fmt.Errorf("%s: %w", path, ErrEmptyFile)
	case err != nil:
		return nil, fmt.Errorf("%s: %s", path, oneLine(err.Error()))
	}
	for _, p := range []*string{&c.Inventory, &c.Settings} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return c, nil
}

// oneLine joins the lines of a text.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// TwoPhaseClasses returns the classes of which some index has a first phase, in the same order at every start: the core
// numbers them in this order. It is to be called after Check.
func (c *Config) TwoPhaseClasses() (classes []string) {
	for _, ix := range c.Indices {
		if ix.TwoPhase != nil && !slices.Contains(classes, ix.Class) {
			classes = append(classes, ix.Class)
		}
	}
	slices.Sort(classes)
	return classes
}

// indexOfClass returns the index that stands for a class whose query came from another front: the first by name. It is
// nil where no index has the class.
func (c *Config) indexOfClass(class string) *Index {
	var found *Index
	for _, ix := range c.Indices {
		if ix.Class == class && (found == nil || ix.name < found.name) {
			found = ix
		}
	}
	return found
}

// weight returns the weight of a shard relative to the index's other shards.
func (ix *Index) weight(shard int) float64 {
	if w, ok := ix.Weights[shard]; ok {
		return w
	}
	return 1
}

// holds reports whether a shard is one of the index's.
func (ix *Index) holds(shard int) bool { return shard >= ix.Shards[0] && shard <= ix.Shards[1] }
