package listexchange

import (
	"context"
	"log/slog"
	"path/filepath"
	"strings"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/listversion"
	"harepass/internal/inputfile"
	"harepass/internal/logmsg"
	"harepass/internal/operator"
	"harepass/internal/platform"
)

const (
	// pollInterval is the time between two polls of other processes' records.
	pollInterval = 100 * time.Millisecond
	// confirmationInterval is the minimum time between two writings of a record whose version has not changed.
	confirmationInterval = 500 * time.Millisecond
	// logInterval is the minimum time between two log lines of one kind about files that cannot be read or written.
	logInterval = 10 * time.Second
)

// List is the endpoint list whose record is exchanged; *platform.Discovery implements it.
type List interface {
	Record() (r platform.ListRecord, ok bool)
	Adopt(ctx context.Context, r platform.ListRecord, complete platform.CompleteList) error
}

// Exchange exchanges records with the other processes of a coordinator. Create it with Open.
type Exchange struct {
	Name   string     // of the coordinator
	Clock  core.Clock // the coordinator's clock
	Shared SharedClock

	dir, own string // folder, and the name of this process's files in it without their suffixes
	readFile func(path string) ([]byte, error)
	changed  chan struct{} // receives if the record has changed
	loggedAt map[string]time.Duration

	// Latest, and then Run, use the following fields.
	peers          map[string]*peer // by the name of their files without suffixes
	unwritten      bool
	writtenAt      time.Duration // on the coordinator's clock
	writtenVersion listversion.Known
}

// Open returns the Exchange of a process whose state file has a path.
func Open(stateFile, name string, clock core.Clock, shared SharedClock) *Exchange {
	own := strings.TrimSuffix(filepath.Base(stateFile), operator.StateFileSuffix)
	return &Exchange{Name: name, Clock: clock, Shared: shared, dir: filepath.Dir(stateFile), own: own,
		readFile: inputfile.Read, changed: make(chan struct{}, 1), loggedAt: map[string]time.Duration{},
		peers: map[string]*peer{}}
}

// Latest reads the records of other processes, and returns the latest one of a discovery service. If there is none, it
// returns the one of another service that was heard of last. complete returns the complete list of the record's writer.
// Latest also removes old records.
func (x *Exchange) Latest(service string) (r platform.ListRecord, complete platform.CompleteList, ok bool) {
	ahead, err := x.Shared.ahead(x.Clock)
	if err != nil {
		x.logOnce("endpoint list records not read", err)
		return r, nil, false
	}
	x.readPeers()
	x.prune()
	for writer, p := range x.peers {
		if p.usable && (!ok || precedes(r, p.stored.Record, service)) {
			r, complete, ok = p.stored.Record, x.completeList(writer), true
		}
	}
	return r.Shifted(-ahead), complete, ok
}

// precedes reports whether a process that polls a service has to prefer the record next to r.
func precedes(r, next platform.ListRecord, service string) bool {
	if (r.Service == service) != (next.Service == service) {
		return next.Service == service
	}
	if r.Service != next.Service {
		return next.HeardAt > r.HeardAt
	}
	if next.Index == r.Index {
		return next.Lease.CountsFrom > r.Lease.CountsFrom // the same list, confirmed later
	}
	return next.Version().Supersedes(r.Version())
}

// Changed makes Run write the record: at once if its version has changed, else some time later.
func (x *Exchange) Changed() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// Run writes the list's record after each change, and has the list adopt what is newer in other processes' records,
// until ctx ends.
func (x *Exchange) Run(ctx context.Context, list List) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.changed:
			x.unwritten = true
		case <-ticker.C:
			x.readPeers()
			x.offer(ctx, list)
		}
		if x.unwritten {
			x.writeIfDue(list)
		}
	}
}

// readPeers reads what other processes have written since the last call.
func (x *Exchange) readPeers() {
	x.read(recordSuffix, x.readRecord)
	x.read(operator.StateFileSuffix, x.readStateFile)
}

// offer has the list adopt the records that have changed. A record that it could not adopt is offered again at the next
// poll.
func (x *Exchange) offer(ctx context.Context, list List) {
	for writer, p := range x.peers {
		if !p.pending {
			continue
		}
		ahead, err := x.Shared.ahead(x.Clock)
		if err != nil {
			x.logOnce("endpoint list record not used", err)
			return
		}
		err = list.Adopt(ctx, p.stored.Record.Shifted(-ahead), x.completeList(writer))
		if p.pending = err != nil; p.pending {
			x.logOnce("endpoint list of another process not taken over", err)
		}
	}
}

// writeIfDue writes the record if its version has changed since the last writing, or confirmationInterval has passed. A
// record that cannot be written is written at the next poll.
func (x *Exchange) writeIfDue(list List) {
	r, ok := list.Record()
	now := x.Clock()
	version := listversion.Known{Service: r.Service, Index: r.Index}
	if !ok || version == x.writtenVersion && now-x.writtenAt < confirmationInterval {
		return
	}
	ahead, err := x.Shared.ahead(x.Clock)
	if err == nil {
		err = x.write(storedRecord{Version: recordVersion, Name: x.Name, Boot: x.Shared.Boot, WrittenAt: now + ahead,
			Record: r.Shifted(ahead)})
	}
	if err != nil {
		x.logOnce("endpoint list record not written", err)
		return
	}
	x.unwritten, x.writtenAt, x.writtenVersion = false, now, version
}

// logOnce logs an error, at most every logInterval for each message.
func (x *Exchange) logOnce(message string, err error) {
	now := x.Clock()
	if last, logged := x.loggedAt[message]; logged && now-last < logInterval {
		return
	}
	x.loggedAt[message] = now
	slog.Warn(message, logmsg.KeyError, err)
}
