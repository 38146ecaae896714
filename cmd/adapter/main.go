// Command adapter runs many instances of the decision module for the simulator. It reads batches of events from
// standard input and writes replies to standard output. It makes no decisions itself.
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

// run processes all batches and returns nil at the clean end of the input.
func run(stdin io.Reader, stdout io.Writer) error {
	decoder, encoder := wire.NewDecoder(stdin), wire.NewEncoder(stdout)
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
				in.writeReply(encoder, batch) // a failed write is reported by End
			}
		}
		if err := encoder.End(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// adapter holds the running instances.
type adapter struct {
	machines map[string]*scatter.Machine
}

// input holds the events of one instance in a batch. An instance that is started again within the batch has a second
// input for the events that follow.
type input struct {
	instance string
	machine  *scatter.Machine // nil if the instance was stopped after these events and before any new start
	events   []scatter.Event
}

// applyBatch starts and stops instances and groups a batch's events by instance, in the order of each instance's first
// event, so that replies are reproducible. It drops events of instances that are not running.
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

// writeReply steps an instance and writes its actions, or an exception line if its decision code panicked.
func (in *input) writeReply(encoder *wire.Encoder, batch wire.Batch) {
	actions, err := in.step(batch)
	if err != nil {
		encoder.Exception(in.instance, err.Error())
		return
	}
	encoder.Actions(in.instance, actions)
}

// step passes the events to the decision code and converts a panic into an error, so that the other instances continue.
// The simulator counts the exception line as a fault of this instance, which keeps running as well.
func (in *input) step(batch wire.Batch) (actions []scatter.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return in.machine.Step(batch.Time, in.events), nil
}
