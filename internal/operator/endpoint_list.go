package operator

import (
	"encoding/json"
	"log/slog"
	"time"

	"harepass/internal/logmsg"
)

// encodingIntervalPerByte is the minimum time between two encodings of the endpoint list, for each byte of the previous
// encoding. Encoding takes time in proportion to the list's length, however little has changed. So a list of 70
// replicas is encoded at each poll, and one of 7,000 once a second. A new process gets later changes from discovery,
// because the stored list includes its version.
const encodingIntervalPerByte = time.Microsecond

// SetList stores the endpoint list, in discovery's form, and the address of the discovery service that it came from,
// for a new process.
//
// The list, the register of maintenance calls and the checkpoint share the state file's limit of maxStateFileBytes. If
// they exceed it together, StateDir.Write leaves out the checkpoint, and then the list. While the register alone
// exceeds it, no state file is written, so maintenance calls do not reach other processes. This is logged every
// writeErrorInterval, and the last file that could be written stays in place.
func (s *Store) SetList(discovery string, list json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.ListAt, s.own.List, s.own.Discovery, s.unsaved = s.Clock(), list, discovery, true
}

// ListChanged makes Run encode and store the endpoint list at the next poll or, for a long list, some polls later.
func (s *Store) ListChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listDirty = true
}

// encodeList encodes and stores the endpoint list if it has changed and nextEncoding has passed. Only Run calls it.
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
