package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/logmsg"
)

const (
	// batchInterval is for how long changes are collected from the first one on: those with one cause go out in one
	// slice.
	batchInterval = 30 * time.Millisecond
	// maxDiscoveryBody is the size limit of an answer of the discovery service, in bytes.
	maxDiscoveryBody = 4 << 20
)

// Authority publishes versions of its own: of an endpoint list from the discovery service or a file, and of settings
// from a file. Its fields are set before the first call of Load or Run.
type Authority struct {
	// Endpoints is the resource that the endpoint list is published in.
	Endpoints *Resource
	// Settings is the resource that the settings are published in.
	Settings *Resource
	// Discovery is the address of the discovery service; empty where the list does not come from one.
	Discovery string
	// EndpointsFile is a file with a complete endpoint list in discovery's form; empty where the list does not come
	// from one.
	EndpointsFile string
	// SettingsFile is a file with the settings as one JSON object; empty for none.
	SettingsFile string
	// CheckSettings checks settings that are to be published.
	CheckSettings SettingsCheck

	settings json.RawMessage // the settings that were published last; nil before
}

// Load reads the files and publishes what they change. It is called at the start and whenever they are to be read
// again, by one goroutine at a time. Both files are read and checked before either is published. The errors are those
// of reading and checking, with the file's path; then nothing has changed. Where the log rejects a publication its
// error comes back with the file's path, and an endpoint list that was published before stays.
func (a *Authority) Load() error {
	endpoints, err := a.readEndpoints()
	if err != nil {
		return err
	}
	settings, changes, err := a.readSettings()
	if err != nil {
		return err
	}
	if a.EndpointsFile != "" {
		if err := a.publishEndpoints(endpoints); err != nil {
			return err
		}
	}
	if a.SettingsFile != "" {
		return a.publishSettings(settings, changes)
	}
	return nil
}

// publishEndpoints publishes the complete list of EndpointsFile.
func (a *Authority) publishEndpoints(list []versionlog.Change) error {
	a.Endpoints.SetStaleness(neverStale)
	published, err := a.Endpoints.Replace(list)
	if err != nil {
		return fmt.Errorf("%s: %w", a.EndpointsFile, err)
	}
	logPublished(distribution.Endpoints, a.Endpoints, published)
	return nil
}

// publishSettings publishes settings, and logs what they change.
func (a *Authority) publishSettings(settings json.RawMessage, changes []string) error {
	a.Settings.SetStaleness(neverStale)
	published, err := a.Settings.Publish([]versionlog.Change{settingsChange(settings)})
	if err != nil {
		return fmt.Errorf("%s: %w", a.SettingsFile, err)
	}
	a.settings = settings
	for _, change := range changes {
		slog.Info(logmsg.SettingsChanged, logmsg.KeyChange, change)
	}
	logPublished(distribution.Settings, a.Settings, published)
	return nil
}

// neverStale is the staleness of what comes from a file: nothing newer exists.
func neverStale() time.Duration { return 0 }

// Run follows the discovery service and publishes what it changes, until ctx ends. It returns at once where the list
// does not come from there.
func (a *Authority) Run(ctx context.Context) {
	if a.Discovery == "" {
		return
	}
	changes := make(chan []versionlog.Change)
	follower := distribution.New(distribution.Config{Path: distribution.Endpoints, AcceptAnySnapshot: true,
		MaxBody: maxDiscoveryBody, Sources: []failover.Source{{Address: a.Discovery}}, Check: checkEndpoints,
		Apply: func(update distribution.Update) {
			select {
			case changes <- changesOf(update):
			case <-ctx.Done():
			}
		}})
	a.Endpoints.SetStaleness(func() time.Duration { return follower.Status().Staleness })
	var following sync.WaitGroup
	following.Go(func() { follower.Run(ctx) })
	defer following.Wait()
	a.publishBatches(ctx, changes)
}

// publishBatches publishes the changes that come in, batchInterval after the first of each batch, until ctx ends; a
// batch that is not due then is dropped. Changes that the log rejects are left out of their batch. The line "version
// published" follows each batch of which any change was valid, also one that changed nothing: its changes are 0 then,
// and its version is the one before.
func (a *Authority) publishBatches(ctx context.Context, incoming <-chan []versionlog.Change) {
	var batch []versionlog.Change
	var due <-chan time.Time
	for {
		select {
		case changes := <-incoming:
			if batch = append(batch, changes...); due == nil {
				due = time.After(batchInterval)
			}
		case <-due:
			a.publishBatch(batch)
			batch, due = nil, nil
		case <-ctx.Done():
			return
		}
	}
}

// publishBatch publishes the changes of a batch that the log takes. The log takes a batch as a whole or not at all, so
// one with a change that is not valid is published change by change: the others are not to wait for discovery to send
// them again, for a drain may be among them.
func (a *Authority) publishBatch(batch []versionlog.Change) {
	published, err := a.Endpoints.Publish(batch)
	if err == nil {
		logPublished(distribution.Endpoints, a.Endpoints, published)
		return
	}
	valid := 0
	for _, change := range batch {
		n, err := a.Endpoints.Publish([]versionlog.Change{change})
		if err != nil {
			slog.Error("endpoint rejected", logmsg.KeyError, err)
			continue
		}
		valid++
		published += n
	}
	if valid > 0 {
		logPublished(distribution.Endpoints, a.Endpoints, published)
	}
}

// changesOf returns the changes that an update of the discovery service makes.
func changesOf(update distribution.Update) (changes []versionlog.Change) {
	for _, entry := range update.Entries {
		changes = append(changes, changeOf(entry))
	}
	for _, name := range update.MissingFromSnapshot {
		changes = append(changes, versionlog.Change{Name: name, Removed: true})
	}
	return changes
}

// changeOf returns the change that brings an entry about.
func changeOf(entry versionlog.Entry) versionlog.Change {
	if entry.Removed {
		return versionlog.Change{Name: entry.Name, Removed: true}
	}
	return versionlog.Change{Name: entry.Name, Object: compactJSON(entry.Body)}
}

// compactJSON returns valid JSON without the space between its parts.
func compactJSON(data []byte) []byte {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, data); err != nil {
		return data
	}
	return buffer.Bytes()
}

// logPublished logs how many changes of a resource were published, and the version that it has now.
func logPublished(path distribution.Path, resource *Resource, changes int) {
	head := resource.Head()
	slog.Info("version published", logmsg.KeyResource, path.ResourceName(), "changes", changes, "epoch", head.Epoch,
		"index", head.Index, "at_unix_ms", time.Now().UnixMilli())
}
