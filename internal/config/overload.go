package config

import (
	"fmt"
	"time"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
	"harepass/internal/loadshed"
)

// OverloadFile configures overload control.
type OverloadFile struct {
	LoopDelay     time.Duration `yaml:"loop_delay"`      // target for the mean wait for the coordinator's loop
	MemoryMB      int           `yaml:"memory_mb"`       // target for the live heap, in MiB
	MaxRetryAfter time.Duration `yaml:"max_retry_after"` // longest Retry-After for rejected requests
}

const (
	defaultLoopDelay     = 10 * time.Millisecond
	minLoopDelay         = time.Millisecond
	maxLoopDelay         = time.Second
	defaultMaxRetryAfter = 30 * time.Second
)

// loadOverload reads the overload-control file for a process with the limits l. It returns nil if the file does not
// exist at its default path.
func loadOverload(files *fileSet, path string, l Limits) (*OverloadFile, error) {
	data, exists, err := files.readOptional(path, DefaultOverloadPath)
	if !exists {
		return nil, err
	}
	f := &OverloadFile{LoopDelay: defaultLoopDelay, MemoryMB: max(1, int(float64(l.MemoryMB)*heapFractionOfMemory)),
		MaxRetryAfter: defaultMaxRetryAfter}
	if err := decodeYAML(path, data, f); err != nil {
		return nil, err
	}
	if err := f.check(l); err != nil {
		return nil, &FileError{path, err}
	}
	return f, nil
}

// check returns an error for the first value that is out of bounds.
func (f *OverloadFile) check(l Limits) error {
	switch {
	case f.LoopDelay < minLoopDelay || f.LoopDelay > maxLoopDelay:
		return &RangeError{"loop_delay", f.LoopDelay, fmt.Sprintf("from %v to %v", minLoopDelay, maxLoopDelay)}
	case f.MemoryMB < 1 || f.MemoryMB > l.MemoryMB:
		return &RangeError{"memory_mb", f.MemoryMB, fmt.Sprintf("from 1 to the limit of %d", l.MemoryMB)}
	case f.MaxRetryAfter < time.Second || f.MaxRetryAfter > time.Hour:
		return &RangeError{"max_retry_after", f.MaxRetryAfter, "from 1s to 1h"}
	}
	return nil
}

// Controller returns the configuration of the overload controller for the settings s and the limits l of the process.
// On a platform, the settings' RetryAfter caps the Retry-After of rejected requests.
func (f *OverloadFile) Controller(s scatter.Settings, l Limits, hasPlatform bool) overload.Config {
	c := loadshed.ControllerConfig(s)
	c.WaitTarget, c.Cores, c.MemoryBytes, c.MaxRetryAfter = f.LoopDelay, l.Cores, int64(f.MemoryMB)<<20, f.MaxRetryAfter
	if hasPlatform {
		c.MaxRetryAfter = min(c.MaxRetryAfter, s.RetryAfter)
	}
	return c
}
