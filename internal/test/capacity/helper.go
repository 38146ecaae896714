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

// Helpers starts a helper: the data nodes, the relay or the relay's readers that the measured code talks to. The CPU
// time of a helper in its own process is not measured.
type Helpers func(args ...string) (*helper, error)

// helper is the peer of the measured code. It writes a line when it has started. A relay and readers also reply
// to each input line.
type helper struct {
	in  io.WriteCloser
	out *bufio.Reader
	end func()
}

// request sends a line to the helper and returns the helper's reply.
func (h *helper) request(line string) (answer string, err error) {
	if _, err := fmt.Fprintln(h.in, line); err != nil {
		return "", err
	}
	return h.readLine()
}

func (h *helper) readLine() (answer string, err error) {
	answer, err = h.out.ReadString('\n')
	return strings.TrimSpace(answer), err
}

// close closes the input, which ends the helper, and waits until it has ended.
func (h *helper) close() {
	h.in.Close()
	h.end()
}

// startHelper starts a helper and returns its first line.
func startHelper(start Helpers, args ...string) (h *helper, first string, err error) {
	if h, err = start(args...); err != nil {
		return nil, "", err
	}
	if first, err = h.readLine(); err != nil {
		h.close()
		return nil, "", fmt.Errorf("capacity: helper %q wrote no first line: %w", args, err)
	}
	return h, first, nil
}

// HelpInThisProcess runs a helper in this process, so that its CPU time is measured too. It is for tests, and for
// refusalByParts, whose rejected queries send no parts to the helper.
func HelpInThisProcess(args ...string) (*helper, error) {
	in, toHelper := io.Pipe()
	fromHelper, out := io.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		out.CloseWithError(RunHelper(args, in, out))
	}()
	return &helper{in: toHelper, out: bufio.NewReader(fromHelper), end: func() { <-done }}, nil
}

// HelpInChildProcess returns Helpers that run each helper in its own process, as a command of this program.
func HelpInChildProcess(command string) Helpers {
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

// The kinds of helper: the first argument of RunHelper.
const (
	// helpNodes serves data nodes at one address, which it writes first. Each part takes some milliseconds.
	helpNodes = "nodes"
	// helpRelay takes the argument NODES. It runs an authority with that number of entries, writes its address first,
	// and publishes a change for each input line.
	helpRelay = "relay"
	// helpReaders takes the arguments ADDRESS EPOCH INDEX COUNT HOLD. It runs COUNT readers that watch the relay at
	// ADDRESS from that version, each watch held for HOLD milliseconds. For each input line, one more reader reads the
	// full list.
	helpReaders = "readers"
)

// errUnknownHelper is returned for an unknown kind of helper or a wrong number of arguments.
var errUnknownHelper = errors.New("capacity: unknown kind of helper or wrong number of arguments")

// RunHelper runs a helper until its input ends.
func RunHelper(args []string, in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	switch {
	case args[0] == helpNodes:
		return runNodesHelper(lines, out)
	case args[0] == helpRelay && len(args) == 2:
		return runRelayHelper(args[1], lines, out)
	case args[0] == helpReaders && len(args) == 6:
		return runReadersHelper(args[1:], lines, out)
	}
	return errUnknownHelper
}

// runNodesHelper serves data nodes until its input ends.
func runNodesHelper(in io.Reader, out io.Writer) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close()
	go (&fake.Replicas{OnPart: func(fake.Part, fake.Kind) {}, Script: func(shard, _ int) fake.Reply {
		return fake.Reply{After: time.Duration(5+shard*37%15) * time.Millisecond} // service times differ between shards
	}}).ServeFrames(l)
	if _, err := fmt.Fprintln(out, l.Addr()); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, in)
	return err
}

// handleLines calls do for each input line and replies with a line. It returns the first error.
func handleLines(in *bufio.Reader, out io.Writer, do func() error) error {
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
