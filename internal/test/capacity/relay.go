package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"time"

	"harepass/internal/decide/versionlog"
	"harepass/internal/http1"
	"harepass/internal/relay"
)

const (
	relayEpoch    = 7
	relayRemovals = 10_000
	relayBudget   = 1 << 30 // bytes a second; no reader waits for it, because only CPU time is measured
	relayReaders  = 4000
	relayBody     = 64 << 10         // size limit of an answer
	longHold      = 20 * time.Second // no measurement waits until a watch of this length ends
	pollEvery     = time.Millisecond
)

// relaySource is an authority that serves a list of nodes on a loopback address.
type relaySource struct {
	instances *relay.Resource
	server    *relay.Server
	listener  net.Listener
	nodes     int
	no        int
}

func newRelaySource(nodes int) (*relaySource, error) {
	budget := relay.NewSnapshotBudget(relayBudget)
	r := &relaySource{nodes: nodes, instances: relay.NewResource(versionlog.New(relayEpoch, relayRemovals), budget)}
	settings := relay.NewResource(versionlog.New(relayEpoch, relayRemovals), budget)
	var changes []versionlog.Change
	for _, e := range entries(nodes) {
		changes = append(changes, versionChange(e))
	}
	if _, err := r.instances.Publish(changes); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.listener, r.server = listener, relay.NewServer(r.instances, settings, relayReaders)
	go r.server.Serve(listener)
	return r, nil
}

func versionChange(e wireEntry) versionlog.Change {
	object, err := json.Marshal(e)
	if err != nil {
		panic(err) // cannot fail: only numbers and strings
	}
	return versionlog.Change{Name: e.Name, Object: object}
}

// change publishes the restart of the next node.
func (r *relaySource) change() error {
	r.no++
	_, err := r.instances.Publish([]versionlog.Change{versionChange(entry(r.no%r.nodes, time.Duration(time.Now().UnixNano())))})
	return err
}

func (r *relaySource) end() {
	r.listener.Close()
	r.server.Shutdown()
}

// runRelayHelper serves a list with the given number of nodes, and publishes a change for each input line.
func runRelayHelper(nodes string, in *bufio.Reader, out io.Writer) error {
	n, err := strconv.Atoi(nodes)
	if err != nil {
		return err
	}
	r, err := newRelaySource(n)
	if err != nil {
		return err
	}
	defer r.end()
	if _, err := fmt.Fprintln(out, r.listener.Addr()); err != nil {
		return err
	}
	return handleLines(in, out, r.change)
}

// reader reads endpoint lists from a relay.
type reader struct {
	client http1.Client
	from   versionlog.Cursor
}

// read makes one call, which returns the next slice of the full list or newer changes.
func (r *reader) read(ctx context.Context, hold time.Duration) (more bool, err error) {
	target := fmt.Sprintf("%s?epoch=%d&from=%d&base=%d&hold_ms=%d", relay.EndpointsPath, r.from.Epoch, r.from.Index, r.from.Base, hold.Milliseconds())
	answer, _, err := r.client.Do(ctx, &http1.Message{Method: "GET", Target: target, Header: textproto.MIMEHeader{"Host": {r.client.Address}}})
	if err != nil {
		return false, err
	}
	if answer.Status != 200 {
		return false, fmt.Errorf("capacity: relay returned status %d, want 200", answer.Status)
	}
	slice, err := versionlog.ParseSlice(answer.Body)
	if err != nil {
		return false, err
	}
	r.from = r.from.After(slice)
	return slice.More(), nil
}

func newReader(address string, from versionlog.Cursor) *reader {
	return &reader{client: http1.Client{Address: address, Limits: http1.Limits{Head: 4 << 10, Body: relayBody}}, from: from}
}

// readWhole reads the full list, slice by slice.
func readWhole(address string) error {
	r := newReader(address, versionlog.Cursor{})
	defer r.client.Close()
	for {
		more, err := r.read(context.Background(), time.Millisecond)
		if err != nil || !more {
			return err
		}
	}
}

// runReadersHelper runs readers that watch, and reads the full list once for each input line.
func runReadersHelper(args []string, in *bufio.Reader, out io.Writer) error {
	var numbers [4]int64
	for i, text := range args[1:] {
		var err error
		if numbers[i], err = strconv.ParseInt(text, 10, 64); err != nil {
			return err
		}
	}
	from := versionlog.Cursor{Version: versionlog.Version{Epoch: numbers[0], Index: numbers[1]}}
	hold := time.Duration(numbers[3]) * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range numbers[2] {
		r := newReader(args[0], from)
		go func() {
			defer r.client.Close()
			for ctx.Err() == nil {
				if _, err := r.read(ctx, hold); err != nil {
					return
				}
			}
		}()
	}
	if _, err := fmt.Fprintln(out, "reading"); err != nil {
		return err
	}
	return handleLines(in, out, func() error { return readWhole(args[0]) })
}

// watchedRelay is a relay in this process whose readers are a helper.
type watchedRelay struct {
	*relaySource
	readers *helper
	count   int
}

func newWatched(nodes, count int, hold time.Duration, helpers Helpers) (*watchedRelay, error) {
	r, err := newRelaySource(nodes)
	if err != nil {
		return nil, err
	}
	head := r.instances.Head()
	args := []string{helpReaders, r.listener.Addr().String(), fmt.Sprint(head.Epoch), fmt.Sprint(head.Index), fmt.Sprint(count), fmt.Sprint(hold.Milliseconds())}
	readers, _, err := startHelper(helpers, args...)
	if err != nil {
		r.end()
		return nil, err
	}
	w := &watchedRelay{r, readers, count}
	if err := w.awaitReaders(int64(count)); err != nil {
		w.end()
		return nil, err
	}
	return w, nil
}

func (w *watchedRelay) end() {
	w.readers.close()
	w.relaySource.end()
}

var errReadersTimeout = errors.New("capacity: timed out waiting for all readers to watch again")

// awaitReaders waits until the relay has received the given number of calls and all readers watch again.
func (w *watchedRelay) awaitReaders(calls int64) error {
	for began := time.Now(); time.Since(began) < answerWait; time.Sleep(pollEvery) {
		if s := w.instances.Status(); s.Calls >= calls && s.Waiting == w.count {
			return nil
		}
	}
	return errReadersTimeout
}

// relayChange measures one changed entry at a relay with the given number of readers.
func relayChange(nodes int, helpers Helpers) func(readers int) (*subject, error) {
	return func(readers int) (*subject, error) {
		w, err := newWatched(nodes, readers, longHold, helpers)
		if err != nil {
			return nil, err
		}
		operate := func() error {
			before := w.instances.Status().Calls
			if err := w.change(); err != nil {
				return err
			}
			return w.awaitReaders(before + int64(readers))
		}
		before := w.instances.Status()
		return &subject{unit: time.Microsecond, end: w.end, operate: operate, check: func(operated int) error {
			after := w.instances.Status()
			sent, encoded := after.EntriesSent-before.EntriesSent, after.Encoded-before.Encoded
			if want := int64(operated); sent != want*int64(readers) || encoded != want {
				return fmt.Errorf("capacity: %d changes for %d readers: %d entries sent, %d answers encoded", operated, readers, sent, encoded)
			}
			return nil
		}}, nil
	}
}

// relayIdle measures a relay without news for the length of a heartbeat, in microseconds of CPU time per second.
func relayIdle(nodes int, heartbeat time.Duration, helpers Helpers) func(readers int) (*subject, error) {
	return func(readers int) (*subject, error) {
		w, err := newWatched(nodes, readers, heartbeat, helpers)
		if err != nil {
			return nil, err
		}
		inSecond := time.Duration(heartbeat.Seconds() * float64(time.Microsecond))
		return &subject{unit: inSecond, once: true, end: w.end, operate: func() error {
			time.Sleep(heartbeat)
			return nil
		}}, nil
	}
}

// relayList measures one reader that reads the full list from a relay.
func relayList(helpers Helpers) func(nodes int) (*subject, error) {
	return func(nodes int) (*subject, error) {
		w, err := newWatched(nodes, 0, longHold, helpers)
		if err != nil {
			return nil, err
		}
		before := w.instances.Status().Snapshots
		return &subject{unit: time.Microsecond, end: w.end,
			operate: func() error {
				_, err := w.readers.request("list")
				return err
			},
			check: func(operated int) error {
				if begun := w.instances.Status().Snapshots - before; begun != int64(operated) {
					return fmt.Errorf("capacity: reader read %d full lists, relay started %d snapshots", operated, begun)
				}
				return nil
			}}, nil
	}
}

// relayMemory measures live heap and stacks of a relay with its list and the given number of readers.
func relayMemory(nodes int, helpers Helpers) func(readers int) (*subject, error) {
	return func(readers int) (*subject, error) {
		return &subject{figure: func() (float64, error) {
			before := settledMemory()
			w, err := newWatched(nodes, readers, longHold, helpers)
			if err != nil {
				return 0, err
			}
			defer w.end()
			return settledMemory().all.over(before.all), nil
		}}, nil
	}
}
