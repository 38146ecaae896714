package scaletest

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// Records and traffic are read from a host's output as they were written; a line that is neither is kept as unreadable.
// Lines of a real coordinator's log become records, with the settings' version number from its latest changes.
func TestRecordsAreReadFromHostsAndLogs(t *testing.T) {
	var out bytes.Buffer
	sent := VersionRecord{
		Member: "c7", Resource: Settings, Epoch: 3, Index: 4, Sequence: 5, At: time.Unix(6, 7),
		Complete: true, Mixed: true,
	}
	sent.write(&out)
	out.WriteString("#bytes 8 9\nnonsense\n")
	r := newRecords()
	var read, written int64
	r.read(&out, func(hostRead, hostWritten int64) { read, written = hostRead, hostWritten })
	if got, _ := r.latest("c7", Settings); got != sent || read != 8 || written != 9 || len(r.unreadableLines) != 1 {
		t.Errorf("record %+v, read %d, written %d, unreadable lines %q, want the sent record, 8, 9 and one line",
			got, read, written, r.unreadableLines)
	}
	l := &logReader{member: "c1", records: r}
	l.read(strings.NewReader(`x INFO settings changed change="caps.max_retry_after_us: 1000003, was 1000000"
x INFO settings changed change="caps.keepalive_us: 30000002, was 30000000"
x INFO version in force resource=settings epoch=1 index=2 at_unix_ms=1790000000000
x INFO version in force resource=instances epoch=1 index=9 at_unix_ms=1790000000001
`))
	if got, _ := r.latest("c1", Settings); got.Sequence != 3 || !got.Mixed || got.Index != 2 {
		t.Errorf("settings from the log: %+v, want index 2, sequence 3 and mixed settings", got)
	}
	if got, _ := r.latest("c1", List); got.Index != 9 || got.Epoch != 1 || got.At != time.UnixMilli(1790000000001) {
		t.Errorf("endpoint list from the log: %+v, want epoch 1, index 9 and the logged time", got)
	}
}
