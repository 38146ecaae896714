package capacity

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"time"

	"harepass/internal/test/fake"
)

// Helpers starts the other side of what is measured: data nodes, a relay, or readers of one. In a process of its own its CPU
// time does not count.
type Helpers func(args ...string) (*helper, error)

// helper is the other side. It tells a line at its start, and one for each line that it is told.
type helper struct {
	in  io.WriteCloser
	out *bufio.Reader
	end func()
}

// say tells the helper a line and returns its answer.
func (h *helper) say(line string) (answer string, err error) {
	if _, err := fmt.Fprintln(h.in, line); err != nil {
		return "", err
	}
	return h.hear()
}

func (h *helper) hear() (answer string, err error) {
	answer, err = h.out.ReadString('\n')
	return strings.TrimSpace(answer), err
}

// close ends the helper and waits for it.
func (h *helper) close() {
	h.in.Close()
	h.end()
}

// startHelper starts one and returns the line that it tells first.
func startHelper(start Helpers, args ...string) (h *helper, first string, err error) {
	if h, err = start(args...); err != nil {
		return nil, "", err
	}
	if first, err = h.hear(); err != nil {
		h.close()
		return nil, "", fmt.Errorf("capacity: helper %q: %w", args, err)
	}
	return h, first, nil
}

// HelpHere has helpers in this process, whose CPU time then counts theirs too: for tests.
func HelpHere(args ...string) (*helper, error) {
	in, toHelper := io.Pipe()
	fromHelper, out := io.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		out.CloseWithError(Help(args, in, out))
	}()
	return &helper{in: toHelper, out: bufio.NewReader(fromHelper), end: func() { <-done }}, nil
}

// HelpInProcess has helpers in processes of their own, started as a command of this program.
func HelpInProcess(command string) Helpers {
	return func(args ...string) (*helper, error) {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		cmd := exec.Command(self, append([]string{command}, args...)...)
		cmd.Stderr = os.Stderr
		in, err := cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		return &helper{in: in, out: bufio.NewReader(out), end: func() { cmd.Wait() }}, nil
	}
}

// The kinds of helper, the first of their arguments.
const (
	helpNodes   = "nodes"   // data nodes that serve each part after some milliseconds, all at the address told
	helpRelay   = "relay"   // NODES: an authority, at the address told, with so many entries; each line publishes a change
	helpReaders = "readers" // ADDRESS EPOCH INDEX COUNT HOLD: readers that watch; a line has one more read the whole list
)

// errHelp tells of a helper that does not exist.
var errHelp = errors.New("capacity: no such helper")

// Help is a helper until its input ends.
func Help(args []string, in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	switch {
	case args[0] == helpNodes:
		return helpWithNodes(lines, out)
	case args[0] == helpRelay && len(args) == 2:
		return helpWithRelay(args[1], lines, out)
	case args[0] == helpReaders && len(args) == 6:
		return helpWithReaders(args[1:], lines, out)
	}
	return errHelp
}

// helpWithNodes serves data nodes.
func helpWithNodes(in io.Reader, out io.Writer) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close()
	go (&fake.Replicas{OnPart: func(fake.Part, fake.Kind) {}, Script: func(shard, _ int) fake.Reply {
		return fake.Reply{After: time.Duration(5+shard*37%15) * time.Millisecond} // apart from each other
	}}).ServeFrames(l)
	if _, err := fmt.Fprintln(out, l.Addr()); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, in)
	return err
}

// obey answers each line of a helper's input with the outcome of a function.
func obey(in *bufio.Reader, out io.Writer, do func() error) error {
	for {
		if _, err := in.ReadString('\n'); err != nil {
			return nil
		}
		if err := do(); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out, "done"); err != nil {
			return err
		}
	}
}
