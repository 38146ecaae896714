package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/platform"
)

const (
	// gatherTime is for how long changes are gathered from the first one on, so that those of one cause go out in one slice.
	gatherTime = 30 * time.Millisecond
	// longestList bounds a discovery service's answer, in bytes.
	longestList = 4 << 20
	// settingsName is the name of the settings' one entry.
	settingsName = "settings"
)

// SettingsCheck finds what is wrong with settings that are to replace others (nil at the start), or lists what they change.
type SettingsCheck func(old, next json.RawMessage) (changes []string, err error)

// Authority gives out versions of its own: of a node list from the discovery service or a file, and of the settings from a
// file. What it reads is checked whole before any of it is published.
type Authority struct {
	Endpoints     *Resource
	Settings      *Resource
	Discovery     string // address; empty for none
	EndpointsFile string // in the form of discovery's whole list; empty for none
	SettingsFile  string // the settings as one JSON object; empty for none
	CheckSettings SettingsCheck

	settings json.RawMessage // in force
}

// Load reads the files. After a fault all is as it was.
func (a *Authority) Load() error {
	nodes, err := a.readNodes()
	if err != nil {
		return err
	}
	settings, changes, err := a.readSettings()
	if err != nil {
		return err
	}
	if a.EndpointsFile != "" {
		a.Endpoints.SetStaleness(always)
		published, err := a.Endpoints.Replace(nodes)
		if err != nil {
			return fmt.Errorf("%s: %w", a.EndpointsFile, err)
		}
		logPublished("instances", a.Endpoints, published)
	}
	if a.SettingsFile != "" {
		a.Settings.SetStaleness(always)
		published, err := a.Settings.Publish([]versionlog.Change{settingsChange(settings)})
		if err != nil {
			return fmt.Errorf("%s: %w", a.SettingsFile, err)
		}
		a.settings = settings
		for _, change := range changes {
			slog.Info("settings changed", "what", change)
		}
		logPublished("settings", a.Settings, published)
	}
	return nil
}

// always is the age of what its own source gives out.
func always() time.Duration { return 0 }

// Run follows discovery, where that is the source of the list, until ctx ends.
func (a *Authority) Run(ctx context.Context) {
	if a.Discovery == "" {
		return
	}
	changes := make(chan []versionlog.Change)
	follower := distribution.New(distribution.Config{Resource: distribution.Endpoints, AcceptAnySnapshot: true, MaxBody: longestList,
		Sources: []failover.Source{{Address: a.Discovery}}, Check: checkNodes,
		Apply: func(update distribution.Update) {
			select {
			case changes <- nodeChanges(update):
			case <-ctx.Done():
			}
		}})
	a.Endpoints.SetStaleness(func() time.Duration { return follower.Status().Staleness })
	go follower.Run(ctx)
	a.gather(ctx, changes)
}

// gather publishes what comes in, a moment after its first change.
func (a *Authority) gather(ctx context.Context, incoming <-chan []versionlog.Change) {
	var gathered []versionlog.Change
	var due <-chan time.Time
	for {
		select {
		case changes := <-incoming:
			if gathered = append(gathered, changes...); due == nil {
				due = time.After(gatherTime)
			}
		case <-due:
			published, err := a.Endpoints.Publish(gathered)
			if err != nil {
				slog.Error("list refused", "err", err)
			}
			logPublished("instances", a.Endpoints, published)
			gathered, due = nil, nil
		case <-ctx.Done():
			return
		}
	}
}

// nodeChanges are the changes of an answer of discovery.
func nodeChanges(update distribution.Update) (changes []versionlog.Change) {
	for _, entry := range update.Entries {
		changes = append(changes, change(entry))
	}
	for _, name := range update.Removed {
		changes = append(changes, versionlog.Change{Name: name, Removed: true})
	}
	return changes
}

func change(entry versionlog.Entry) versionlog.Change {
	if entry.Removed {
		return versionlog.Change{Name: entry.Name, Removed: true}
	}
	return versionlog.Change{Name: entry.Name, Object: compact(entry.Body)}
}

// compact is valid JSON without the space between its parts.
func compact(data []byte) []byte {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, data); err != nil {
		return data
	}
	return buffer.Bytes()
}

// node is what has to be right of a node's entry.
type node struct {
	platform.Endpoint
	Version *json.RawMessage `json:"version"`
}

// checkNodes finds what is wrong with entries of a node list.
func checkNodes(entries []versionlog.Entry) error {
	for _, entry := range entries {
		if err := checkNode(entry); err != nil {
			return fmt.Errorf("node %.40q: %w", entry.Name, err)
		}
	}
	return nil
}

func checkNode(entry versionlog.Entry) error {
	if len(entry.Body) > versionlog.MaxObject {
		return fmt.Errorf("%d bytes, at most %d can be given out", len(entry.Body), versionlog.MaxObject)
	}
	var n node
	if err := json.Unmarshal(entry.Body, &n); err != nil {
		return err
	}
	if n.Version != nil {
		return errors.New("it has a version, which only an authority gives")
	}
	if _, err := (platform.List{Endpoints: []platform.Endpoint{n.Endpoint}}).CoreEndpoints(); err != nil {
		return err
	}
	if n.Group < 0 {
		return fmt.Errorf("group %d", n.Group)
	}
	if _, _, err := net.SplitHostPort(n.Address); err != nil && !entry.Removed {
		return err
	}
	return nil
}

// readNodes reads the list's file, where there is one.
func (a *Authority) readNodes() ([]versionlog.Change, error) {
	if a.EndpointsFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(a.EndpointsFile)
	if err != nil {
		return nil, err
	}
	list, err := versionlog.ParseSlice(data)
	if err == nil {
		err = checkWholeList(list.Entries)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", a.EndpointsFile, err)
	}
	var state []versionlog.Change
	for _, entry := range list.Entries {
		state = append(state, change(entry))
	}
	return state, nil
}

// checkWholeList finds what is wrong with a list that is to be all there is.
func checkWholeList(entries []versionlog.Entry) error {
	if len(entries) == 0 {
		return errors.New("the list is empty")
	}
	names := make(map[string]struct{}, len(entries))
	for _, entry := range entries {
		if _, twice := names[entry.Name]; twice {
			return fmt.Errorf("node %.40q stands twice", entry.Name)
		}
		if names[entry.Name] = struct{}{}; entry.Removed {
			return fmt.Errorf("node %.40q is terminated: a whole list does not hold it", entry.Name)
		}
	}
	return checkNodes(entries)
}

// readSettings reads the settings' file, where there is one, and lists what it changes.
func (a *Authority) readSettings() (settings json.RawMessage, changes []string, err error) {
	if a.SettingsFile == "" {
		return nil, nil, nil
	}
	data, err := os.ReadFile(a.SettingsFile)
	if err != nil {
		return nil, nil, err
	}
	if changes, err = a.CheckSettings(a.settings, data); err == nil {
		settings = compact(data)
		err = settingsFit(settings)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", a.SettingsFile, err)
	}
	return settings, changes, nil
}

// settingsFit tells of settings that no answer could hold.
func settingsFit(settings json.RawMessage) error {
	if size := len(settingsChange(settings).Object); size > versionlog.MaxObject {
		return fmt.Errorf("the settings have %d bytes, at most %d can be given out", size, versionlog.MaxObject)
	}
	return nil
}

func settingsChange(settings json.RawMessage) versionlog.Change {
	object := fmt.Appendf(nil, `{"name":%q,"status":"in_service","settings":%s}`, settingsName, settings)
	return versionlog.Change{Name: settingsName, Object: object}
}

func logPublished(name string, resource *Resource, changes int) {
	head := resource.Head()
	slog.Info("published", "resource", name, "changes", changes, "epoch", head.Epoch, "index", head.Index,
		"at_unix_ms", time.Now().UnixMilli())
}
