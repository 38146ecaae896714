// Package fakedata provides the data of emulated replicas: the trails of each shard, drawn from a seed or read from
// YAML. It is for tests and the laboratory only.
package fakedata

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"harepass/internal/test/fake"
)

// ErrInvalidData reports that a file does not hold valid trails by shard.
var ErrInvalidData = errors.New("fakedata: invalid data")

// Trail is a document of the emulated replicas.
type Trail struct {
	ID      string  `yaml:"id"` // unique in its shard
	Name    string  `yaml:"name"`
	Open    bool    `yaml:"open"`
	SnowCM  float64 `yaml:"snow_cm"` // depth of snow in cm
	Version float64 `yaml:"version"`
}

// Shards holds trails by the number of their shard, which counts from 0.
type Shards map[int][]Trail

// rngStream separates the random draws of the data from other draws with the same seed.
const rngStream = 0x6d6f756e

// maxSnowCM is the exclusive upper bound of the drawn depths of snow, in cm.
const maxSnowCM = 200

var trailNames = []string{
	"north gully", "birch run", "ridge", "gondola line", "lower bowl", "forest path", "saddle", "east face",
}

// New draws trailsPerShard trails for each of a number of shards. Equal arguments give equal data.
func New(seed uint64, shards, trailsPerShard int) Shards {
	rng := rand.New(rand.NewPCG(seed, rngStream))
	s := Shards{}
	for shard := range shards {
		for i := range trailsPerShard {
			s[shard] = append(s[shard], Trail{
				ID:      fmt.Sprintf("t%d-%d", shard, i),
				Name:    trailNames[rng.IntN(len(trailNames))] + " " + strconv.Itoa(i),
				Open:    rng.IntN(3) > 0,
				SnowCM:  float64(rng.IntN(maxSnowCM)),
				Version: float64(i + 1),
			})
		}
	}
	return s
}

// Read reads trails by shard from a YAML file. The error wraps ErrInvalidData if the content is invalid. An empty file
// gives no shards.
func Read(path string) (Shards, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := Shards{}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: %s: %s", ErrInvalidData, path, strings.Join(strings.Fields(err.Error()), " "))
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalidData, path, err)
	}
	return s, nil
}

// validate checks that the numbers of shards are not negative, and that each trail has an ID that is unique in its
// shard.
func (s Shards) validate() error {
	for shard, trails := range s {
		seen := map[string]bool{}
		for _, t := range trails {
			if shard < 0 || t.ID == "" || seen[t.ID] {
				return fmt.Errorf("section %d, trail %q: section must be at least 0, id must be set and unique in it",
					shard, t.ID)
			}
			seen[t.ID] = true
		}
	}
	return nil
}

// Write writes the trails as YAML, which Read can read.
func (s Shards) Write(w io.Writer) error {
	enc := yaml.NewEncoder(w)
	defer enc.Close()
	return enc.Encode(s)
}

// Doc returns the trail in the form of a document that replicas hold.
func (t Trail) Doc() fake.Document {
	return fake.Document{
		ID: t.ID, Version: t.Version,
		Fields: map[string]any{"name": t.Name, "open": t.Open, "snow_cm": t.SnowCM},
	}
}

// Data returns a copy of the trails in the form that replicas serve. If keepHistory is set, the copy records every
// state of each shard.
func (s Shards) Data(keepHistory bool) *fake.Data {
	d := &fake.Data{KeepHistory: keepHistory}
	for shard, trails := range s {
		var docs []fake.Document
		for _, t := range trails {
			docs = append(docs, t.Doc())
		}
		d.Set(shard, docs)
	}
	return d
}
