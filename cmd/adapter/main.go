// Command adapter plays many instances of the decision module on the simulator's wire: batches on
// standard input, replies on standard output. It decides nothing.
package main

import (
	"fmt"
	"io"
	"os"

	"harepass"
	"harepass/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// turn gathers what one instance is told in a batch.
type turn struct {
	root   string
	agg    *harepass.Aggregator
	events []harepass.Event
}

func run(in io.Reader, out io.Writer) error {
	dec, enc := wire.NewDecoder(in), wire.NewEncoder(out)
	roots := map[string]*harepass.Aggregator{}
	for {
		batch, err := dec.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var turns []*turn // in order of each instance's first event, so replies are reproducible
		current := map[string]*turn{}
		for _, m := range batch.Messages {
			switch {
			case m.Start != nil:
				agg, err := harepass.New(m.Start.Seed, m.Start.Settings)
				if err != nil {
					return fmt.Errorf("line %d: settings of %s: %w", m.Line, m.Root, err)
				}
				roots[m.Root] = agg
				delete(current, m.Root)
			case m.Stop:
				delete(roots, m.Root)
				if t := current[m.Root]; t != nil {
					t.agg = nil
					delete(current, m.Root)
				}
			default:
				t := current[m.Root]
				if t == nil {
					if roots[m.Root] == nil {
						continue // an instance that never started
					}
					t = &turn{root: m.Root, agg: roots[m.Root]}
					current[m.Root] = t
					turns = append(turns, t)
				}
				t.events = append(t.events, m.Event)
			}
		}
		for _, t := range turns {
			if t.agg == nil {
				continue
			}
			actions, err := step(t, batch)
			if err != nil {
				enc.Exception(t.root, err.Error())
				continue
			}
			enc.Actions(t.root, actions)
		}
		if err := enc.End(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

func step(t *turn, batch wire.Batch) (actions []harepass.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return t.agg.Step(batch.Time, t.events), nil
}
