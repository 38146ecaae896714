package scaletest

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// Taken is a member's own record of a version that it has in force.
type VersionRecord struct {
	Member   string
	Resource Resource
	Epoch    int64
	Index    int64
	Sequence int64 // of the newest change that it has seen; 0 where that is not told
	At       time.Time
	Complete bool // nothing of the version is still to come
	Mixed    bool // the settings are not all of one version
}

// before tells whether t is an older version than o.
func (t VersionRecord) olderThan(o VersionRecord) bool {
	return t.Epoch < o.Epoch || t.Epoch == o.Epoch && t.Index < o.Index
}

// write words a record as one line.
func (t VersionRecord) write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %s %d %d %d %d %t %t\n", t.Member, t.Resource, t.Epoch, t.Index, t.Sequence, t.At.UnixNano(), t.Complete, t.Mixed)
	return err
}

// parseTaken reads a line of write.
func parseVersionRecord(line string) (t VersionRecord, err error) {
	var nanos int64
	_, err = fmt.Sscan(line, &t.Member, &t.Resource, &t.Epoch, &t.Index, &t.Sequence, &nanos, &t.Complete, &t.Mixed)
	t.At = time.Unix(0, nanos)
	return t, err
}

// records are those of all members, in the order in which each made them.
type records struct {
	mu              sync.Mutex
	byMember        map[string]map[Resource][]VersionRecord // by member
	unreadableLines []string                                // lines that are none
}

func newRecords() *records { return &records{byMember: map[string]map[Resource][]VersionRecord{}} }

func (r *records) add(t VersionRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byMember[t.Member] == nil {
		r.byMember[t.Member] = map[Resource][]VersionRecord{}
	}
	r.byMember[t.Member][t.Resource] = append(r.byMember[t.Member][t.Resource], t)
}

// read takes lines until the reader ends; passed hears of the bytes that a host has counted.
func (r *records) read(in io.Reader, passed func(read, written int64)) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		if rest, isBytes := strings.CutPrefix(lines.Text(), trafficLinePrefix); isBytes {
			var read, written int64
			fmt.Sscan(rest, &read, &written)
			passed(read, written)
			continue
		}
		t, err := parseVersionRecord(lines.Text())
		if err != nil {
			r.mu.Lock()
			r.unreadableLines = append(r.unreadableLines, lines.Text())
			r.mu.Unlock()
			continue
		}
		r.add(t)
	}
}

// of is what a member has recorded of a resource so far; it may be read while more comes.
func (r *records) of(member string, resource Resource) []VersionRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byMember[member][resource]
}

// latest is a member's last record of a resource, if it has one.
func (r *records) latest(member string, resource Resource) (VersionRecord, bool) {
	list := r.of(member, resource)
	if len(list) == 0 {
		return VersionRecord{}, false
	}
	return list[len(list)-1], true
}
