// Command adapter plays many instances of the decision module on the simulator's wire: batches on standard input,
// replies on standard output. It decides nothing.
package main

import (
	"fmt"
	"io"
	"os"

	"harepass/internal/decide/scatter"
	"harepass/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run plays all batches; it returns nil at the clean end of input.
func run(in io.Reader, out io.Writer) error {
	decoder, encoder := wire.NewDecoder(in), wire.NewEncoder(out)
	a := adapter{machines: map[string]*scatter.Machine{}}
	for {
		batch, err := decoder.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		inputs, err := a.applyBatch(batch)
		if err != nil {
			return err
		}
		for _, in := range inputs {
			if in.machine != nil {
				in.play(encoder, batch)
			}
		}
		if err := encoder.End(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// adapter holds the instances that run.
type adapter struct {
	machines map[string]*scatter.Machine
}

// input is what one instance gets in a batch.
type input struct {
	instance string
	machine  *scatter.Machine // nil where the instance was stopped in this batch
	events   []scatter.Event
}

// applyBatch starts and stops instances and sorts a batch's events by instance, in order of each one's first event,
// so that replies are reproducible. Events of an instance that never started are dropped.
func (a *adapter) applyBatch(batch wire.Batch) (inputs []*input, err error) {
	current := map[string]*input{}
	for _, m := range batch.Messages {
		switch {
		case m.Start != nil:
			machine, err := scatter.New(m.Start.Seed, m.Start.Settings)
			if err != nil {
				return nil, fmt.Errorf("line %d: settings of %s: %w", m.Line, m.Instance, err)
			}
			a.machines[m.Instance] = machine
			delete(current, m.Instance)
		case m.Stop:
			delete(a.machines, m.Instance)
			if in := current[m.Instance]; in != nil {
				in.machine = nil
				delete(current, m.Instance)
			}
		case a.machines[m.Instance] != nil:
			in := current[m.Instance]
			if in == nil {
				in = &input{instance: m.Instance, machine: a.machines[m.Instance]}
				current[m.Instance] = in
				inputs = append(inputs, in)
			}
			in.events = append(in.events, m.Event)
		}
	}
	return inputs, nil
}

// play steps an instance and writes what it asks for, or that its code failed.
func (in *input) play(encoder *wire.Encoder, batch wire.Batch) {
	actions, err := in.step(batch)
	if err != nil {
		encoder.Exception(in.instance, err.Error())
		return
	}
	encoder.Actions(in.instance, actions)
}

// step turns a panic of the decision code into an error, so that the other instances go on; the simulator counts it
// as a fault of this one.
func (in *input) step(batch wire.Batch) (actions []scatter.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return in.machine.Step(batch.Time, in.events), nil
}
