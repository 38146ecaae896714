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
	// pollInterval is the time between two polls of other processes' state files. It lets a maintenance call to one
	// process take effect in all of them within a second.
	pollInterval = 100 * time.Millisecond
	// syncTimeout is how long sync waits for files to be read and written. A maintenance call waits up to twice that,
	// once before and once after the call takes effect.
	syncTimeout = 300 * time.Millisecond
	// writeErrorInterval is the minimum time between two log lines while the state file cannot be written.
	writeErrorInterval = 10 * time.Second
	// checkpointLifetime is the age from which a checkpoint is not restored: its rates, in parts per second, are valid
	// for a few rebalances of the machine (package scatter), which happen once per second.
	checkpointLifetime = 5 * time.Second
)

// msgNotWritten is the log message for a state file that could not be written.
const msgNotWritten = "state file not written"

var errSyncTimeout = errors.New("operator: timed out waiting for state files to be read and written")

// Coordinator is the part of this process's coordinator that a Store calls: to notify it of changes, and to ask for its
// state. None of its methods may block.
type Coordinator interface {
	// SetMaintenance replaces the register of maintenance calls. The caller must not change the register afterwards.
	SetMaintenance(maintenance.Register)
	// HasEndpoint reports whether a replica is in the endpoint list.
	HasEndpoint(id string) bool
	// CheckReady returns nil if the coordinator is ready for queries, else an error with the reason.
	CheckReady() error
	// SetLimitsShared sets whether another process of the coordinator serves beside this one, so that both share the
	// coordinator's limit on open queries and parts.
	SetLimitsShared(bool)
}

// Store holds the state that the processes of a coordinator share. It is the Handler of an AdminServer. Create it with
// NewStore, set Coordinator and EncodeList, call NotifyCoordinator, then start Run. InheritedList and Checkpoint must
// be called before Run, SetList and SetCheckpoint, which replace what they return. Methods may be called from any
// goroutine unless their comment says otherwise.
type Store struct {
	Name        string               // of the coordinator; state files of other coordinators are ignored
	Coordinator Coordinator          // is notified of calls to this and to other processes
	Clock       func() time.Duration // wall clock, since the Unix epoch
	StateDir    *StateDir            // nil if nothing is shared with other processes

	// EncodeList returns the endpoint list, in discovery's form, and the address of the discovery service that it came
	// from. Run calls it some time after ListChanged. It is nil if lists are only set with SetList.
	EncodeList func() (discovery string, list json.RawMessage, err error)

	syncs chan chan struct{} // requests to Run to read and write files now; Run closes each when it is done

	mu        sync.Mutex
	own       StateFile // this process's state, including what it has merged from others
	unsaved   bool      // own has changed since it was last written
	listDirty bool      // the endpoint list has changed since it was last encoded

	// Only Run uses the following fields.
	nextEncoding time.Duration // earliest instant at which the endpoint list is encoded again
	peers        peerWatch     // whether another process serves
	writeErrorAt time.Duration // when a failed write was last logged; 0 for never
	leftOut      []string      // what StateDir.Write reported as left out of the last written file
}

// NewStore returns a Store that starts with the state that other processes stored. dir is nil if nothing is shared.
func NewStore(name string, dir *StateDir, clock func() time.Duration) *Store {
	s := &Store{
		Name: name, StateDir: dir, Clock: clock, syncs: make(chan chan struct{}),
		own: StateFile{Name: name, Maintenance: maintenance.Register{}},
	}
	if dir != nil {
		others := dir.ReadChanged()
		dir.Prune() // only now: what is removed has been read
		s.merge(others)
		s.inheritList(others)
		s.unsaved = true
	}
	return s
}

// InheritedList returns the endpoint list that another process set last, in discovery's form, and the address of the
// discovery service that it came from. The list is nil if there is none. InheritedList must be called before Run.
func (s *Store) InheritedList() (list json.RawMessage, discovery string) {
	return s.own.List, s.own.Discovery
}

// Checkpoint returns the latest checkpoint of another process, if that is younger than checkpointLifetime. It must be
// called before Run.
func (s *Store) Checkpoint() (c scatter.Checkpoint, ok bool) {
	if latest := s.own.Checkpoint; latest != nil && s.Clock()-latest.At < checkpointLifetime {
		return *latest, true
	}
	return c, false
}

// SetCheckpoint stores this process's checkpoint for a new process. It replaces the stored one, which merge may have
// taken over from another process.
func (s *Store) SetCheckpoint(c scatter.Checkpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Checkpoint, s.unsaved = &c, true
}

// NotifyCoordinator passes the maintenance calls that other processes stored to the coordinator. It is called once,
// before the coordinator runs.
func (s *Store) NotifyCoordinator() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
}

// notify passes a copy of the current register to the coordinator. The caller holds the lock, so that registers arrive
// in order.
func (s *Store) notify() { s.Coordinator.SetMaintenance(maps.Clone(s.own.Maintenance)) }

// merge takes over newer maintenance calls and checkpoints from other processes' state files, and reports whether the
// register has changed. The caller holds the lock, or calls it before Run.
func (s *Store) merge(others []StateFile) (registerChanged bool) {
	for _, o := range others {
		if o.Name != s.Name {
			slog.Warn(msgNotUsed, "coordinator", o.Name, logmsg.KeyError, "state file belongs to another coordinator")
			continue
		}
		registerChanged = s.own.Maintenance.Merge(o.Maintenance) || registerChanged
		if c := o.Checkpoint; c != nil && (s.own.Checkpoint == nil || c.At > s.own.Checkpoint.At) {
			s.own.Checkpoint = c
		}
	}
	return registerChanged
}

// inheritList takes over the endpoint list that another process has set last. It is called at the start only: later,
// package listexchange passes changes on, and a list that is set later than this process's can still be an older one.
func (s *Store) inheritList(others []StateFile) {
	for _, o := range others {
		if o.Name == s.Name && o.ListAt > s.own.ListAt { // even if Write left it out: an older one is not the latest
			s.own.ListAt, s.own.List, s.own.Discovery = o.ListAt, o.List, o.Discovery
		}
	}
}

// Run calls syncFiles at each poll, and when sync asks for it, until ctx is done. A change that is not written by then
// is not written at all. Run blocks and is called once, in a goroutine of the caller's.
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

// syncFiles reads the state files that other processes have changed, and notifies the coordinator of what they change
// for it. It encodes the endpoint list if that is due, and writes this process's own file if its state has changed.
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
	if !slices.Equal(leftOut, s.leftOut) { // also logged, with an empty leftOut, once nothing is left out any more
		s.leftOut = leftOut
		slog.Warn("state file written without the parts over its size limit", "left_out", strings.Join(leftOut, ", "))
	}
}

// mergeAndTake merges other processes' state files, and returns this process's own and whether it must be written. It
// clears unsaved; writeFailed sets it again.
func (s *Store) mergeAndTake(others []StateFile) (own StateFile, unsaved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.merge(others) {
		s.unsaved = true
		s.notify()
	}
	if s.unsaved {
		s.own.Maintenance.Prune(s.Clock()-callBackLifetime, s.StateDir.isOutElsewhere)
	}
	own, unsaved = s.own, s.unsaved
	own.Maintenance, s.unsaved = maps.Clone(own.Maintenance), false
	return own, unsaved
}

// writeFailed makes the next poll write the state file again. It logs a failure at most every writeErrorInterval,
// because a disk that stays full would otherwise fill the log with a line for each poll.
func (s *Store) writeFailed(err error) {
	if now := s.Clock(); s.writeErrorAt == 0 || now-s.writeErrorAt >= writeErrorInterval {
		s.writeErrorAt = now
		slog.Error(msgNotWritten, logmsg.KeyError, err)
	}
	s.mu.Lock()
	s.unsaved = true
	s.mu.Unlock()
}

// sync makes Run read and write files now, and waits until that is done, for at most syncTimeout.
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
