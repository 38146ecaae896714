package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/logmsg"
)

// This file is where the node list and settings come from where relays give them out.

// defaultDistribution is the file of distribution; that is off where it is missing.
const defaultDistribution = "deploy/distribution.yaml"

// Resources as the file names them.
const (
	resourceNodes    = "nodes"
	resourceSettings = "settings"
)

// distributionFile is what an installation says of the relays that it has.
type distributionFile struct {
	Zone      string        `yaml:"zone"` // where this coordinator runs
	Region    string        `yaml:"region"`
	Sources   []relaySource `yaml:"sources"`
	Resources []string      `yaml:"resources"` // what is taken from them
	Heartbeat time.Duration `yaml:"heartbeat"` // how long a call is held where there is no news
	Allowance time.Duration `yaml:"allowance"` // how much later an answer may come
}

// loadDistribution reads the file; nil where the default one is missing.
func loadDistribution(path string) (*distributionFile, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && path == defaultDistribution {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	f := &distributionFile{Resources: []string{resourceNodes, resourceSettings},
		Heartbeat: distribution.DefaultHeartbeat, Allowance: distribution.DefaultSilenceTolerance}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(f); err != nil && err != io.EOF {
		return nil, fmt.Errorf("%s: %s", path, strings.Join(strings.Fields(err.Error()), " "))
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// check finds what is wrong with the file.
func (f *distributionFile) check() error {
	if err := checkRelaySources(f.Sources); err != nil {
		return err
	}
	if len(f.Resources) == 0 {
		return errors.New("no resources; without the file distribution is off")
	}
	for _, r := range f.Resources {
		if r != resourceNodes && r != resourceSettings {
			return fmt.Errorf("resource %q is neither %s nor %s", r, resourceNodes, resourceSettings)
		}
	}
	return checkHeartbeat(f.Heartbeat, f.Allowance)
}

// takes tells whether a resource comes from relays. It is for a nil file too.
func (f *distributionFile) takes(resource string) bool {
	return f != nil && slices.Contains(f.Resources, resource)
}

// follower returns a follower of a resource for a coordinator with a seed.
func (f *distributionFile) follower(c distribution.Config, seed uint64) *distribution.Follower {
	c = withSources(c, f.Sources, failover.Locality{Zone: f.Zone, Region: f.Region})
	c.Heartbeat, c.SilenceTolerance = f.Heartbeat, f.Allowance
	c.Rand = rand.New(rand.NewPCG(seed, rand.Uint64()))
	return distribution.New(c)
}

// followNodes keeps the node list by the relays.
func (p *program) followNodes(ctx context.Context) {
	apply := func(u distribution.Update) {
		p.distributed.Apply(u)
		if u.SnapshotCompleted {
			slog.Info("list in force", "version", versionText(u.Slice.Version), "source", u.Source)
		}
		if u.Complete {
			logInForce(distribution.Endpoints, u.Slice.Version)
		}
	}
	f := p.distribution.follower(distribution.Config{Path: distribution.Endpoints, KnownNames: p.distributed.Known(),
		Check: p.distributed.Check, Apply: apply}, p.seed)
	go f.Run(ctx)
}

// settingsName is the one entry of the settings.
const settingsName = "settings"

// settingsEntry is the settings as relays give them out.
type settingsEntry struct {
	Name     string          `json:"name"`
	Settings json.RawMessage `json:"settings"`
}

// settingsUpdate is a version of the settings.
type settingsUpdate struct {
	version  versionlog.Version
	settings json.RawMessage
}

// checkSettings finds entries that are no settings at all. What is wrong within them is found when they are to be in force.
func checkSettings(entries []versionlog.Entry) error {
	for _, e := range entries {
		var s settingsEntry
		if err := json.Unmarshal(e.Body, &s); err != nil {
			return err
		}
		if s.Name != settingsName || !e.Removed && len(s.Settings) == 0 {
			return fmt.Errorf("entry %.40q is no settings", e.Name)
		}
	}
	return nil
}

// followSettings has the relays' settings handed to obey, each version that is whole.
func (p *program) followSettings(ctx context.Context) {
	updates := make(chan settingsUpdate)
	p.settingsUpdates = updates
	apply := func(u distribution.Update) {
		for _, e := range u.Entries {
			var s settingsEntry
			if json.Unmarshal(e.Body, &s) != nil || e.Removed { // what is in force stays so
				continue
			}
			select {
			case updates <- settingsUpdate{u.Slice.Version, s.Settings}:
			case <-ctx.Done():
			}
		}
	}
	f := p.distribution.follower(distribution.Config{Path: distribution.Settings, Check: checkSettings, Apply: apply}, p.seed)
	go f.Run(ctx)
}

// takeSettings puts a version of the settings in force as a whole, or none of it.
func (p *program) takeSettings(u settingsUpdate) {
	if err := p.adoptSettings(u.settings); err != nil {
		slog.Error("settings refused", "version", versionText(u.version), "reason", err)
		return
	}
	p.distributedSettings = true
	slog.Info("settings in force", "version", versionText(u.version))
	logInForce(distribution.Settings, u.version)
}

// adoptSettings takes settings over in the place of those of the configuration that is in force.
func (p *program) adoptSettings(settings json.RawMessage) error {
	shared, err := withOwn(settings, p.config.Settings)
	if err != nil {
		return err
	}
	next, err := p.setup.withSettings(shared)
	if err != nil {
		return err
	}
	return p.adopt(next)
}

// ownKeys are the settings that are a coordinator's own: its number in the fleet and its zone. They stay what its
// configuration says.
var ownKeys = []string{"me", "zone"}

// withOwn is settings of the whole fleet with a coordinator's own ones.
func withOwn(fleet, mine json.RawMessage) (json.RawMessage, error) {
	var keys, own map[string]json.RawMessage
	if err := json.Unmarshal(fleet, &keys); err != nil {
		return nil, err
	}
	if keys == nil {
		return nil, errors.New("the settings are no object")
	}
	if err := json.Unmarshal(mine, &own); err != nil {
		return nil, err
	}
	for _, key := range ownKeys {
		delete(keys, key)
		if value, here := own[key]; here {
			keys[key] = value
		}
	}
	return json.Marshal(keys)
}

// withSettings is the setup that its configuration's file would make with other settings. The address of discovery stays.
func (s *setup) withSettings(settings json.RawMessage) (*setup, error) {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(s.config.data, &keys); err != nil {
		return nil, err
	}
	keys["settings"] = settings
	data, err := json.Marshal(keys)
	if err != nil {
		return nil, err
	}
	next := &setup{}
	if err := next.readPlatform(data, os.Getenv); err != nil {
		return nil, err
	}
	next.config.Discovery = s.config.Discovery
	return next, nil
}

// logInForce tells from when on a version is in force here.
func logInForce(r distribution.Path, v versionlog.Version) {
	slog.Info(logmsg.VersionInForce, "resource", r.ResourceName(), "epoch", v.Epoch, "index", v.Index, "at_unix_ms", time.Now().UnixMilli())
}

// versionText is a version for logs: epoch and index.
func versionText(v versionlog.Version) string { return fmt.Sprintf("%d/%d", v.Epoch, v.Index) }
