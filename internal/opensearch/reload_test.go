package opensearch_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"
)

// settingsWithDeadline is settings with another deadline for route-lookup, a class of searches.
func settingsWithDeadline(deadline time.Duration) scatter.Settings {
	s := settings()
	s.Classes[0].Deadline = deadline
	return s
}

// Reloads change the settings while requests are served. The race detector has to be on to find the fault: a reload
// wrote names and deadlines into the configuration that the requests read.
func TestReloadsWhileRequestsAreServed(t *testing.T) {
	withAPIFront(t, nil, func(fx *frontFixture) {
		front := &opensearch.Front{Config: fx.config, Coordinator: fx.coordinator, Clock: core.SystemClock()}
		var reloads sync.WaitGroup
		reloads.Go(func() {
			for i := range 200 {
				next, err := fx.config.CheckedCopy(settingsWithDeadline(time.Duration(1+i)*time.Second), shards)
				if err != nil {
					t.Error(err)
					return
				}
				front.Reconfigure(next)
			}
		})
		for range 200 {
			front.Handle(request("GET", "/trails/_search?size=0", `{"query":{"match_none":{}}}`), nil)
		}
		reloads.Wait()
		synctest.Wait()
	})
}

// A reload is refused because the front does not fit the new settings. It must change nothing: neither the deadlines of
// indices that do fit, nor the number of shards.
func TestRefusedReloadChangesNothing(t *testing.T) {
	withAPIFront(t, served, func(fx *frontFixture) {
		refused := settingsWithDeadline(time.Millisecond)
		refused.Classes = refused.Classes[:1] // without the class of hazards
		if _, err := fx.config.CheckedCopy(refused, 3); err == nil {
			t.Fatal("CheckedCopy accepts settings that lack a class of the file")
		}
		if status, _, data := fx.do("GET", "/trails/_search?preference=_shards:9", "", nil); status != 200 {
			t.Errorf("search of shard 9: status %d, answer %s; want status 200", status, data)
		}
	})
}

// The file gives an index no shard range, and a reload increases the number of shards: the index gets the new shards
// too.
func TestIndexWithoutRangeWidensWithSettings(t *testing.T) {
	c := checkedConfig(t, settings(), "", map[string]*opensearch.Index{
		"trails": {Class: "route-lookup"}, "summit": {Class: "route-lookup", ShardRange: []int{2, 3}}})
	next, err := c.CheckedCopy(settings(), shards+5)
	if err != nil {
		t.Fatal(err)
	}
	if r := next.Indices["trails"].ShardRange; r[0] != 0 || r[1] != shards+4 {
		t.Errorf("index without a range has shards %v, want all new ones too", r)
	}
	if r := next.Indices["summit"].ShardRange; r[0] != 2 || r[1] != 3 {
		t.Errorf("index with a range has shards %v, want 2 and 3", r)
	}
	if r := c.Indices["trails"].ShardRange; r[1] != shards-1 {
		t.Errorf("configuration in force has shards %v, want the old range", r)
	}
}
