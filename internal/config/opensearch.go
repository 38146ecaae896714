package config

import (
	"harepass/internal/core"
	"harepass/internal/decide/placement"
	"harepass/internal/inputfile"
	"harepass/internal/inventory"
	"harepass/internal/opensearch"
	"harepass/internal/wire"
)

// loadOpenSearch reads the OpenSearch front's file and the files that it names. Without a platform, that file has to
// name the settings and the inventory of endpoints.
func (c *Config) loadOpenSearch(files *fileSet, clock core.Clock) error {
	data, err := files.read(c.OpenSearchPath)
	if err != nil {
		return err
	}
	front, err := opensearch.ParseConfig(c.OpenSearchPath, data)
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
	if c.Platform == nil {
		c.Inventory.ShardsWithoutHolder = c.shardsWithoutHolder
	}
	reading := c.Inventory.Look()
	files.add(front.Inventory, reading.Look)
	if reading.Err != nil {
		return reading.Err
	}
	c.InventoryEndpoints = c.Inventory.Apply(reading.Hosts, clock())
	return nil
}

// shardsWithoutHolder returns the shards that endpoints leave without a holder if no other source lists any.
func (c *Config) shardsWithoutHolder(endpoints []core.Endpoint) []int {
	var positions []int
	for _, e := range endpoints {
		positions = append(positions, e.RingPosition)
	}
	ring := placement.Ring{Size: c.Settings.RingSize, ReplicationFactor: c.Settings.ReplicationFactor}
	return ring.ShardsWithoutHolder(positions, c.ProtocolLimits.Shards)
}

// readSettings reads the settings from a separate file.
func (c *Config) readSettings(path string) error {
	data, err := inputfile.Read(path)
	if err != nil {
		return err
	}
	if c.Settings, c.ProtocolLimits, err = wire.JSONSettings(data); err != nil {
		return &FileError{path, err}
	}
	c.Settings.Subscribe = false // the inventory pushes its changes without a subscription
	return nil
}
