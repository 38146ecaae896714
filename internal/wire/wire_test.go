package wire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

const provision = "provision root_id=root-3 random_seed=5138197539985895 balancers=3 caps.cancel=true " +
	"caps.connect_timeout_us=250000 caps.most_tries=3 caps.peers=true caps.retry_after=true caps.second_copies=true " +
	"caps.max_retry_after_us=500000 classes.count=2 classes.0.name=search classes.0.objective_us=2000000 " +
	"classes.0.hard_limit_us=6000000 classes.0.repeat=free classes.0.late_worth=0.1 classes.1.name=mark " +
	"classes.1.objective_us=1000000 classes.1.hard_limit_us=3000000 classes.1.repeat=guarded " +
	"classes.1.dedup_window_us=4000000 customers.count=1 customers.0.name=t customers.0.quota_per_s=16.0 " +
	"discovery=ask family_info.batch=8 family_info.call_cost_us=76000 family_info.floor_by_class=1.0,0.5 " +
	"family_info.need_by_class=1.0,0.67 family_info.positions=12 family_info.reach=4 round_us=5000 " +
	"rules.fall_multiple=4.0 rules.fall_us=1000000 rules.start_capacity=0.15 rules.warm_within_us=16000000 " +
	"rules.extra_ratio=0.1 rules.extra_window_us=9000000 rules.budget_free=2 some.new_key=7"

func decode(t *testing.T, lines ...string) ([]Batch, error) {
	t.Helper()
	d := NewDecoder(strings.NewReader(strings.Join(lines, "\n") + "\n"))
	var all []Batch
	for {
		b, err := d.Next()
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, b)
	}
}

func TestDecodeEvents(t *testing.T) {
	all, err := decode(t, "batch time_us=8412250",
		"sheet table=0 members=2",
		"row state=active position=0 size=1 leaf=leaf_a dc=n type=k",
		"row state=leaving position=3 size=1.5 leaf=leaf_b online_since_us=6100000 dc=c extra=1",
		"backends_changed root_id=r revision=41 table=0 scope=remembered",
		"backends_changed root_id=r scope=refused",
		"ask root_id=r tid=q band=search client_group=t valid_until_us=8652250 group_no=214 segment_no=-1 heft=2 options=2",
		"ask root_id=r tid=p band=search valid_until_us=8652250 group_no=214 segment_no=5 heft=0.125",
		"ended root_id=r tid=p hop=1 leaf=leaf_a verdict=1 time_taken_us=18500 last=1 health_info=latency_ms:14.5,new:1",
		"probe_done root_id=r time_taken_us=1400 verdict=4 leaf=leaf_a",
		"mail root_id=r src_peer=2 data=6c6561665f61", "mail root_id=r src_peer=2 data=-",
		"gone root_id=r tid=q", "deadline_hit root_id=r name=77", "newly_invented root_id=r x=1",
		"stop root_id=r", "flush")
	if err != nil || len(all) != 1 {
		t.Fatalf("decoded %d batches, error %v; want 1 batch and no error", len(all), err)
	}
	want := []scatter.Event{
		scatter.EndpointUpdate{Kind: scatter.CachedUpdate, Replicas: []scatter.Replica{
			{ID: "leaf_a", Zone: "n"},
			{ID: "leaf_b", RingPosition: 3, Zone: "c", State: scatter.Draining, StartedAt: 6100 * time.Millisecond}}},
		scatter.EndpointUpdate{Kind: scatter.FailedUpdate},
		scatter.QueryArrived{ID: "q", Number: 214, Class: "search", Tenant: "t", Parts: 2,
			Expires: 8652250 * time.Microsecond, IsRetry: true},
		scatter.PartArrived{ID: "p", Number: 214, Shard: 5, Weight: 0.125},
		scatter.AttemptEnded{Part: "p", Attempt: 1, Replica: "leaf_a", Outcome: scatter.Succeeded,
			Latency: 18500 * time.Microsecond},
		scatter.QueryCancelled{ID: "q"}, scatter.TimerFired{},
	}
	var got []scatter.Event
	for _, m := range all[0].Messages {
		if m.Event != nil {
			got = append(got, m.Event)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if last := all[0].Messages[len(all[0].Messages)-1]; !last.Stop {
		t.Errorf("last message is %+v, want a stop", last)
	}
}

func TestDecodeSettings(t *testing.T) {
	all, err := decode(t, "batch time_us=1", provision, "flush")
	if err != nil {
		t.Fatal(err)
	}
	s := all[0].Messages[0].Start
	if s.Seed != 5138197539985895 {
		t.Errorf("seed is %d, want 5138197539985895", s.Seed)
	}
	want := scatter.Settings{Coordinators: 3, RingSize: 12, ReplicationFactor: 4, PartsPerCall: 8,
		TickInterval: 5 * time.Millisecond, MaxAttempts: 3, Hedging: true, Cancellation: true,
		RetryAfter: 500 * time.Millisecond, OverQuotaWeight: 1,
		Subscribe: true, Tenants: []scatter.Tenant{{Name: "t", Quota: 16}},
		Classes: []scatter.Class{
			{Name: "search", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1, LateWeight: 0.1,
				CompleteFraction: 1, MinFraction: 1},
			{Name: "mark", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1,
				Idempotency: scatter.Keyed, DedupWindow: 4 * time.Second, CompleteFraction: 0.67, MinFraction: 0.5}},
		SlowStart: scatter.SlowStart{
			InitialCapacity: 0.15, Duration: 16 * time.Second, OverloadFactor: 4, Window: time.Second},
		RetryBudget: &scatter.RetryBudget{MinRetries: 2, Ratio: 0.1, Window: 9 * time.Second}}
	if !reflect.DeepEqual(s.Settings, want) {
		t.Errorf("got  %+v\nwant %+v", s.Settings, want)
	}
	if _, err := scatter.New(s.Seed, s.Settings); err != nil {
		t.Error(err)
	}
}

func TestMalformedInputNamesLineAndField(t *testing.T) {
	in := func(lines ...string) []string { return append([]string{"batch time_us=1"}, lines...) }
	for _, tc := range []struct {
		lines []string
		want  string // part of the error text
	}{
		{[]string{"hello there=1"}, "line 1"},
		{[]string{"batch"}, "line 1: batch: field time_us is missing"},
		{[]string{"batch time_us=soon"}, "line 1: batch: field time_us is no whole number"},
		{in("gone root_id=r"), "line 2: gone: field tid is missing"},
		{in("gone tid=q"), "line 2: gone: field root_id is missing"},
		{in("gone root_id"), "line 2: field \"root_id\""},
		{in("=x"), "line 2: no message name"},
		{in("", "flush"), "line 2: no message name"},
		{in("batch time_us=2"), "line 2: unexpected batch"},
		{in("row leaf=a"), "line 2: unexpected row"},
		{in("sheet table=0 members=-1"), "line 2: sheet: field members is negative"},
		{in("sheet table=0 members=1", "flush"), "line 3: got \"flush\", want row 1 of 1"},
		{in("sheet table=0 members=1", "row leaf=a state=asleep"), "line 3: row: field state is unknown"},
		{in("sheet table=0 members=1", "row leaf=a state=active position=x"), "line 3: row: field position"},
		{in("backends_changed root_id=r table=4 scope=all"), "line 2: backends_changed: field table names no sheet"},
		{in("backends_changed root_id=r table=4 scope=some"), "line 2: backends_changed: field scope is unknown"},
		{in("ended root_id=r tid=p hop=0 leaf=a verdict=9 time_taken_us=1"), "line 2: ended: field verdict is unknown"},
		{in("ended root_id=r tid=p hop=0 leaf=a verdict=1 time_taken_us=1.5"), "field time_taken_us"},
		{in("ask root_id=r tid=p group_no=1 segment_no=0 heft=NaN"), "line 2: ask: field heft is no number"},
		{in(strings.Replace(provision, "=free", "=maybe", 1)), "field classes.0.repeat is unknown"},
		{in(strings.Replace(provision, "caps.cancel=true", "caps.cancel=perhaps", 1)), "field caps.cancel"},
		{in(strings.Replace(provision, "need_by_class=1.0,", "need_by_class=a,", 1)), "field family_info.need_by_class"},
		{in("gone root_id=r tid=q"), "line 2: input ends inside a batch"},
	} {
		_, err := decode(t, tc.lines...)
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q: error %v, want %q in it", tc.lines, err, tc.want)
		}
	}
	_, err := NewDecoder(strings.NewReader("batch time_us=1\nflus")).Next()
	if !errors.Is(err, ErrTruncated) {
		t.Errorf("input that ends inside a line: error %v, want ErrTruncated", err)
	}
}

func TestEncodeActions(t *testing.T) {
	var buf bytes.Buffer
	e := NewEncoder(&buf)
	e.Actions("r", []scatter.Action{
		scatter.Send{Part: "p", Replica: "a", Timeout: 80 * time.Millisecond},
		scatter.CancelAttempt{Part: "p", Attempt: 2}, scatter.Answer{Query: "q", Complete: true},
		scatter.Answer{Query: "q"}, scatter.Reject{Query: "q", RetryAfter: 250 * time.Millisecond},
		scatter.Fail{Query: "q"}, scatter.CloseIdleConnections{Replica: "a"},
		scatter.Subscribe{}, scatter.SetTimer{After: 5 * time.Millisecond}})
	e.Exception("r", "index out\nof range")
	if err := e.End(); err != nil {
		t.Fatal(err)
	}
	want := `transmit root_id=r tid=p max_wait_us=80000 leaf=a
call_off root_id=r tid=p hop=2
settle_query root_id=r tid=q entire=1
settle_query root_id=r tid=q entire=0
deny root_id=r tid=q retry_in_us=250000
surrender root_id=r tid=q
disconnect root_id=r leaf=a
observe root_id=r entire=1
sleep root_id=r in_us=5000 name=0
exception root_id=r text=index out of range
eor
`
	if buf.String() != want {
		t.Errorf("got\n%s\nwant\n%s", buf.String(), want)
	}
}

// FuzzDecode checks that the decoder ends with io.EOF or another error on every input, without a panic or a hang.
func FuzzDecode(f *testing.F) {
	f.Add("batch time_us=1\n" + provision + "\nflush\n")
	f.Add("batch time_us=1\nsheet table=0 members=1\nrow leaf=a state=active\nflush\n")
	f.Add("batch time_us=1\nended root_id=r tid=p hop=0 leaf=a verdict=1 time_taken_us=1\nflush\n")
	f.Fuzz(func(t *testing.T, in string) {
		d := NewDecoder(strings.NewReader(in))
		for {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
