package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"harepass"
	"harepass/internal/core"
	"harepass/internal/platform"
	"harepass/internal/wire"
)

// config is what the platform tells a coordinator.
type config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    limits          `json:"limits"`
	Known     platform.List   `json:"known"`
	Raw       json.RawMessage `json:"settings"`

	settings harepass.Settings
	caps     wire.Limits
	known    []core.Node
	seed     uint64
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// loadConfig reads the file that PROXY_CONFIG names; the other variables go before what it says.
func loadConfig(getenv func(string) string) (*config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, usageError{errors.New("PROXY_CONFIG names no configuration file")}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	var c config
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, usageError{fmt.Errorf("%s: %w", path, err)}
	}
	for name, field := range map[string]*string{"PROXY_NAME": &c.Name, "PROXY_LISTEN": &c.Listen, "PROXY_DISCOVERY": &c.Discovery} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if err := c.check(); err != nil {
		return nil, usageError{fmt.Errorf("%s: %w", path, err)}
	}
	return &c, nil
}

func (c *config) check() (err error) {
	if c.Listen == "" {
		return errors.New("no listen address")
	}
	if c.Discovery == "" {
		return errors.New("no discovery address")
	}
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed %q is not a hexadecimal number", c.Seed)
	}
	if c.settings, c.caps, err = wire.JSONSettings(c.Raw); err != nil {
		return err
	}
	c.known, err = c.Known.Nodes()
	return err
}
