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

// Soak is a row of soaks of internal/test/faultinjection, each drawn from a seed of its own.
type Soak struct {
	Program  string // the built program
	Settings string // file of the site's settings, as the platform words them
	First    uint64
	Seeds    int
	AtOnce   int      // so many fleets side by side
	Only     []string // kinds of steps; all where it is empty
	Timeline string   // folder for what happened with seeds that break something; empty for none
}

// ErrBroken is returned where a seed broke something.
var ErrBroken = errors.New("rigplay: the soak broke something")

// Play plays all seeds, says what became of each, and how often each kind of trouble was met.
func (s Soak) Play(out io.Writer) error {
	settings, err := os.ReadFile(s.Settings)
	if err != nil {
		return err
	}
	if s.Program, err = filepath.Abs(s.Program); err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex // guards out and what follows
	met, broken := map[string]int{}, 0
	slots := make(chan struct{}, max(1, s.AtOnce))
	for seed := s.First; seed < s.First+uint64(s.Seeds); seed++ {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			scenario := faultinjection.Soak(seed, s.Only...)
			err := s.playOne(scenario, settings, &lockedWriter{&mu, out})
			mu.Lock()
			defer mu.Unlock()
			for _, st := range scenario.Steps {
				met[st.Kind()]++
			}
			if err != nil {
				broken++
				fmt.Fprintf(out, "seed %d broke: %v\n", seed, err)
			}
		})
	}
	wg.Wait()
	fmt.Fprintf(out, "%d seeds, %d broke something; steps %v\n", s.Seeds, broken, met)
	if broken > 0 {
		return ErrBroken
	}
	return nil
}

// lockedWriter writes whole lines of several soaks.
type lockedWriter struct {
	mu  *sync.Mutex
	out io.Writer
}

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func (s Soak) playOne(scenario *faultinjection.Scenario, settings []byte, out io.Writer) error {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := faultinjection.NewFleet(faultinjection.FleetConfig{Dir: dir, Command: []string{s.Program, "serve"}, Settings: settings}, scenario)
	if err != nil {
		return err
	}
	err = f.Play()
	f.PrintSummary(out)
	if err != nil && s.Timeline != "" {
		file, e := os.Create(filepath.Join(s.Timeline, scenario.Name+".txt"))
		if e == nil {
			e = errors.Join(f.Print(file), file.Close())
		}
		err = errors.Join(err, e)
	}
	return errors.Join(err, f.Close())
}
