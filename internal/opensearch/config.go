package opensearch

import (
	"bytes"
	"errors"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"harepass/internal/inputfile"
)

// Config is the configuration file of the API's front and of the replicas that offer the API. ParseConfig reads it;
// Check must accept it before use.
type Config struct {
	// Listen is the address that the front listens on, host:port.
	Listen string `yaml:"listen"`
	// Inventory is the path of the replicas' inventory. A relative path starts at the configuration file's own folder.
	Inventory string `yaml:"inventory"`
	// Group is the group of a YAML inventory that lists the replicas; empty means "all".
	Group string `yaml:"group"`
	// Settings is the path of the settings, for deployments where no platform provides them. A relative path starts at
	// the configuration file's own folder.
	Settings string `yaml:"settings"`
	// SectionField is the field of a document that names its section; "section" if the file gives none.
	SectionField string `yaml:"section_field"`
	// DefaultIndex is the index for searches that name none. If it is empty, each search must name an index.
	DefaultIndex string `yaml:"all"`
	// Indices are the indices that clients may name, by name.
	Indices map[string]*Index `yaml:"indices"`
	// ClientTenants maps the client that a request names to its tenant. If it is empty, any client may send requests,
	// and the requests have no tenant.
	ClientTenants map[string]string `yaml:"callers"`
}

// Index maps an index of the API to shards and a class.
type Index struct {
	// Class is the name in the settings of the class of the index's queries.
	Class string `yaml:"class"`
	// TakesDocuments makes the index accept documents and no searches.
	TakesDocuments bool `yaml:"reports"`
	// ShardRange has two entries: the first and the last shard of the index. Check fills in all shards if the file
	// gives none.
	ShardRange []int `yaml:"sections"`
	// Weights are the weights of shards in an answer, relative to each other; a shard without an entry has weight 1.
	Weights map[int]float64 `yaml:"weights"`
	// TwoPhase makes the front send the index's searches in two phases; nil means one phase.
	TwoPhase *TwoPhase `yaml:"two_phase"`

	name     string        // the key in Config.Indices; set by Check
	deadline time.Duration // the class's deadline; set by Check
	holdsAll bool          // the file gives no range of shards; set by Check
}

// TwoPhase makes the searches of an index begin with a cheap first phase that finds out which shards matter.
type TwoPhase struct {
	// VersionField is a numeric field of the index's documents. Each change of a document must set it to a value above
	// all others in the document's shard.
	VersionField string `yaml:"version"`
}

// ErrEmptyFile is the cause in ParseConfig's FileError for a file without any key.
var ErrEmptyFile = errors.New("empty file")

// FileError is the error of ParseConfig for a file that is not a configuration file.
type FileError struct {
	Path string // of the file
	Err  error  // ErrEmptyFile, or the YAML decoder's error: malformed YAML, a wrong type or an unknown key
}

// Error returns the path and the cause in one line.
func (e *FileError) Error() string { return e.Path + ": " + oneLine(e.Err.Error()) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// ParseConfig reads the contents of the configuration file at a path. Its error is a FileError of one line.
func ParseConfig(path string, data []byte) (*Config, error) {
	c := &Config{SectionField: "section"}
	if _, err := inputfile.CheckYAML(data); err != nil {
		return nil, &FileError{path, err}
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	switch err := dec.Decode(c); {
	case errors.Is(err, io.EOF):
		return nil, &FileError{path, ErrEmptyFile}
	case err != nil:
		return nil, &FileError{path, err}
	}
	for _, p := range []*string{&c.Inventory, &c.Settings} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return c, nil
}

// oneLine replaces each run of white space in a text, line breaks included, with one space.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// TwoPhaseClasses returns the classes of the indices that have a first phase. The order is the same at every start,
// since the core numbers the classes in it. Check must be called first.
func (c *Config) TwoPhaseClasses() (classes []string) {
	for _, ix := range c.Indices {
		if ix.TwoPhase != nil && !slices.Contains(classes, ix.Class) {
			classes = append(classes, ix.Class)
		}
	}
	slices.Sort(classes)
	return classes
}

// indexOfClass returns the index for queries of a class that came from another front: the first one by name. It returns
// nil if no index has the class.
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

// holds reports whether the index has a shard.
func (ix *Index) holds(shard int) bool { return shard >= ix.ShardRange[0] && shard <= ix.ShardRange[1] }
