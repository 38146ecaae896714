package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// loadOverloadStable loads an overload file as a process does at its start.
func loadOverloadStable(t *testing.T, path string) (*OverloadFile, error) {
	return loadStable(t.Context(), func(files *fileSet) (*OverloadFile, error) {
		return loadOverload(files, path, Limits{Cores: 1, MemoryMB: 192, Descriptors: 1024})
	})
}

// writeFile writes a file in place.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Error(err)
	}
}

// A process starts while a tool rewrites one of its YAML files: the text so far ends within a number and is valid. The
// process must take the number that the tool writes, not its first digits.
func TestStartWaitsForTornFile(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "overload.yaml")
	writeFile(t, path, "memory_mb: 11")
	written := make(chan struct{})
	go func() {
		defer close(written)
		time.Sleep(1500 * time.Millisecond)
		writeFile(t, path, "memory_mb: 115\n")
	}()
	f, err := loadOverloadStable(t, path)
	if err != nil || f.MemoryMB != 115 {
		t.Errorf("file %+v, error %v; want 115 MB", f, err)
	}
	<-written
}

// A file without a line break at its end, which YAML allows, is read although it could be cut.
func TestStartReadsFileWithoutLastLineBreak(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "overload.yaml")
	writeFile(t, path, "memory_mb: 11")
	if f, err := loadOverloadStable(t, path); err != nil || f.MemoryMB != 11 {
		t.Errorf("file %+v, error %v; want 11 MB", f, err)
	}
}

// A file is rewritten again and again. The start gives up after a while and names the file, so that whoever started the
// process sees why it does not serve.
func TestStartGivesUpOnFileThatKeepsChanging(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "overload.yaml")
	writeFile(t, path, "memory_mb: 11\n")
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				writeFile(t, path, "memory_mb: 11\n")
			}
		}
	}()
	began := time.Now()
	_, err := loadOverloadStable(t, path)
	close(stop)
	<-stopped
	if !errors.Is(err, ErrFilesChanging) || !strings.Contains(err.Error(), path) || time.Since(began) > 2*startTimeout {
		t.Errorf("after %v: error %v, want ErrFilesChanging with the path within %v", time.Since(began), err, startTimeout)
	}
}
