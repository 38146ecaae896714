package main

import (
	"context"
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

	"harepass"
	"harepass/internal/core"
	"harepass/internal/http1"
	"harepass/internal/platform"
)

const (
	acceptAfterTerm = 700 * time.Millisecond // clients find out late that a coordinator leaves
	memoryShare     = 0.6                    // of the limit, for the collector; stacks and buffers of sockets come on top
	nodeSockets     = 256                    // descriptors kept for nodes, discovery and the program's own
)

func serve(args []string, _ io.Writer) error {
	if err := parse(flag.NewFlagSet("serve", flag.ContinueOnError), args); err != nil {
		return err
	}
	cfg, err := loadConfig(os.Getenv)
	if err != nil {
		return err
	}
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.Limits.MemoryMB) * memoryShare * (1 << 20)))
	}
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)

	clock := core.SystemClock()
	disc := platform.NewDiscovery(cfg.Discovery)
	nodes := &platform.Nodes{Streams: cfg.caps.Streams, ConnectTimeout: cfg.caps.ConnectTimeout, KeepAlive: cfg.caps.KeepAlive}
	owner, err := core.New(core.Config{Seed: cfg.seed, Settings: cfg.settings, Limits: core.Limits{Open: cfg.caps.Open},
		Clock: clock, Callers: map[string]core.Caller{platform.Scheme: nodes}, Subscribe: disc.Subscribe})
	if err != nil {
		return usageError{err}
	}
	disc.Owner, nodes.Owner = owner, owner
	owner.Listed(harepass.ListRemembered, cfg.known)

	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	front := &platform.Front{Owner: owner, Clock: clock}
	server := &http1.Server{Handler: front.Handle, Limits: http1.DefaultLimits, Conns: max(1, cfg.Limits.Sockets-nodeSockets)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go owner.Run()
	go disc.Run(ctx)
	go server.Serve(listener)
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen)

	<-term
	slog.Info("draining")
	owner.Drain()
	server.Drain()
	time.Sleep(acceptAfterTerm)
	listener.Close()
	server.Shutdown()
	owner.Stop()
	nodes.Close()
	slog.Info("stopped")
	return nil
}
