// Package fakedata has the known data of emulated map nodes: the trails of each section.
package fakedata

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"harepass/internal/test/fake"
)

// Trail is a document of the emulated nodes: one run of a section.
type Trail struct {
	ID      string  `yaml:"id"`
	Name    string  `yaml:"name"`
	Open    bool    `yaml:"open"`
	SnowCM  float64 `yaml:"snow_cm"`
	Version float64 `yaml:"version"`
}

// Sections are the trails of a mountain, by section.
type Sections map[int][]Trail

var slopes = []string{"north gully", "birch run", "ridge", "gondola line", "lower bowl", "forest path", "saddle", "east face"}

// New makes the data of a seed: so many sections with so many trails each.
func New(seed uint64, sections, trails int) Sections {
	rng := rand.New(rand.NewPCG(seed, 0x6d6f756e))
	m := Sections{}
	for s := range sections {
		for i := range trails {
			m[s] = append(m[s], Trail{ID: fmt.Sprintf("t%d-%d", s, i), Name: slopes[rng.IntN(len(slopes))] + " " + strconv.Itoa(i),
				Open: rng.IntN(3) > 0, SnowCM: float64(rng.IntN(200)), Version: float64(i + 1)})
		}
	}
	return m
}

// Read reads a mountain from YAML: lists of trails by section.
func Read(path string) (Sections, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	m := Sections{}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&m); err != nil && err != io.EOF {
		return nil, fmt.Errorf("%s: %s", path, strings.Join(strings.Fields(err.Error()), " "))
	}
	for s, trails := range m {
		seen := map[string]bool{}
		for _, t := range trails {
			if s < 0 || t.ID == "" || seen[t.ID] {
				return nil, fmt.Errorf("%s: section %d, trail %q: sections count from 0, and each trail needs an id of its own", path, s, t.ID)
			}
			seen[t.ID] = true
		}
	}
	return m, nil
}

// Write writes the mountain as YAML.
func (m Sections) Write(w io.Writer) error {
	enc := yaml.NewEncoder(w)
	defer enc.Close()
	return enc.Encode(m)
}

// Doc is the trail as nodes hold it.
func (t Trail) Doc() fake.Document {
	return fake.Document{ID: t.ID, Version: t.Version, Fields: map[string]any{"name": t.Name, "open": t.Open, "snow_cm": t.SnowCM}}
}

// Data is a copy for a node, which records its states over time if asked to.
func (m Sections) Data(record bool) *fake.Data {
	d := &fake.Data{KeepHistory: record}
	for s, trails := range m {
		var docs []fake.Document
		for _, t := range trails {
			docs = append(docs, t.Doc())
		}
		d.Set(s, docs)
	}
	return d
}
