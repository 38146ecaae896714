package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
	"harepass/internal/loadshed"
)

// defaultOverload is the file of overload control; that is off where it is missing.
const defaultOverload = "deploy/overload.yaml"

// overloadFile is what an installation says of overload control.
type overloadFile struct {
	LoopDelay     time.Duration `yaml:"loop_delay"`      // mean wait for the owner that is aimed at
	MemoryMB      int           `yaml:"memory_mb"`       // of live heap; what the collector aims at, unless told
	MaxRetryAfter time.Duration `yaml:"max_retry_after"` // longest advice to the refused, unless the settings tell
}

const (
	usualDelay = 10 * time.Millisecond
	usualRetry = 30 * time.Second
	leastDelay = time.Millisecond
	mostDelay  = time.Second
)

// loadOverload reads the file; nil where the default one is missing.
func loadOverload(path string, l limits) (*overloadFile, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && path == defaultOverload {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	f := &overloadFile{LoopDelay: usualDelay, MemoryMB: max(1, int(float64(l.MemoryMB)*memoryShare)), MaxRetryAfter: usualRetry}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(f); err != nil && err != io.EOF { // an empty file wants all as usual
		return nil, fmt.Errorf("%s: %s", path, strings.Join(strings.Fields(err.Error()), " "))
	}
	switch {
	case f.LoopDelay < leastDelay || f.LoopDelay > mostDelay:
		return nil, fmt.Errorf("%s: loop_delay %v has to be from %v to %v", path, f.LoopDelay, leastDelay, mostDelay)
	case f.MemoryMB < 1 || f.MemoryMB > l.MemoryMB:
		return nil, fmt.Errorf("%s: memory_mb %d has to be from 1 to the limit of %d", path, f.MemoryMB, l.MemoryMB)
	case f.MaxRetryAfter < time.Second || f.MaxRetryAfter > time.Hour:
		return nil, fmt.Errorf("%s: max_retry_after %v has to be from 1s to 1h", path, f.MaxRetryAfter)
	}
	return f, nil
}

// control is the controller's configuration. A platform bounds what the refused may be told.
func (f *overloadFile) control(s scatter.Settings, l limits, platform bool) overload.Config {
	c := loadshed.ControllerConfig(s)
	c.WaitTarget, c.Cores, c.MemoryBytes, c.MaxRetryAfter = f.LoopDelay, l.Cores, int64(f.MemoryMB)<<20, f.MaxRetryAfter
	if platform {
		c.MaxRetryAfter = min(c.MaxRetryAfter, s.RetryAfter)
	}
	return c
}
