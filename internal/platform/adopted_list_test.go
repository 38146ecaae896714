package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/lease"
	"harepass/internal/decide/listversion"
	"harepass/internal/decide/scatter"
)

// noList is a CompleteList of a process that has stored none.
func noList() (string, List, bool) { return "", List{}, false }

// changeTo returns a list of one change: endpoint a has a status at a version.
func changeTo(index int64, status string) List {
	return List{Index: index, Endpoints: []Endpoint{{Name: "a", Address: "a:1", Status: status}}}
}

// recordFixture is a Discovery whose coordinator has readyList, and which keeps a copy for other processes.
type recordFixture struct {
	*discoveryFixture
	answers chan string // of the service; each call waits for one
	polls   requestLog
	expires atomic.Int64 // when the list expires, on the coordinator's clock
	stored  *ListCopy
}

func newRecordFixture() *recordFixture {
	fx := &recordFixture{discoveryFixture: newDiscoveryFixture("d", readyList()), answers: make(chan string)}
	fx.serve("d", func(w http.ResponseWriter, r *http.Request) {
		fx.polls.add(r.URL.RequestURI())
		select {
		case answer := <-fx.answers:
			if answer == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			io.WriteString(w, answer)
		case <-r.Context().Done():
		}
	})
	fx.Schedule = &backoff.Schedule{FleetSize: 3, ListMaxAge: 10 * time.Second, Rand: rand.New(rand.NewPCG(1, 1))}
	fx.Grace, fx.Clock = drainGrace, core.SystemClock()
	fx.Leased = func(expires time.Duration) { fx.expires.Store(int64(expires)) }
	fx.stored = fx.KeepCopy(func() {})
	return fx
}

// startWatching starts Run and answers its first call, so that it watches from the index of readyList.
func (fx *recordFixture) startWatching() {
	fx.start()
	fx.Subscribe()
	fx.answers <- `{"index":7,"endpoints":[]}`
	fx.takeUpdates()
}

// lastPoll returns the target of the last call.
func (fx *recordFixture) lastPoll() string {
	synctest.Wait()
	targets, _ := fx.polls.all()
	return targets[len(targets)-1]
}

// record returns the record of another process that discovery told of changes after readyList a moment ago.
func (fx *recordFixture) record(changes ...List) ListRecord {
	now := fx.Clock()
	l := lease.New(now, 0, drainGrace)
	state := l.State()
	return ListRecord{Service: "d", Index: changes[len(changes)-1].Index, ConfirmedAt: now, HeardAt: now,
		UnreachableAt: listversion.NotConfirmed, Lease: &state, Base: 7, Changes: changes}
}

// mustAdopt adopts a record and fails unless the coordinator gets the updates.
func (fx *recordFixture) mustAdopt(t *testing.T, r ListRecord, complete CompleteList, want ...listUpdate) {
	t.Helper()
	if err := fx.Adopt(context.Background(), r, complete); err != nil {
		t.Errorf("record of version %d not adopted: %v", r.Index, err)
	}
	if got := fx.takeUpdates(); !slices.Equal(got, want) {
		t.Errorf("updates %v, want %v", got, want)
	}
}

// storedStatus returns the status of endpoint a in the copy for other processes, or "" if the copy lacks it.
func (fx *recordFixture) storedStatus() string {
	_, list := fx.stored.Snapshot()
	for _, e := range list.Endpoints {
		if e.Name == "a" {
			return e.Status
		}
	}
	return ""
}

// Another process hears of a change while this one's watch is held. If the change is not taken over, or the answer to
// the watch is taken for a newer one, the coordinator sends to a node that drains; if the watch is ended, a crowded
// discovery does not take it up again.
func TestChangeOfAnotherProcessIsAdopted(t *testing.T) {
	const oneChange = `{"index":%d,"endpoints":[{"name":"b","address":"b:1","status":"in_service"}]}`
	for name, c := range map[string]struct {
		answer string // to the watch from version 7 that is held meanwhile
		next   string // target of the call after it
		update []listUpdate
	}{
		"no change since":  {`{"index":7,"endpoints":[]}`, "from=9", nil},
		"an older version": {fmt.Sprintf(oneChange, 8), "from=9", nil},
		"the same version": {fmt.Sprintf(oneChange, 9), "from=9", nil},
		"a newer version":  {fmt.Sprintf(oneChange, 10), "from=10", []listUpdate{{scatter.IncrementalUpdate, 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newRecordFixture()
				fx.startWatching()
				time.Sleep(100 * time.Millisecond)
				r := fx.record(changeTo(8, "in_service"), changeTo(9, "terminating"))
				fx.mustAdopt(t, r, noList, listUpdate{scatter.IncrementalUpdate, 1})
				fx.mustAdopt(t, r, noList) // a record that is read again changes nothing
				fx.answers <- c.answer
				if updates := fx.takeUpdates(); !slices.Equal(updates, c.update) {
					t.Errorf("updates after the answer: %v, want %v", updates, c.update)
				}
				time.Sleep(100 * time.Millisecond)
				want := "/registry/instances?" + c.next + "&hold_ms=1000"
				if targets, _ := fx.polls.all(); fx.lastPoll() != want || len(targets) != 3 {
					t.Errorf("calls %v, want three, the last one %s", targets, want)
				}
				if fx.storedStatus() != "terminating" {
					t.Errorf("stored status %q, want terminating", fx.storedStatus())
				}
				fx.close()
			})
		})
	}
}

// A record of another service, of an older version or of a list that discovery has not told is not adopted.
func TestRecordThatIsNotNewerIsIgnored(t *testing.T) {
	for name, change := range map[string]func(r *ListRecord){
		"other service": func(r *ListRecord) { r.Service = "e" },
		"older version": func(r *ListRecord) {
			r.Index, r.Base, r.Changes = 6, 6, nil
			r.ConfirmedAt -= 200 * time.Millisecond // before this process has heard of version 7
		},
		"only in a file": func(r *ListRecord) { r.ConfirmedAt = listversion.NotConfirmed },
		"heard long ago": func(r *ListRecord) { r.ConfirmedAt -= time.Minute; r.HeardAt -= time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newRecordFixture()
				fx.startWatching()
				time.Sleep(100 * time.Millisecond)
				r := fx.record(changeTo(8, "terminating"))
				change(&r)
				fx.mustAdopt(t, r, noList)
				fx.close()
			})
		})
	}
}

// A record lacks changes that this process needs, or its service was restarted with a lower index: the complete list of
// the other process takes the place of this one's. Until that is stored, this process's list counts as outdated.
func TestCompleteListIsAdoptedWhereChangesAreMissing(t *testing.T) {
	for name, change := range map[string]func(r *ListRecord){
		"dropped changes": func(r *ListRecord) { r.Base, r.Changes = 8, r.Changes[1:] },
		"restarted":       func(r *ListRecord) { r.Numbering, r.Base = 5, 6 },
		"lower index": func(r *ListRecord) {
			r.Numbering, r.Index, r.Base, r.Changes = 5, 3, 3, nil
			r.ConfirmedAt += time.Second
			r.HeardAt += time.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newRecordFixture()
				fx.startWatching()
				time.Sleep(100 * time.Millisecond)
				r := fx.record(changeTo(8, "in_service"), changeTo(9, "terminating"))
				change(&r)
				if err := fx.Adopt(context.Background(), r, noList); !errors.Is(err, ErrChangesMissing) {
					t.Errorf("adopted without the changes in between: error %v", err)
				}
				if expires := time.Duration(fx.expires.Load()); expires > r.HeardAt+drainGrace {
					t.Errorf("the outdated list expires %v after the other process has heard of a newer one, want %v at most",
						expires-r.HeardAt, drainGrace)
				}
				fx.takeUpdates()
				fx.mustAdopt(t, r, func() (string, List, bool) {
					list := changeTo(r.Index, "terminating")
					list.Snapshot = true
					return "d", list, true
				}, listUpdate{scatter.FullUpdate, 1})
				if expires := time.Duration(fx.expires.Load()); expires < r.ConfirmedAt+backoff.NotifiedAfter {
					t.Errorf("the adopted list expires %v after it was confirmed, want %v at least", expires-r.ConfirmedAt,
						backoff.NotifiedAfter)
				}
				fx.close()
			})
		})
	}
}

// Discovery is restarted with a lower index, which later passes the old one. Its changes do not belong to the list from
// before the restart, although their indexes do: the record tells the two numberings apart.
func TestRecordTellsNumberingsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newRecordFixture()
		fx.startWatching()
		before, _ := fx.Record()
		fx.answers <- `{"index":3,"endpoints":[]}`
		time.Sleep(backoff.MaxSpread)
		fx.answers <- `{"index":3,"snapshot":true,"endpoints":[{"name":"a","address":"a:1","status":"in_service"}]}`
		fx.answers <- `{"index":8,"endpoints":[{"name":"a","address":"a:1","status":"terminating"}]}`
		synctest.Wait()
		after, _ := fx.Record()
		if after.Index != 8 || after.Base != 3 || before.Numbering != 0 || after.Numbering == 0 {
			t.Errorf("version %d from %d, numbering %d before the restart and %d after it", after.Index, after.Base,
				before.Numbering, after.Numbering)
		}
		fx.close()
	})
}

// A list from which another process was told that an endpoint is removed lacks that endpoint, although changes that do
// not name an endpoint leave it in the list.
func TestRemovalByAnotherProcessIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newRecordFixture()
		fx.startWatching()
		fx.mustAdopt(t, fx.record(List{Index: 8, Endpoints: []Endpoint{{Name: "b", Address: "b:1", Status: "in_service"}}}),
			noList, listUpdate{scatter.IncrementalUpdate, 1})
		if fx.storedStatus() != "in_service" {
			t.Error("an endpoint that the changes do not name is removed")
		}
		fx.mustAdopt(t, fx.record(changeTo(8, "in_service"), changeTo(9, statusRemoved)), noList,
			listUpdate{scatter.IncrementalUpdate, 1})
		if fx.storedStatus() != "" {
			t.Error("the removed endpoint is in the list")
		}
		fx.close()
	})
}

// Discovery rejects this process's calls while another process's watch is held and renewed. The list is confirmed for
// both then; it expires once the other process's watch is lost, too.
func TestConfirmationOfAnotherProcessRenewsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newRecordFixture()
		close(fx.answers) // every call is answered 503
		fx.start()
		fx.Subscribe()
		var r ListRecord
		for range 20 {
			time.Sleep(time.Second)
			r = fx.record(List{Index: 7})
			fx.takeUpdates()
			fx.mustAdopt(t, r, noList)
		}
		want := r.ConfirmedAt + backoff.NotifiedAfter + drainGrace
		if expires := time.Duration(fx.expires.Load()); expires > want || expires < want-drainGrace {
			t.Errorf("the list expires %v after its last confirmation, want 6 s and most of the grace", expires-r.ConfirmedAt)
		}
		fx.close()
	})
}

// A reload names another service, which rejects this process's calls and has answered another process. The list of the
// new service takes the place of the old one's, and what the old service still tells other processes does not count.
func TestListOfNewServiceIsAdoptedAfterReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newRecordFixture()
		fx.startWatching()
		old := fx.record(changeTo(8, "in_service"))
		fx.serve("e", unavailableAfter(0))
		fx.SetAddress("e")
		time.Sleep(100 * time.Millisecond)
		fx.takeUpdates()
		r := fx.record(changeTo(3, "terminating"))
		r.Service, r.Base = "e", 2
		fx.mustAdopt(t, r, func() (string, List, bool) {
			list := changeTo(2, "in_service")
			list.Snapshot = true
			return "e", list, true
		}, listUpdate{scatter.FullUpdate, 1})
		fx.mustAdopt(t, old, noList)
		if fx.storedStatus() != "terminating" {
			t.Errorf("stored status %q, want terminating", fx.storedStatus())
		}
		fx.close()
	})
}

// The configuration of a new process names another service, which rejects its calls, while the old process is still told
// by the service that the list is from. The change binds the new process, too, but does not prolong its list.
func TestChangeOfInheritedServiceIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newRecordFixture()
		close(fx.answers)
		r := fx.record(List{Index: 3})
		r.Service, r.Base, r.Changes = "a", 3, nil
		fx.Inherit("a", List{Index: 3, Snapshot: true, Endpoints: readyList().Endpoints}, &r)
		fx.stored = fx.KeepCopy(func() {})
		fx.start()
		fx.Subscribe()
		time.Sleep(time.Second)
		fx.takeUpdates()
		before := fx.expires.Load()
		change := fx.record(changeTo(4, "terminating"))
		change.Service, change.Base = "a", 3
		fx.mustAdopt(t, change, noList, listUpdate{scatter.IncrementalUpdate, 1})
		if fx.storedStatus() != "terminating" || fx.expires.Load() != before {
			t.Errorf("stored status %q, the list expires %v later; want terminating, and no later", fx.storedStatus(),
				time.Duration(fx.expires.Load()-before))
		}
		time.Sleep(time.Second)
		if poll := fx.lastPoll(); poll != "/registry/instances" {
			t.Errorf("last call %s, want one for the complete list", poll)
		}
		fx.close()
	})
}

// A process starts long after the one that it inherits its list from has ended. It does not use the list, and asks
// discovery at once, as a process without a list does, although it is one of a fleet of 300.
func TestExpiredListIsNotUsedAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newRecordFixture()
		fx.Schedule.FleetSize = 300
		r := fx.record(List{Index: 7}).Shifted(-time.Hour)
		fx.Inherit("d", readyList(), &r)
		fx.start()
		fx.Subscribe()
		synctest.Wait()
		if expires := time.Duration(fx.expires.Load()); expires > fx.Clock() {
			t.Errorf("the list expires in %v, want an expired list", expires-fx.Clock())
		}
		if targets, _ := fx.polls.all(); len(targets) != 1 {
			t.Errorf("calls at the start: %v, want one", targets)
		}
		fx.answers <- `{"index":7,"endpoints":[]}`
		synctest.Wait()
		if expires := time.Duration(fx.expires.Load()); expires < fx.Clock()+backoff.NotifiedAfter {
			t.Errorf("the list expires in %v after discovery has confirmed it", expires-fx.Clock())
		}
		fx.close()
	})
}

// A process inherits a list that was last confirmed 5 s before its start. It uses the list for what is left of the
// lease, also if it can read the other process's record only after its start.
func TestInheritedLeaseIsContinued(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fx := newRecordFixture()
			close(fx.answers)
			r := fx.record(List{Index: 7}).Shifted(-5 * time.Second)
			if !late {
				fx.Inherit("d", readyList(), &r)
			}
			fx.start()
			fx.Subscribe()
			time.Sleep(100 * time.Millisecond)
			if late {
				fx.Adopt(context.Background(), r, noList)
			}
			synctest.Wait()
			if expires := time.Duration(fx.expires.Load()); expires > r.Lease.Expires || expires < r.Lease.Expires-time.Second {
				t.Errorf("read late: %v; the list expires %v after its last confirmation, want %v", late, expires-r.ConfirmedAt,
					r.Lease.Expires-r.ConfirmedAt)
			}
			fx.close()
		})
	}
}
