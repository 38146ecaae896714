package lifecycle

import (
	"context"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"harepass/internal/config"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/logmsg"
	"harepass/internal/relay"
)

// relayShutdownTimeout is how long answers that are being written at shutdown may take.
const relayShutdownTimeout = time.Second

// RunRelay runs a relay or an authority with the configuration in its file until a signal to end arrives. It
// distributes the endpoint list and the settings.
func RunRelay(f *config.RelayFile, signals *Signals) error {
	debug.SetMemoryLimit(config.HeapBytes(f.MemoryMB))
	if f.Cores > 0 {
		runtime.GOMAXPROCS(f.Cores)
	}
	r := newRelayProcess(f)
	if r.authority != nil {
		if err := r.authority.Load(); err != nil {
			return &config.InvalidError{Err: err}
		}
	}
	return r.run(signals)
}

// relayProcess is a running relay or authority.
type relayProcess struct {
	file      *config.RelayFile
	server    *relay.Server
	authority *relay.Authority // nil for a relay
}

// newRelayProcess returns a relay or an authority with empty version logs. An authority's epoch is its start time in
// Unix milliseconds, so that its versions supersede those of the previous process.
func newRelayProcess(f *config.RelayFile) *relayProcess {
	epoch := int64(0) // a relay adopts the epoch of its source
	if f.Authority != nil {
		epoch = time.Now().UnixMilli()
	}
	budget := relay.NewSnapshotBudget(f.SnapshotBytes)
	endpoints := relay.NewResource(versionlog.New(epoch, f.Removals), budget)
	settings := relay.NewResource(versionlog.New(epoch, f.Removals), budget)
	r := &relayProcess{file: f, server: relay.NewServer(endpoints, settings, f.Readers)}
	if a := f.Authority; a != nil {
		r.authority = &relay.Authority{Endpoints: endpoints, Settings: settings, Discovery: a.Discovery,
			EndpointsFile: a.EndpointsPath, SettingsFile: a.SettingsPath, CheckSettings: config.CheckFleetSettings}
	}
	return r
}

// run serves readers until a signal to end arrives. On a reload signal an authority reads its files again.
func (r *relayProcess) run(signals *Signals) error {
	listener, err := net.Listen("tcp", r.file.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	slog.Info("relay listener opened", "address", listener.Addr().String(), "authority", r.authority != nil)
	go r.server.Serve(listener)
	go r.server.LogStatus(ctx, r.file.LogEvery)
	r.follow(ctx)
	untilEnd(signals, nil, r.reload, nil)
	cancel()
	listener.Close()
	ended := make(chan struct{})
	go func() { r.server.Shutdown(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(relayShutdownTimeout):
	}
	slog.Info("relay stopped")
	return nil
}

// follow starts the sources of the endpoint list and the settings: the authority's own sources, or for a relay the
// followers of its upstream.
func (r *relayProcess) follow(ctx context.Context) {
	if r.authority != nil {
		go r.authority.Run(ctx)
		return
	}
	for path, resource := range map[distribution.Path]*relay.Resource{
		distribution.Endpoints: r.server.Endpoints, distribution.Settings: r.server.Settings} {
		go resource.Follow(ctx, r.file.Follower(distribution.Config{Path: path}))
	}
}

// reload makes an authority read its files again. It does nothing for a relay, which has no such files.
func (r *relayProcess) reload() {
	if r.authority == nil {
		return
	}
	if err := r.authority.Load(); err != nil {
		slog.Error(logmsg.AuthorityFilesRejected, logmsg.KeyError, err)
	}
}
