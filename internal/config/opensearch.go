package config

import (
	"os"

	"harepass/internal/core"
	"harepass/internal/inventory"
	"harepass/internal/opensearch"
	"harepass/internal/wire"
)

// loadOpenSearch reads the OpenSearch front's file and the files that it names. Without a platform, that file has to
// name the settings and the inventory of endpoints.
func (c *Config) loadOpenSearch(clock core.Clock) error {
	front, err := opensearch.LoadConfig(c.OpenSearchPath)
	if err != nil {
		return err
	}
	if c.Platform == nil {
		if front.Settings == "" || front.Inventory == "" {
			return &FileError{c.OpenSearchPath, ErrSettingsSourceMissing}
		}
		if err := c.readSettings(front.Settings); err != nil {
			return err
		}
	}
	if err := front.Check(c.Settings, c.ProtocolLimits.Shards); err != nil {
		return &FileError{c.OpenSearchPath, err}
	}
	c.OpenSearch = front
	if front.Inventory == "" {
		return nil
	}
	c.Inventory = &inventory.Reader{Path: front.Inventory, Group: front.Group, RingSize: c.Settings.RingSize}
	c.InventoryEndpoints, err = c.Inventory.Read(clock())
	return err
}

// readSettings reads the settings from a separate file.
func (c *Config) readSettings(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if c.Settings, c.ProtocolLimits, err = wire.JSONSettings(data); err != nil {
		return &FileError{path, err}
	}
	c.Settings.Subscribe = false // the inventory pushes its changes without a subscription
	return nil
}
