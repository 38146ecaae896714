package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"reflect"
	"strings"

	"harepass/internal/core"
	"harepass/internal/decide/settingsdiff"
	"harepass/internal/platform"
	"harepass/internal/wire"
)

// This file is what a configuration may bring that is read again: discovery's address and settings.

const mostTold = 40 // differences that are logged one by one

// reloadPlatform takes the file over: whole, or not at all with an error. PROXY_DISCOVERY holds what the address was at
// the start, so from now on the file decides. What else has changed is bound to what runs already.
func (p *program) reloadPlatform() error {
	next, err := loadPlatform(func(name string) string {
		if name == "PROXY_DISCOVERY" {
			return ""
		}
		return os.Getenv(name)
	})
	if err == nil && p.distributedSettings {
		slog.Info("the file's settings are passed over: those that relays gave out are in force")
		next, err = next.withSettings(p.config.Settings)
	}
	if err != nil {
		return err
	}
	return p.adopt(next)
}

// adopt puts a configuration in the place of the one in force: whole, or not at all with an error.
func (p *program) adopt(next *setup) error {
	changes, err := p.replacedBy(next)
	if err != nil {
		return err
	}
	old := *p.setup
	p.settings, p.caps = next.settings, next.caps
	if err := p.owner.Configure(p.settings, p.coreLimits()); err != nil {
		p.settings, p.caps = old.settings, old.caps
		return err
	}
	p.frames.Configure(p.caps.CallsPerConn, p.caps.ConnectTimeout, p.quietTime(), p.caps.KeepAlive)
	if p.watch != nil {
		p.watch.SetClasses(p.settings)
	}
	if p.disc != nil {
		p.disc.Configure(platform.Tuning{Fleet: p.settings.Coordinators, ListMaxAge: p.settings.ListMaxAge, Grace: p.settings.DrainGrace})
	}
	if p.disc != nil && next.config.Discovery != p.config.Discovery {
		p.disc.SetAddress(next.config.Discovery)
	}
	if !next.config.sameBut(p.config) {
		slog.Warn("a new name, listen or operator address, or limits need a restart")
	}
	p.config = next.config
	for i, c := range changes {
		if i == mostTold {
			slog.Info("settings changed", "further", len(changes)-i)
			break
		}
		slog.Info("settings changed", "what", c)
	}
	slog.Info("configuration reloaded", "discovery", p.config.Discovery, "changes", len(changes))
	return nil
}

// replacedBy lists what would change with another configuration, or says why that is none.
func (s *setup) replacedBy(next *setup) (changes []string, err error) {
	if changes, err = s.config.compare(next.config); err != nil {
		return nil, err
	}
	if _, err = core.New(core.Config{Settings: next.settings}); err != nil {
		return nil, err
	}
	if s.search != nil {
		if err := s.search.Check(next.settings, next.caps.Shards); err != nil {
			return nil, fmt.Errorf("%s: %w", s.searchPath, err)
		}
	}
	return changes, nil
}

// compare lists what the settings of a configuration that is to replace this one change, or says what it lacks.
func (c *config) compare(next *config) (changes []string, err error) {
	var was, is map[string]json.RawMessage
	if err := errors.Join(json.Unmarshal(c.data, &was), json.Unmarshal(next.data, &is)); err != nil {
		return nil, err
	}
	for key := range maps.Keys(was) {
		if _, here := is[key]; !here {
			return nil, fmt.Errorf("the file lacks %s; the old settings stay", key)
		}
	}
	old, err := wire.Flatten(c.Settings)
	if err != nil {
		return nil, err
	}
	flat, err := wire.Flatten(next.Settings)
	if err != nil {
		return nil, err
	}
	old, flat = settingsdiff.ByName(old), settingsdiff.ByName(flat)
	if missing := settingsdiff.Missing(old, flat); len(missing) > 0 {
		return nil, fmt.Errorf("the file's settings lack %s; the old ones stay", strings.Join(missing, ", "))
	}
	return settingsdiff.Differences(old, flat), nil
}

// sameBut tells whether two configurations differ at most in what is taken over when the file is read again.
func (c *config) sameBut(o *config) bool {
	list := func(c *config) []any { return []any{c.Name, c.Listen, c.Operator, c.Limits} }
	return reflect.DeepEqual(list(c), list(o))
}

// compareWith is check's comparison with the file in force.
func (s *setup) compareWith(path string) (changes []string, err error) {
	if s.config == nil {
		return nil, errors.New("-against compares with PROXY_CONFIG, which is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	old := &setup{search: s.search, searchPath: s.searchPath}
	if err := old.readPlatform(data, os.Getenv); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return old.replacedBy(s)
}
