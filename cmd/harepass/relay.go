package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/relay"
	"harepass/internal/wire"
)

const relayEnd = time.Second // for the answers that are being written at SIGTERM

// runRelay is the command: it gives the node list and the settings out until SIGTERM.
func runRelay(args []string, out io.Writer) error {
	fs := flag.NewFlagSet("relay", flag.ContinueOnError)
	path := fs.String("config", "", "the relay's file; deploy/relay.example.yaml explains it")
	if err := parse(fs, args, out); err != nil {
		return err
	}
	if *path == "" {
		return usageError{errors.New("relay: -config FILE is missing")}
	}
	ends, again := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(again, syscall.SIGHUP)
	file, err := loadRelay(*path)
	if err != nil {
		return usageError{err}
	}
	debug.SetMemoryLimit(int64(float64(file.MemoryMB) * memoryShare * (1 << 20)))
	if file.Cores > 0 {
		runtime.GOMAXPROCS(file.Cores)
	}
	r := newRelayProgram(file)
	if r.authority != nil {
		if err := r.authority.Load(); err != nil {
			return usageError{err}
		}
	}
	return r.run(ends, again)
}

// relayProgram is a running relay or authority.
type relayProgram struct {
	file      *relayFile
	server    *relay.Server
	authority *relay.Authority // nil for a relay
}

func newRelayProgram(f *relayFile) *relayProgram {
	epoch := int64(0) // a relay has its source's
	if f.Authority != nil {
		epoch = time.Now().UnixMilli()
	}
	budget := relay.NewSnapshotBudget(f.SnapshotBytes)
	instances := relay.NewResource(versionlog.New(epoch, f.Removals), budget)
	settings := relay.NewResource(versionlog.New(epoch, f.Removals), budget)
	r := &relayProgram{file: f, server: relay.NewServer(instances, settings, f.Readers)}
	if a := f.Authority; a != nil {
		r.authority = &relay.Authority{Endpoints: instances, Settings: settings, Discovery: a.Discovery, EndpointsFile: a.Nodes,
			SettingsFile: a.Settings, CheckSettings: checkFleetSettings}
	}
	return r
}

// run serves until one of ends comes; again has the authority read its files once more.
func (r *relayProgram) run(ends, again <-chan os.Signal) error {
	listener, err := net.Listen("tcp", r.file.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	slog.Info("relay listens", "address", listener.Addr().String(), "authority", r.authority != nil)
	go r.server.Serve(listener)
	go r.server.LogStatus(ctx, r.file.LogEvery)
	r.follow(ctx)
	untilEnd(ends, again, nil, r.reload, nil)
	cancel()
	listener.Close()
	ended := make(chan struct{})
	go func() { r.server.Shutdown(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(relayEnd):
	}
	slog.Info("relay ends")
	return nil
}

// follow starts what brings news.
func (r *relayProgram) follow(ctx context.Context) {
	if r.authority != nil {
		go r.authority.Run(ctx)
		return
	}
	for resource, kept := range map[distribution.Path]*relay.Resource{
		distribution.Endpoints: r.server.Endpoints, distribution.Settings: r.server.Settings} {
		config := distribution.Config{Path: resource, Heartbeat: r.file.Heartbeat, SilenceTolerance: r.file.Allowance}
		config = withSources(config, r.file.Sources, failover.Locality{Zone: r.file.Zone, Region: r.file.Region})
		go kept.Follow(ctx, config)
	}
}

// reload has the authority read its files again; a relay has none.
func (r *relayProgram) reload() {
	if r.authority == nil {
		return
	}
	if err := r.authority.Load(); err != nil {
		slog.Error("files refused", "err", err)
	}
}

// checkFleetSettings finds what is wrong with settings that are to replace others, as check does, or lists what they change.
func checkFleetSettings(old, next json.RawMessage) (changes []string, err error) {
	replacing, err := settingsSetup(next)
	if err != nil {
		return nil, err
	}
	if old == nil {
		old = next
	}
	replaced, err := settingsSetup(old)
	if err != nil {
		return nil, err
	}
	return replaced.replacedBy(replacing)
}

// settingsSetup is a setup that knows settings alone.
func settingsSetup(settings json.RawMessage) (*setup, error) {
	data, err := json.Marshal(map[string]json.RawMessage{"settings": settings})
	if err != nil {
		return nil, err
	}
	s := &setup{config: &config{Settings: settings, data: data}}
	s.settings, s.caps, err = wire.JSONSettings(settings)
	return s, err
}
