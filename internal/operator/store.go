package operator

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

const (
	// pollInterval is the time between two polls of other processes' state files. A call at one process binds all
	// within a second.
	pollInterval = 100 * time.Millisecond
	// syncTimeout is how long a caller waits for files to be read or written; a maintenance call does so twice.
	syncTimeout = 300 * time.Millisecond
	// writeErrorInterval is the time between two log lines while the state file cannot be written.
	writeErrorInterval = 10 * time.Second
	// checkpointLifetime is how old a checkpoint may be: its rates hold for a few rebalances of a second each.
	checkpointLifetime = 5 * time.Second
)

// msgNotWritten is the log message for a state file that could not be written.
const msgNotWritten = "state file not written"

var errSyncTimeout = errors.New("operator: state files not read and written in time")

// Coordinator is what a Store notifies. None of its methods may block.
type Coordinator interface {
	// SetMaintenance replaces the replicas that are out. The register must not be changed any more.
	SetMaintenance(maintenance.Register)
	// HasEndpoint reports whether a replica is listed.
	HasEndpoint(id string) bool
	// CheckReady returns nil where the coordinator is ready for queries, else why not.
	CheckReady() error
	// SetLimitsShared says whether another process of the coordinator serves beside it, so that limits hold for both.
	SetLimitsShared(bool)
}

// Store holds what the processes of a coordinator have to know of each other. It is the Handler of an AdminServer. Use
// NewStore, set Coordinator and EncodeList, call NotifyCoordinator, then start Run. The methods that have no other rule
// may be called from any goroutine.
type Store struct {
	Name        string               // of the coordinator; state files of another one are not used
	Coordinator Coordinator          // is notified of other processes' calls
	Clock       func() time.Duration // wall clock, since the Unix epoch
	StateDir    *StateDir            // nil where nothing is shared with other processes

	// EncodeList returns the endpoint list, in discovery's form, and the discovery address that it came from. Run
	// calls it some time after ListChanged. Nil where SetList alone brings lists.
	EncodeList func() (discovery string, list json.RawMessage, err error)

	syncs chan chan struct{} // requests to Run to read and write files now; each is closed when that is done

	mu        sync.Mutex
	own       StateFile // what this process leaves, with what it has merged
	unsaved   bool      // own has changed since it was written
	listDirty bool      // the endpoint list has changed since it was encoded

	// Only Run uses these.
	nextEncoding time.Duration // until then the endpoint list is not encoded again
	peers        peerWatch     // whether another process serves
	writeErrorAt time.Duration // when a failed write was last logged; 0 for never
	leftOut      []string      // what the last state file lacks, for it would be over the limit
}

// NewStore returns a Store that begins with what other processes have left. dir is nil where nothing is shared.
func NewStore(name string, dir *StateDir, clock func() time.Duration) *Store {
	s := &Store{
		Name: name, StateDir: dir, Clock: clock, syncs: make(chan chan struct{}),
		own: StateFile{Name: name, Maintenance: maintenance.Register{}},
	}
	if dir != nil {
		dir.Prune()
		s.merge(dir.ReadChanged())
		s.unsaved = true
	}
	return s
}

// InheritedList returns the latest endpoint list that another process left, in discovery's form, and the discovery
// address that it came from; nil where there is none. It has to be called before Run.
func (s *Store) InheritedList() (list json.RawMessage, discovery string) {
	return s.own.List, s.own.Discovery
}

// Checkpoint returns what another process had last learned, unless it is too old. It has to be called before Run.
func (s *Store) Checkpoint() (c scatter.Checkpoint, ok bool) {
	if latest := s.own.Checkpoint; latest != nil && s.Clock()-latest.At < checkpointLifetime {
		return *latest, true
	}
	return c, false
}

// SetCheckpoint stores what this process has learned for a new one.
func (s *Store) SetCheckpoint(c scatter.Checkpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Checkpoint, s.unsaved = &c, true
}

// NotifyCoordinator notifies the coordinator of what other processes have left. It is called once, before the
// coordinator runs.
func (s *Store) NotifyCoordinator() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
}

// notify gives the coordinator the present register. It is called with the lock held, so that registers arrive in
// order.
func (s *Store) notify() { s.Coordinator.SetMaintenance(maps.Clone(s.own.Maintenance)) }

// merge takes over what is later in other processes' state files, and reports whether the register has changed. It is
// called with the lock held, or before Run.
func (s *Store) merge(others []StateFile) (registerChanged bool) {
	for _, o := range others {
		if o.Name != s.Name {
			slog.Warn(msgNotUsed, "coordinator", o.Name, logmsg.KeyError, "it is another coordinator's")
			continue
		}
		registerChanged = s.own.Maintenance.Merge(o.Maintenance) || registerChanged
		if c := o.Checkpoint; c != nil && (s.own.Checkpoint == nil || c.At > s.own.Checkpoint.At) {
			s.own.Checkpoint = c
		}
		if o.ListAt > s.own.ListAt { // also one that was left out: an older list is not to pass for the latest
			s.own.ListAt, s.own.List, s.own.Discovery = o.ListAt, o.List, o.Discovery
		}
	}
	return registerChanged
}

// Run reads and writes files until ctx is done. It is called once; its caller owns the goroutine.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var done chan struct{}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case done = <-s.syncs:
		}
		s.syncFiles()
		if done != nil {
			close(done)
		}
	}
}

// syncFiles reads what other processes have written and writes what has changed here.
func (s *Store) syncFiles() {
	if s.StateDir == nil {
		return
	}
	others := s.StateDir.ReadChanged()
	if changed, shared := s.peers.observe(s.Name, others, s.Clock()); changed {
		s.Coordinator.SetLimitsShared(shared)
	}
	s.encodeList()
	own, unsaved := s.mergeAndTake(others)
	if !unsaved {
		return
	}
	leftOut, err := s.StateDir.Write(own)
	if err != nil {
		s.writeFailed(err)
		return
	}
	if !slices.Equal(leftOut, s.leftOut) {
		s.leftOut = leftOut
		slog.Warn("state file written without what is over its limit", "left_out", strings.Join(leftOut, ", "))
	}
}

// mergeAndTake merges other processes' state files, and returns the own one and whether it has to be written.
func (s *Store) mergeAndTake(others []StateFile) (own StateFile, unsaved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.merge(others) {
		s.unsaved = true
		s.notify()
	}
	if s.unsaved {
		s.own.Maintenance.Prune(s.Clock()-callBackLifetime, s.StateDir.hasOut)
	}
	own, unsaved = s.own, s.unsaved
	own.Maintenance, s.unsaved = maps.Clone(own.Maintenance), false
	return own, unsaved
}

// writeFailed has the state file written again at the next poll. A disk that stays full would fill the log with a line
// for each poll, so only some failures are logged.
func (s *Store) writeFailed(err error) {
	if now := s.Clock(); s.writeErrorAt == 0 || now-s.writeErrorAt >= writeErrorInterval {
		s.writeErrorAt = now
		slog.Error(msgNotWritten, logmsg.KeyError, err)
	}
	s.mu.Lock()
	s.unsaved = true
	s.mu.Unlock()
}

// sync has Run read and write files now, and waits for syncTimeout at most.
func (s *Store) sync() error {
	done, timeout := make(chan struct{}), time.After(syncTimeout)
	for requests := s.syncs; ; {
		select {
		case requests <- done:
			requests = nil
		case <-done:
			return nil
		case <-timeout:
			return errSyncTimeout
		}
	}
}
