// Package opensearch speaks an OpenSearch-style query API: to clients, whose searches and hazard reports
// become queries of the core, and to map nodes that offer it.
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

	"harepass/internal/decide/scatter"
)

// Config is the front's file.
type Config struct {
	Listen       string            `yaml:"listen"`
	Inventory    string            `yaml:"inventory"` // path, from the file's own folder
	Group        string            `yaml:"group"`     // of a YAML inventory, "all" if empty
	Settings     string            `yaml:"settings"`  // path of the settings, where no platform gives them
	SectionField string            `yaml:"section_field"`
	All          string            `yaml:"all"` // the index that a search without one means
	Indices      map[string]*Index `yaml:"indices"`
	Callers      map[string]string `yaml:"callers"` // tenants by caller
}

// Index maps an index to sections and a class.
type Index struct {
	Class    string          `yaml:"class"`
	Reports  bool            `yaml:"reports"`   // takes documents, and only these
	Sections []int           `yaml:"sections"`  // first and last; all if absent
	Weights  map[int]float64 `yaml:"weights"`   // of sections that do not weigh 1
	TwoPhase *TwoPhase       `yaml:"two_phase"` // nil: searches are asked in one phase

	name     string
	deadline time.Duration
}

// TwoPhase switches on, for the searches of an index, a cheap first phase that finds which sections matter.
type TwoPhase struct {
	Version string `yaml:"version"` // numeric field; each change of a document gives it a value above all in its section
}

// LoadConfig reads the file; unknown keys are errors.
func LoadConfig(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{SectionField: "section"}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(c); err != nil {
		if err == io.EOF {
			err = errors.New("empty file")
		}
		return nil, fmt.Errorf("%s: %s", path, strings.Join(strings.Fields(err.Error()), " "))
	}
	for _, p := range []*string{&c.Inventory, &c.Settings} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return c, nil
}

// Check holds the file against the settings; shards is how many sections there are.
func (c *Config) Check(s scatter.Settings, shards int) error {
	if c.Listen == "" {
		return errors.New("no listen address")
	}
	if len(c.Indices) == 0 {
		return errors.New("no indices")
	}
	for name, ix := range c.Indices {
		if ix == nil || name == "" || strings.ContainsAny(name, "/,*?\"<>| ") || strings.HasPrefix(name, "_") {
			return fmt.Errorf("index %q: bad name or nothing said of it", name)
		}
		i := slices.IndexFunc(s.Classes, func(k scatter.Class) bool { return k.Name == ix.Class })
		if i < 0 {
			return fmt.Errorf("index %s: no class %q in the settings", name, ix.Class)
		}
		ix.name, ix.deadline = name, s.Classes[i].Deadline
		if s.Classes[i].Idempotency == scatter.NonIdempotent && !ix.Reports {
			return fmt.Errorf("index %s: class %s may not run twice, so the index has to take reports", name, ix.Class)
		}
		if t := ix.TwoPhase; t != nil {
			switch {
			case ix.Reports:
				return fmt.Errorf("index %s: two_phase is for searches, and this index takes reports", name)
			case s.Classes[i].Idempotency != scatter.Idempotent:
				return fmt.Errorf("index %s: two_phase asks a section twice, which class %s does not bear", name, ix.Class)
			case t.Version == "":
				return fmt.Errorf("index %s: two_phase has to name the field that holds a document's version: version: NAME", name)
			case strings.ContainsAny(t.Version, "*\" \t"):
				return fmt.Errorf("index %s: two_phase: version %q is no name of a field", name, t.Version)
			}
		}
		if len(ix.Sections) == 0 {
			ix.Sections = []int{0, shards - 1}
		}
		if len(ix.Sections) != 2 || ix.Sections[0] < 0 || ix.Sections[1] < ix.Sections[0] || ix.Sections[1] >= shards {
			return fmt.Errorf("index %s: sections have to be the first and the last, from 0 to %d", name, shards-1)
		}
		for section, w := range ix.Weights {
			if section < ix.Sections[0] || section > ix.Sections[1] || !(w > 0) {
				return fmt.Errorf("index %s: weight %g of section %d", name, w, section)
			}
		}
	}
	if ix := c.Indices[c.All]; c.All != "" && (ix == nil || ix.Reports) {
		return fmt.Errorf("all: %q is no index to search", c.All)
	}
	for caller, tenant := range c.Callers {
		if !slices.ContainsFunc(s.Tenants, func(t scatter.Tenant) bool { return t.Name == tenant }) {
			return fmt.Errorf("caller %s: no tenant %q in the settings", caller, tenant)
		}
	}
	return nil
}

// TwoPhaseClasses lists the classes of which some index has a first phase.
func (c *Config) TwoPhaseClasses() (classes []string) {
	for _, ix := range c.Indices {
		if ix.TwoPhase != nil && !slices.Contains(classes, ix.Class) {
			classes = append(classes, ix.Class)
		}
	}
	slices.Sort(classes) // the module's order of classes is to be the same at every start
	return classes
}

// weight of a section among the index's.
func (ix *Index) weight(section int) float64 {
	if w, ok := ix.Weights[section]; ok {
		return w
	}
	return 1
}

// ofClass is the index that stands for a class whose query came from another front.
func (c *Config) ofClass(class string) *Index {
	var found *Index
	for _, ix := range c.Indices {
		if ix.Class == class && (found == nil || ix.name < found.name) {
			found = ix
		}
	}
	return found
}
