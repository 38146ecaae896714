package faultcli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"harepass/internal/test/faultinjection"
)

// Soak says which soaks of internal/test/faultinjection are played, each drawn from a seed of its own.
type Soak struct {
	Program     string   // the built program
	Settings    string   // file of the site's settings, as JSON
	FirstSeed   uint64   // the others count up from it
	Seeds       int      // how many
	Parallel    int      // fleets side by side; fewer than 1 counts as 1
	Kinds       []string // kinds of steps that are kept, as faultinjection.Step.Kind names them; all where it is empty
	TimelineDir string   // existing folder that gets the timelines of seeds that fail; empty for none
}

// ErrSoakFailed says that something did not hold with a seed.
var ErrSoakFailed = errors.New("faultcli: something did not hold in the soak")

// Play plays all seeds, and reports what became of each and how often each kind of step was played. It returns
// ErrSoakFailed where something did not hold with a seed.
func (s Soak) Play(out io.Writer) error {
	settings, err := os.ReadFile(s.Settings)
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	var mu sync.Mutex // guards out, steps and failed
	steps, failed := map[string]int{}, 0
	slots := make(chan struct{}, max(1, s.Parallel))
	for seed := s.FirstSeed; seed < s.FirstSeed+uint64(s.Seeds); seed++ {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			scenario := faultinjection.Soak(seed, s.Kinds...)
			err := s.playOne(scenario, settings, &synchronizedWriter{&mu, out})
			mu.Lock()
			defer mu.Unlock()
			for _, st := range scenario.Steps {
				steps[st.Kind()]++
			}
			if err != nil {
				failed++
				fmt.Fprintf(out, "seed %d failed: %v\n", seed, err)
			}
		})
	}
	running.Wait()
	fmt.Fprintf(out, "%d seeds, %d failed; steps %v\n", s.Seeds, failed, steps)
	if failed > 0 {
		return ErrSoakFailed
	}
	return nil
}

// playOne plays one soak in a folder of its own.
func (s Soak) playOne(scenario *faultinjection.Scenario, settings []byte, out io.Writer) error {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := newFleet(dir, s.Program, settings, scenario)
	if err != nil {
		return err
	}
	err = f.Play()
	f.PrintSummary(out)
	if err != nil && s.TimelineDir != "" {
		err = errors.Join(err, s.writeTimeline(f))
	}
	return errors.Join(err, f.Close())
}

// writeTimeline writes the timeline of a soak that failed.
func (s Soak) writeTimeline(f *faultinjection.Fleet) error {
	file, err := os.Create(filepath.Join(s.TimelineDir, f.Name+".txt"))
	if err != nil {
		return err
	}
	return errors.Join(f.Print(file), file.Close())
}

// synchronizedWriter lets several soaks write to one writer, a line at a time.
type synchronizedWriter struct {
	mu  *sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (w *synchronizedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}
