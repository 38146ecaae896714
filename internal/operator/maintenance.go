package operator

import (
	"fmt"
	"log/slog"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/logmsg"
)

// callBackLifetime is how long the register keeps the entry of a replica whose maintenance has ended. By then the
// replica is warmed up and is treated like any other. The entry is kept for longer while another process's state file
// still has the replica as out for maintenance.
const callBackLifetime = 10 * time.Minute

// NotListedError reports that a call names a replica that is not in the endpoint list. Its text is part of the protocol
// with operators' tools.
type NotListedError struct{ ID string }

// Error implements error.
func (e *NotListedError) Error() string { return fmt.Sprintf("no node %.40q is listed", e.ID) }

// Status implements Handler.
func (s *Store) Status() error { return s.Coordinator.CheckReady() }

// StartMaintenance implements Handler. An error is a *NotListedError.
func (s *Store) StartMaintenance(id, by string) error { return s.setMaintenance(id, true, by) }

// EndMaintenance implements Handler. An error is a *NotListedError.
func (s *Store) EndMaintenance(id, by string) error { return s.setMaintenance(id, false, by) }

// setMaintenance takes a replica out for maintenance or ends its maintenance, with immediate effect in this process. It
// first has the other processes' calls read, because these were made earlier. If files cannot be read or written in
// time, the call still takes effect, and is written at a later poll.
func (s *Store) setMaintenance(id string, out bool, by string) error {
	if err := s.sync(); err != nil {
		slog.Warn("maintenance call without other processes' state files", logmsg.KeyReplica, id, logmsg.KeyError, err)
	}
	changed, err := s.applyCall(id, out, by)
	if err != nil {
		return err
	}
	slog.Info("maintenance call applied", logmsg.KeyReplica, id, "out", out, "by", by, "changed", changed)
	if err := s.sync(); err != nil {
		slog.Error("maintenance call not written yet", logmsg.KeyReplica, id, logmsg.KeyError, err)
	}
	return nil
}

// applyCall enters a call into the register, notifies the coordinator if that changes the register, and reports whether
// it did. An error is a *NotListedError.
func (s *Store) applyCall(id string, out bool, by string) (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.own.Maintenance[id]; !known && !s.Coordinator.HasEndpoint(id) {
		return false, &NotListedError{id}
	}
	changed = s.own.Maintenance.Apply(id, maintenance.Entry{Out: out, At: s.Clock(), By: by})
	if changed {
		s.unsaved = true
		s.notify()
	}
	return changed, nil
}
