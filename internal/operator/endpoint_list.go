package operator

import (
	"encoding/json"
	"log/slog"
	"time"

	"harepass/internal/logmsg"
)

// encodingIntervalPerByte is how long the endpoint list is not encoded again, for each byte that it had. Encoding takes
// a time in proportion to the length, whatever has changed: so a list of 70 replicas is encoded at each poll, one of
// 7,000 once a second. A new process asks discovery for what came later, for the list has its version with it.
const encodingIntervalPerByte = time.Microsecond

// SetList stores the endpoint list, in discovery's form, for a new process, with the discovery address that it came
// from.
//
// The list, the register of maintenance calls and the checkpoint share the state file's limit of maxStateFileBytes.
// While they exceed it together, no state file is written, so maintenance calls do not reach other processes either;
// the log says so every writeErrorInterval. The last file that could be written stays in place.
func (s *Store) SetList(discovery string, list json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.ListAt, s.own.List, s.own.Discovery, s.unsaved = s.Clock(), list, discovery, true
}

// ListChanged has Run encode and store the endpoint list, at the next poll or, for a long list, some polls later.
func (s *Store) ListChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listDirty = true
}

// encodeList stores the endpoint list where it has changed and may be encoded again. Only Run calls it.
func (s *Store) encodeList() {
	now := s.Clock()
	s.mu.Lock()
	due := s.listDirty && s.EncodeList != nil && now >= s.nextEncoding
	s.listDirty = s.listDirty && !due
	s.mu.Unlock()
	if !due {
		return
	}
	discovery, list, err := s.EncodeList()
	s.nextEncoding = now + time.Duration(len(list))*encodingIntervalPerByte
	if err != nil {
		slog.Error("endpoint list not encoded", logmsg.KeyError, err)
		return
	}
	s.SetList(discovery, list)
}
