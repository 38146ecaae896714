package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"harepass/internal/decide/backoff"
	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/logmsg"
)

const (
	// batchInterval is how long changes are collected after the first change of a batch, so that several changes with a
	// common cause reach readers in one slice.
	batchInterval = 30 * time.Millisecond
	// maxDiscoveryBody is the size limit of the body of a discovery answer, in bytes.
	maxDiscoveryBody = 4 << 20
)

// Authority publishes its own versions of two resources: the endpoint list, from the discovery service or a file, and
// the settings, from a file. Its fields must be set before the first call of Load or Run.
type Authority struct {
	// Endpoints is the resource in which the endpoint list is published.
	Endpoints *Resource
	// Settings is the resource in which the settings are published.
	Settings *Resource
	// Discovery is the address of the discovery service. It is empty if the list does not come from discovery.
	Discovery string
	// EndpointsFile is the path of a file with a complete endpoint list in the form of discovery's answers. It is empty
	// if the list does not come from a file.
	EndpointsFile string
	// SettingsFile is the path of a file with the settings as one JSON object. It is empty if there are no settings.
	SettingsFile string
	// CheckSettings checks settings before they are published.
	CheckSettings SettingsCheck

	settings json.RawMessage // the settings published last; nil before the first publication; only Load uses it
}

// Load reads the files and publishes their changes. It is called at the start and for each reload, by one goroutine at
// a time. It reads and checks both files before it publishes either: if reading or checking fails, nothing has changed.
// If the log rejects a publication, an endpoint list that the same call has published stays published. The errors
// contain the file's path.
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

// publishEndpoints publishes the complete endpoint list that was read from EndpointsFile.
func (a *Authority) publishEndpoints(list []versionlog.Change) error {
	a.Endpoints.SetStalenessFunc(neverStale)
	published, err := a.Endpoints.Replace(list)
	if err != nil {
		return fmt.Errorf("%s: %w", a.EndpointsFile, err)
	}
	logPublished(distribution.Endpoints, a.Endpoints, published)
	return nil
}

// publishSettings publishes settings and logs what they change.
func (a *Authority) publishSettings(settings json.RawMessage, changes []string) error {
	a.Settings.SetStalenessFunc(neverStale)
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

// neverStale is the staleness function of a resource that is published from a file. A file that has changed since the
// last Load does not count as a newer version.
func neverStale() time.Duration { return 0 }

// Run follows the discovery service and publishes its changes until ctx ends. It returns at once if Discovery is empty.
// Load may run concurrently. The resource's staleness is that of the follower's copy: it includes neither the time that
// changes wait in a batch nor that the log has rejected some.
func (a *Authority) Run(ctx context.Context) {
	if a.Discovery == "" {
		return
	}
	changes := make(chan []versionlog.Change)
	follower := distribution.New(distribution.Config{Path: distribution.Endpoints, AcceptAnySnapshot: true,
		FirstCallTimeout: backoff.CallTimeout, MaxBody: maxDiscoveryBody,
		Sources: []failover.Source{{Address: a.Discovery}}, Check: checkEndpoints,
		Apply: func(update distribution.Update) {
			select {
			case changes <- changesOf(update):
			case <-ctx.Done(): // publishBatches may have returned, and must not block the follower
			}
		}})
	a.Endpoints.SetStalenessFunc(func() time.Duration { return follower.Status().Staleness })
	var following sync.WaitGroup
	following.Go(func() { follower.Run(ctx) })
	defer following.Wait()
	a.publishBatches(ctx, changes)
}

// publishBatches publishes incoming changes in batches, each of them batchInterval after its first change, until ctx
// ends. A batch that is not due by then is dropped. Changes that the log rejects are left out of their batch. The line
// "version published" is logged for each batch that is empty or has at least one valid change, even if the batch
// changes nothing: then its count of changes is 0, and its version is the previous one.
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

// publishBatch publishes the valid changes of a batch. The log accepts a batch as a whole or not at all, so a batch
// with an invalid change is published change by change. If the whole batch were dropped, its valid changes, which may
// include a drain, would wait until discovery sends them again.
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

// changesOf returns the changes in an update from the discovery service.
func changesOf(update distribution.Update) (changes []versionlog.Change) {
	for _, entry := range update.Entries {
		changes = append(changes, changeOf(entry))
	}
	for _, name := range update.MissingFromSnapshot {
		changes = append(changes, versionlog.Change{Name: name, Removed: true})
	}
	return changes
}

// changeOf returns the change that publishes an entry's state.
func changeOf(entry versionlog.Entry) versionlog.Change {
	if entry.Removed {
		return versionlog.Change{Name: entry.Name, Removed: true}
	}
	return versionlog.Change{Name: entry.Name, Object: compactJSON(entry.Body)}
}

// compactJSON returns JSON without insignificant white space. It returns data that is not valid JSON unchanged.
func compactJSON(data []byte) []byte {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, data); err != nil {
		return data
	}
	return buffer.Bytes()
}

// logPublished logs the number of published changes of a resource, and the resource's version after them. It reads the
// version under a lock of its own, so the version may already include a later publication.
func logPublished(path distribution.Path, resource *Resource, changes int) {
	head := resource.Head()
	slog.Info("version published", logmsg.KeyResource, path.ResourceName(), "changes", changes, "epoch", head.Epoch,
		"index", head.Index, "at_unix_ms", time.Now().UnixMilli())
}
