// Package faultcli plays the rig's scenarios and upgrades, of real processes of the program, by hand and says what came of them.
package faultcli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"harepass/internal/test/faultinjection"
)

// Scenario is how a scenario of internal/test/faultinjection is played.
type Scenario struct {
	Program  string // the built program
	Settings string // file of the site's settings, as the platform words them
	Timeline string // file for all that happened; empty for none
}

// Play plays a file and says what became of the requests. The error tells what did not hold.
func (p Scenario) Play(file string, out io.Writer) (err error) {
	s, err := faultinjection.Load(file)
	if err != nil {
		return err
	}
	settings, err := os.ReadFile(p.Settings)
	if err != nil {
		return err
	}
	program, err := filepath.Abs(p.Program)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	start := time.Now()
	f, err := faultinjection.NewFleet(faultinjection.FleetConfig{Dir: dir, Command: []string{program, "serve"}, Settings: settings}, s)
	if err != nil {
		return err
	}
	err = f.Play()
	started, memory := f.ProcessStats()
	f.PrintSummary(out)
	fmt.Fprintf(out, "%s: %d processes; serving after %v in the median, %.0f MB each in the median, %.0f MB at most; %v in all\n", s.Name, len(started),
		median(started).Round(time.Millisecond), float64(median(memory))/1024, float64(slices.Max(append(memory, 0)))/1024, time.Since(start).Round(100*time.Millisecond))
	if err == nil {
		fmt.Fprintf(out, "%s: all that has to hold held\n", s.Name)
	}
	if p.Timeline != "" {
		var text strings.Builder
		err = errors.Join(err, f.Print(&text), os.WriteFile(p.Timeline, []byte(text.String()), 0o644))
	}
	return errors.Join(err, f.Close())
}

func median[T int | time.Duration](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
