package main

import (
	"errors"
	"io"
	"log/slog"
	"os"

	"harepass/internal/config"
	"harepass/internal/core"
	"harepass/internal/lifecycle"
)

// runServe runs a coordinator until SIGTERM or SIGINT, and then drains it.
func runServe(args []string, out io.Writer) error {
	fs := newFlags("serve")
	paths := pathFlags(fs)
	trace := fs.Bool("trace", false,
		"write each query, attempt, connection and list call to the log; for a look, not for service")
	if err := parse(fs, args, out); err != nil {
		return err
	}
	if *trace {
		slog.SetLogLoggerLevel(slog.LevelDebug)
	}
	signals := lifecycle.NotifySignals()
	clock := core.SystemClock()
	ctx, stop := signals.Context()
	c, err := config.Load(ctx, os.Getenv, *paths, clock)
	stop()
	if errors.Is(err, lifecycle.ErrEnded) {
		return nil
	}
	if err != nil {
		return err
	}
	return lifecycle.RunCoordinator(c, os.Getenv, signals, clock, version)
}
