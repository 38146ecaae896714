package faultcli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"harepass/internal/test/faultinjection"
)

// Scenario defines how a scenario of internal/test/faultinjection is run.
type Scenario struct {
	Program      string // path of the built program
	Settings     string // path of the site's settings, as JSON
	TimelineFile string // path to which the timeline is written; empty for none
}

// Play runs the scenario of a file and reports the outcomes of the requests. The error joins the violations of rules
// and other failures.
func (p Scenario) Play(file string, out io.Writer) (err error) {
	s, err := faultinjection.Load(file)
	if err != nil {
		return err
	}
	settings, err := os.ReadFile(p.Settings)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	began := time.Now()
	f, err := newFleet(dir, p.Program, settings, s)
	if err != nil {
		return err
	}
	err = f.Play()
	f.PrintSummary(out)
	printProcessStats(out, f, time.Since(began))
	if err == nil {
		fmt.Fprintf(out, "%s: all rules held\n", s.Name)
	}
	if p.TimelineFile != "" {
		var text strings.Builder
		err = errors.Join(err, f.Print(&text), os.WriteFile(p.TimelineFile, []byte(text.String()), 0o644))
	}
	return errors.Join(err, f.Close())
}

// printProcessStats writes one line with the number, startup times and memory of a fleet's processes.
func printProcessStats(out io.Writer, f *faultinjection.Fleet, elapsed time.Duration) {
	startupTimes, peakMemoryKB := f.ProcessStats()
	const kbPerMB = 1024.0
	fmt.Fprintf(out, "%s: %d processes; serving after %v in the median, %.0f MB each in the median, "+
		"%.0f MB at most; %v in all\n",
		f.Name, len(startupTimes), median(startupTimes).Round(time.Millisecond),
		float64(median(peakMemoryKB))/kbPerMB, float64(slices.Max(append(peakMemoryKB, 0)))/kbPerMB,
		elapsed.Round(100*time.Millisecond))
}

// median sorts values in place and returns the middle one, or the upper of the two middle ones; 0 if there are none.
func median[T int | time.Duration](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
