package maintenance

import (
	"maps"
	"testing"
	"time"

	"harepass/internal/decide/scatter"

	"pgregory.net/rapid"
)

// call is the last call for a replica, by the model.
type call struct {
	out          bool
	at, outSince time.Duration
}

// checkEffective checks what the scatter machine hears of a replica after its last call, for a replica that discovery
// has listed.
func (c call) checkEffective(t *rapid.T, listed, heard scatter.Replica) {
	restartedWhileOut := listed.StartedAt > c.outSince
	switch {
	case listed.ID == "":
		return
	case c.out && heard.State == scatter.Ready:
		t.Fatalf("%s is out and appears as ready", listed.ID)
	case c.out && heard.StartedAt != listed.StartedAt:
		t.Fatalf("%s is out, listed %v, appears with another start as %v", listed.ID, listed, heard)
	case !c.out && heard.State != listed.State:
		t.Fatalf("%s is back, listed %v, appears in another state as %v", listed.ID, listed, heard)
	case !c.out && restartedWhileOut && heard.StartedAt != listed.StartedAt:
		t.Fatalf("%s was restarted at %v while out and appears to run since %v",
			listed.ID, listed.StartedAt, heard.StartedAt)
	case !c.out && !restartedWhileOut && heard.StartedAt != c.at:
		t.Fatalf("%s came back at %v and appears to run since %v", listed.ID, c.at, heard.StartedAt)
	}
}

// Two processes of a coordinator take operators' calls. Discovery lists what it likes meanwhile, and registers travel
// late, twice and in any order. A model keeps the last call for each replica, by the time of the call: both processes
// have to arrive at it, and the scatter machine has to hear it.
func TestRegistersAgreeInAnyOrderOfMerging(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SampledFrom([]string{"a", "b", "c"})
		registers := []Register{{}, {}}
		var sent []Register // copies that have not arrived
		last := map[string]call{}
		now := time.Hour
		listed := map[string]scatter.Replica{}
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				now += time.Second
				id, out := ids.Draw(t, "id"), rapid.Bool().Draw(t, "out")
				process := rapid.IntRange(0, 1).Draw(t, "process")
				registers[process].Merge(registers[1-process]) // as operator.Store does before each call
				was := registers[process][id].Out
				if changed := registers[process].Apply(id, Entry{Out: out, At: now}); changed != (was != out) {
					t.Fatalf("%s out=%t after out=%t: changed=%t", id, out, was, changed)
				} else if changed {
					last[id] = call{out, now, last[id].at}
				}
			},
			"send": func(t *rapid.T) {
				sent = append(sent, maps.Clone(registers[rapid.IntRange(0, 1).Draw(t, "process")]))
			},
			"arrive": func(t *rapid.T) {
				if len(sent) > 0 {
					process := rapid.IntRange(0, 1).Draw(t, "process")
					registers[process].Merge(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "copy")])
				}
			},
			"list": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				listed[id] = scatter.Replica{
					ID:        id,
					State:     scatter.ReplicaState(rapid.IntRange(0, 2).Draw(t, "state")),
					StartedAt: time.Duration(rapid.IntRange(0, 5000).Draw(t, "started_at")) * time.Second,
				}
			},
			"": func(t *rapid.T) {
				all := maps.Clone(registers[0])
				all.Merge(registers[1])
				other := maps.Clone(registers[1])
				other.Merge(registers[0])
				if !maps.Equal(all, other) {
					t.Fatalf("the order of merging changes the result: %v and %v", all, other)
				}
				if all.Merge(other) {
					t.Fatal("merged twice, a register changes")
				}
				for id, c := range last {
					if all[id].Out != c.out {
						t.Fatalf("%s: out=%t, the last call that changed anything said %t", id, all[id].Out, c.out)
					}
					c.checkEffective(t, listed[id], all.Effective(listed[id]))
				}
			},
		})
	})
}

// A replica is taken out at one process and called back at another, whose clock lags behind by a second. The call
// back came later and has to count, here and where the register is merged.
func TestCallBackCountsThoughItsClockLags(t *testing.T) {
	r := Register{}
	r.Apply("a", Entry{Out: true, At: 10 * time.Second})
	r.Apply("a", Entry{Out: false, At: 9 * time.Second})
	other := Register{"a": {Out: true, At: 10 * time.Second}}
	if other.Merge(r); other["a"].Out || len(other.Out()) != 0 {
		t.Errorf("still out: %v", other)
	}
}

// Replicas called back long ago are forgotten; those that are out never are.
func TestPruneKeepsReplicasThatAreOut(t *testing.T) {
	r := Register{"back": {At: 4 * time.Second}, "out": {Out: true, At: time.Second}}
	if r.Prune(time.Minute, nil); len(r) != 1 || len(r.Out()) != 1 {
		t.Errorf("left %v", r)
	}
}
