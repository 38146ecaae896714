package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

const (
	lookEvery = 100 * time.Millisecond // at what other processes have written: a call at one binds all within a second
	visitTime = 300 * time.Millisecond // for files to be read or written; a caller waits twice for that at most
	failWords = 10 * time.Second       // between two log lines on files that cannot be written
	keepBack  = 10 * time.Minute       // what was called back so long ago is warm and no longer kept

	// The list is made anew after so long for each of its bytes: one of 70 nodes at each look, one of 7,000 once in a
	// second, for it takes a time in proportion, whatever has changed. It has its version with it, so who takes over asks
	// discovery for what came later.
	listCost = time.Microsecond

	// What was learned of nodes holds for about as long as a rate is remembered, a few refills of a second.
	keepLearned = 5 * time.Second

	// A process that serves writes what it has learned each second. One that has not for so long serves no more.
	sharedFor = 2500 * time.Millisecond
)

// Coordinator is what the register tells; none of it blocks.
type Coordinator interface {
	SetMaintenance(maintenance.Register)
	HasEndpoint(id string) bool
	CheckReady() error    // why it does not
	SetLimitsShared(bool) // whether another process of the coordinator serves beside it, so that limits hold for both
}

// Store keeps what operators have said, and shares it with the coordinator's other processes. It is the Door's Desk.
type Store struct {
	Name        string
	Coordinator Coordinator
	Clock       func() time.Duration
	Files       *Files // nil keeps nothing beyond this process

	// List is asked for the whole list, and the address that it came from, when files are written after ListChanged; nil
	// where Listed alone brings lists. It is called by Run's goroutine.
	List func() (discovery string, list json.RawMessage, err error)

	visits chan chan struct{}
	mu     sync.Mutex
	mine   Snapshot
	dirty  bool // not written yet
	stale  bool // the list has changed since it was asked for

	listAfter time.Duration // when the list may be asked for again; of Run alone
	heard     time.Duration // when another process wrote last that serves; of Run alone, as shared is
	shared    bool
	failed    time.Duration // when a failed write was logged last; of Run alone
}

// NewStore reads what other processes have left; Found tells what that was. Run has to be started for the rest.
func NewStore(name string, files *Files, clock func() time.Duration) *Store {
	r := &Store{Name: name, Files: files, Clock: clock, visits: make(chan chan struct{}),
		mine: Snapshot{Name: name, Maintenance: maintenance.Register{}}}
	if files != nil {
		files.Prune()
		r.take(files.Others())
		r.dirty = true
	}
	return r
}

// FoundList is the latest list that another process left and where it came from; nil where there is none.
func (r *Store) FoundList() (list json.RawMessage, discovery string) {
	return r.mine.List, r.mine.Discovery
}

// take merges what others have written; under the lock, or before Run. It tells whether the book has changed.
func (r *Store) take(list []Snapshot) (changed bool) {
	for _, s := range list {
		if s.Name != r.Name {
			slog.Warn("state not used", "coordinator", s.Name, "err", "it is another coordinator's")
			continue
		}
		changed = r.mine.Maintenance.Merge(s.Maintenance) || changed
		if l := s.Checkpoint; l != nil && (r.mine.Checkpoint == nil || l.At > r.mine.Checkpoint.At) {
			r.mine.Checkpoint = l
		}
		if len(s.List) > 0 && s.At > r.mine.At {
			r.mine.At, r.mine.List, r.mine.Discovery = s.At, s.List, s.Discovery
		}
	}
	return changed
}

// SetList keeps the list for processes to come.
func (r *Store) SetList(discovery string, list json.RawMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mine.At, r.mine.List, r.mine.Discovery, r.dirty = r.Clock(), list, discovery, true
}

// ListChanged has List asked for the list before files are written next, or soon after: see listCost.
func (r *Store) ListChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stale = true
}

// readList asks for the list where it has changed and may be asked for again.
func (r *Store) readList() {
	now := r.Clock()
	r.mu.Lock()
	due := r.stale && r.List != nil && now >= r.listAfter
	r.stale = r.stale && !due
	r.mu.Unlock()
	if !due {
		return
	}
	discovery, list, err := r.List()
	r.listAfter = now + time.Duration(len(list))*listCost
	if err != nil {
		slog.Error("list not kept", "err", err)
		return
	}
	r.SetList(discovery, list)
}

// SetCheckpoint keeps what was learned of nodes for processes to come.
func (r *Store) SetCheckpoint(m scatter.Checkpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mine.Checkpoint, r.dirty = &m, true
}

// Checkpoint is what another process had learned last, unless that is too old to hold still.
func (r *Store) Checkpoint() (m scatter.Checkpoint, ok bool) {
	if l := r.mine.Checkpoint; l != nil && r.Clock()-l.At < keepLearned {
		return *l, true
	}
	return m, false
}

// Run reads and writes files until ctx ends. Nothing else does, so a disk that hangs holds up no caller for long, and
// the owner never.
func (r *Store) Run(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		var done chan struct{}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case done = <-r.visits:
		}
		r.round()
		if done != nil {
			close(done)
		}
	}
}

func (r *Store) round() {
	if r.Files == nil {
		return
	}
	others := r.Files.Others()
	r.share(others)
	r.readList()
	r.mu.Lock()
	if r.take(others) {
		r.dirty = true
		r.tell()
	}
	mine, dirty := r.mine, r.dirty
	mine.Maintenance, r.dirty = maps.Clone(mine.Maintenance), false
	r.mu.Unlock()
	if !dirty {
		return
	}
	if err := r.Files.Write(mine); err != nil {
		if now := r.Clock(); r.failed == 0 || now-r.failed >= failWords {
			r.failed = now
			slog.Error("state not written; a new process will not have it", "err", err)
		}
		r.mu.Lock()
		r.dirty = true // tried again at the next look
		r.mu.Unlock()
	}
}

// share tells the owner when another process begins to serve beside this one, and when it has ended.
func (r *Store) share(others []Snapshot) {
	now := r.Clock()
	for _, s := range others {
		if s.Name == r.Name && s.Checkpoint != nil && now-s.Checkpoint.At < sharedFor {
			r.heard = max(r.heard, s.Checkpoint.At)
		}
	}
	if shared := r.heard > 0 && now-r.heard < sharedFor; shared != r.shared {
		r.shared = shared
		r.Coordinator.SetLimitsShared(shared)
	}
}

// visit has files read and written now, and waits for that a while.
func (r *Store) visit() error {
	done, late := make(chan struct{}), time.After(visitTime)
	for in := r.visits; ; {
		select {
		case in <- done:
			in = nil
		case <-done:
			return nil
		case <-late:
			return errors.New("files take too long")
		}
	}
}

// Publish tells the owner of what other processes have left, before it runs.
func (r *Store) Publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tell()
}

// tell is called under the lock, so that the owner hears of the book's states in order.
func (r *Store) tell() { r.Coordinator.SetMaintenance(maps.Clone(r.mine.Maintenance)) }

// Status implements Desk.
func (r *Store) Status() error { return r.Coordinator.CheckReady() }

// Out implements Desk: the node is to be left out.
func (r *Store) Out(id, by string) error { return r.call(id, true, by) }

// Back implements Desk: the node may serve again.
func (r *Store) Back(id, by string) error { return r.call(id, false, by) }

// call binds at once. It first hears what other processes were told, for that came before.
func (r *Store) call(id string, out bool, by string) error {
	if err := r.visit(); err != nil {
		slog.Warn("call without a look at other processes", "node", id, "err", err)
	}
	r.mu.Lock()
	_, known := r.mine.Maintenance[id]
	if !known && !r.Coordinator.HasEndpoint(id) {
		r.mu.Unlock()
		return fmt.Errorf("no node %.40q is listed", id)
	}
	now := r.Clock()
	r.mine.Maintenance.Prune(now - keepBack)
	changed := r.mine.Maintenance.Apply(id, maintenance.Entry{Out: out, At: now, By: by})
	if changed {
		r.dirty = true
		r.tell()
	}
	r.mu.Unlock()
	slog.Info("operator's call", "node", id, "out", out, "by", by, "changed", changed)
	if err := r.visit(); err != nil { // it binds here, and is written as soon as that can be done
		slog.Error("call not written yet", "node", id, "err", err)
	}
	return nil
}
