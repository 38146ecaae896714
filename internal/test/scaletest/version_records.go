package scaletest

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// VersionRecord is a member's record of a version of a resource that came into force at that member.
type VersionRecord struct {
	Member   string
	Resource Resource
	Epoch    int64
	Index    int64
	Sequence int64 // of the newest change in the version; 0 if unknown
	At       time.Time
	Complete bool // no entry of the version is missing
	Mixed    bool // settings of two versions are in force
}

// olderThan reports whether the record's version is older than that of another record.
func (r VersionRecord) olderThan(other VersionRecord) bool {
	return r.Epoch < other.Epoch || r.Epoch == other.Epoch && r.Index < other.Index
}

// covers reports whether the record's version includes a change.
func (r VersionRecord) covers(p Publication) bool {
	if p.Index == 0 { // a change has no index without an authority
		return r.Sequence >= p.Sequence
	}
	return r.Index >= p.Index
}

// write writes the record as one line.
func (r VersionRecord) write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %s %d %d %d %d %t %t\n",
		r.Member, r.Resource, r.Epoch, r.Index, r.Sequence, r.At.UnixNano(), r.Complete, r.Mixed)
	return err
}

// parseVersionRecord parses a line written by VersionRecord.write.
func parseVersionRecord(line string) (r VersionRecord, err error) {
	var nanos int64
	_, err = fmt.Sscan(line,
		&r.Member, &r.Resource, &r.Epoch, &r.Index, &r.Sequence, &nanos, &r.Complete, &r.Mixed)
	r.At = time.Unix(0, nanos)
	return r, err
}

// records holds the version records of all members, in each member's order of recording. Its methods are safe for
// concurrent use.
type records struct {
	mu              sync.Mutex
	byMember        map[string]map[Resource][]VersionRecord
	unreadableLines []string // lines of hosts that are neither records nor traffic
}

func newRecords() *records { return &records{byMember: map[string]map[Resource][]VersionRecord{}} }

// add appends a record to those of its member.
func (r *records) add(record VersionRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byMember[record.Member] == nil {
		r.byMember[record.Member] = map[Resource][]VersionRecord{}
	}
	byResource := r.byMember[record.Member]
	byResource[record.Resource] = append(byResource[record.Resource], record)
}

// read reads a host's lines until its output ends. It passes the byte counts of traffic lines to onTraffic.
func (r *records) read(stdout io.Reader, onTraffic func(read, written int64)) {
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		if counts, isTraffic := strings.CutPrefix(lines.Text(), trafficLinePrefix); isTraffic {
			var read, written int64
			fmt.Sscan(counts, &read, &written)
			onTraffic(read, written)
			continue
		}
		record, err := parseVersionRecord(lines.Text())
		if err != nil {
			r.mu.Lock()
			r.unreadableLines = append(r.unreadableLines, lines.Text())
			r.mu.Unlock()
			continue
		}
		r.add(record)
	}
}

// of returns the records of a member for a resource so far. The caller may read them while more are added.
func (r *records) of(member string, resource Resource) []VersionRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byMember[member][resource]
}

// latest returns a member's last record for a resource. The second result is false if there is none.
func (r *records) latest(member string, resource Resource) (VersionRecord, bool) {
	list := r.of(member, resource)
	if len(list) == 0 {
		return VersionRecord{}, false
	}
	return list[len(list)-1], true
}
