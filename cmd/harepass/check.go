package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"harepass/internal/config"
	"harepass/internal/core"
)

// runCheck reads and checks the same configuration as serve but starts nothing. It prints a summary of the
// configuration, or returns its fault.
func runCheck(args []string, out io.Writer) error {
	fs := newFlags("check")
	paths := pathFlags(fs)
	against := fs.String("against", "",
		"the configuration in force: lists what PROXY_CONFIG's settings would change in it")
	if err := parse(fs, args, out); err != nil {
		return err
	}
	c, err := config.Load(context.Background(), os.Getenv, *paths, core.SystemClock())
	if err != nil {
		return err
	}
	if _, err := core.New(core.Config{Settings: c.Settings}); err != nil {
		return &config.InvalidError{Err: err}
	}
	if *against != "" {
		changes, err := c.ChangesFrom(*against, os.Getenv)
		if err != nil {
			return &config.InvalidError{Err: err}
		}
		for _, change := range changes {
			fmt.Fprintln(out, "change:", change)
		}
	}
	printSummary(out, c)
	_, err = fmt.Fprintln(out, "ok")
	return err
}

// printSummary prints one line for each enabled part of a configuration. Scripts read these lines.
func printSummary(out io.Writer, c *config.Config) {
	fmt.Fprintf(out, "settings: %d classes, %d tenants, %d cells\n",
		len(c.Settings.Classes), len(c.Settings.Tenants), c.Settings.RingSize)
	if p := c.Platform; p != nil {
		fmt.Fprintf(out, "platform: %s on %s, discovery at %s\n", p.Name, p.Listen, p.Discovery)
	}
	if f := c.OpenSearch; f != nil {
		fmt.Fprintf(out, "opensearch: on %s, %d indices, %d callers\n", f.Listen, len(f.Indices), len(f.ClientTenants))
		if classes := f.TwoPhaseClasses(); len(classes) > 0 {
			fmt.Fprintf(out, "two phases: for searches of %s, %d KiB of retained values\n",
				strings.Join(classes, ", "), c.Limits.TwoPhaseCacheBytes()>>10)
		}
	}
	if f := c.Overload; f != nil {
		fmt.Fprintf(out, "overload control: loop delay %v, %d MB\n", f.LoopDelay, f.MemoryMB)
	}
	if f := c.Distribution; f != nil {
		fmt.Fprintf(out, "distribution: %s from %d relays, zone %q of region %q\n",
			strings.Join(f.Resources, ", "), len(f.Sources), f.Zone, f.Region)
	}
	if c.Inventory != nil {
		fmt.Fprintf(out, "inventory: %s, %d hosts\n", c.Inventory.Path, len(c.InventoryEndpoints))
	}
}
