package main

import (
	"errors"
	"io"

	"harepass/internal/config"
	"harepass/internal/lifecycle"
)

// errNoRelayFile means that the relay sub-command was called without -config.
var errNoRelayFile = errors.New("relay: -config FILE is missing")

// runRelay distributes the endpoint list and the settings until SIGTERM or SIGINT.
func runRelay(args []string, out io.Writer) error {
	fs := newFlags("relay")
	path := fs.String("config", "", "the relay's file; deploy/relay.example.yaml explains it")
	if err := parse(fs, args, out); err != nil {
		return err
	}
	if *path == "" {
		return usageError{errNoRelayFile}
	}
	signals := lifecycle.NotifySignals()
	ctx, stop := signals.Context()
	file, err := config.LoadRelay(ctx, *path)
	stop()
	if errors.Is(err, lifecycle.ErrEnded) {
		return nil
	}
	if err != nil {
		return err
	}
	return lifecycle.RunRelay(file, signals)
}
