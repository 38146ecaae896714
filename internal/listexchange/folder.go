package listexchange

import (
	"cmp"
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"harepass/internal/operator"
	"harepass/internal/platform"
	"harepass/internal/sharedfile"
)

const (
	// recordSuffix is the suffix of a record's file name. The rest is that of the writer's state file.
	recordSuffix = ".list"
	// maxRecords is how many records of other processes prune keeps, those that were written last.
	maxRecords = 16
)

// peer is another process of the coordinator.
type peer struct {
	hasRecord  bool        // it writes records, though this one may not have been read
	recordFile fs.FileInfo // of the record that was read last
	stored     storedRecord
	usable     bool // stored is a record of this coordinator
	pending    bool // stored is to be offered to the list

	stateFile fs.FileInfo // see readStateFile
	stateList json.RawMessage
}

// read calls readOne for each file of another process with a suffix.
func (x *Exchange) read(suffix string, readOne func(p *peer, path string)) {
	paths, err := filepath.Glob(filepath.Join(x.dir, "*"+suffix))
	if err != nil {
		return
	}
	for _, path := range paths {
		writer := strings.TrimSuffix(filepath.Base(path), suffix)
		if writer == x.own {
			continue
		}
		if x.peers[writer] == nil {
			x.peers[writer] = &peer{}
		}
		readOne(x.peers[writer], path)
	}
}

// readRecord reads a record if its file has changed.
func (x *Exchange) readRecord(p *peer, path string) {
	p.hasRecord = true
	data, info, changed := x.readChanged(p.recordFile, path)
	if !changed {
		return
	}
	p.recordFile = info
	stored, err := x.decode(data)
	if err != nil {
		x.logOnce("endpoint list record not used", err)
		return
	}
	p.stored, p.usable, p.pending = stored, true, true
}

// readChanged reads a file if it has changed since it was read last. A file that cannot be read counts as unchanged; it
// is read again at the next poll.
func (x *Exchange) readChanged(last fs.FileInfo, path string) (data []byte, info fs.FileInfo, changed bool) {
	info, err := os.Stat(path)
	if err != nil || sharedfile.Unchanged(last, info) {
		return nil, nil, false
	}
	data, err = x.readFile(path)
	if err != nil {
		x.logOnce("endpoint list of another process not read", err)
		return nil, nil, false
	}
	return data, info, true
}

// path returns the path of a process's file with a suffix.
func (x *Exchange) path(writer, suffix string) string { return filepath.Join(x.dir, writer+suffix) }

// write replaces this process's record.
func (x *Exchange) write(s storedRecord) error {
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return sharedfile.Write(x.path(x.own, recordSuffix), data)
}

// prune removes all records of other processes but the maxRecords that were written last, with files that their writers
// have not completed. Records must have been read before.
func (x *Exchange) prune() {
	var writers []string
	for writer, p := range x.peers {
		if p.hasRecord {
			writers = append(writers, writer)
		}
	}
	slices.SortFunc(writers, func(a, b string) int {
		return cmp.Compare(x.peers[b].stored.WrittenAt, x.peers[a].stored.WrittenAt)
	})
	for _, writer := range writers[min(len(writers), maxRecords):] {
		os.Remove(x.path(writer, recordSuffix))
		os.Remove(x.path(writer, recordSuffix+sharedfile.WritingSuffix))
		delete(x.peers, writer)
	}
}

// completeList returns a function that reads a process's complete list from its state file.
func (x *Exchange) completeList(writer string) platform.CompleteList {
	return func() (service string, list platform.List, ok bool) {
		data, err := x.readFile(x.path(writer, operator.StateFileSuffix))
		if err != nil {
			return "", list, false
		}
		state, err := operator.Decode(data)
		if err != nil || json.Unmarshal(state.List, &list) != nil {
			return "", list, false
		}
		return state.Discovery, list, true
	}
}
