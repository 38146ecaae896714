package main

import (
	"bytes"
	"strings"
	"testing"
)

const settings = " balancers=1 caps.most_tries=3 classes.count=1 classes.0.name=c classes.0.objective_us=2000000 " +
	"classes.0.hard_limit_us=6000000 classes.0.repeat=free family_info.positions=1 family_info.reach=1 round_us=5000"

// endpoints returns an endpoint update with one replica for an instance.
func endpoints(root string) string {
	return "sheet table=0 members=1\nrow state=active position=0 leaf=a\nbackends_changed root_id=" + root +
		" table=0 scope=remembered\n"
}

// query returns the events of a query with one part for an instance.
func query(root, q string) string {
	return "ask root_id=" + root + " tid=" + q + " band=c valid_until_us=7000000 group_no=1 segment_no=-1 heft=1\n" +
		"ask root_id=" + root + " tid=" + q + "p band=c valid_until_us=7000000 group_no=1 segment_no=0 heft=1\n"
}

// reply runs the adapter on an input and returns its replies.
func reply(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestEmptyBatchAndCleanEnd(t *testing.T) {
	if got := reply(t, "batch time_us=8412250\nflush\n"); got != "eor\n" {
		t.Errorf("reply to an empty batch: %q", got)
	}
}

// An instance that is stopped and started again within one batch loses its earlier state and events.
func TestKilledAndStartedInOneBatch(t *testing.T) {
	got := reply(t, "batch time_us=1000000\nprovision root_id=r random_seed=1"+settings+"\n"+
		endpoints("r")+query("r", "old")+
		"stop root_id=r\nprovision root_id=r random_seed=2"+settings+"\n"+endpoints("r")+query("r", "new")+"flush\n")
	if strings.Contains(got, "tid=oldp") || !strings.Contains(got, "transmit root_id=r tid=newp") {
		t.Errorf("replies %q, want a part of the new query only", got)
	}
}

// Instances that are interleaved in one process give the same replies as each does alone.
func TestInstancesShareNothing(t *testing.T) {
	alone := func(root string) string {
		return reply(t, "batch time_us=1000000\nprovision root_id="+root+" random_seed=1"+settings+"\n"+
			endpoints(root)+query(root, "q")+"flush\nbatch time_us=1500000\nended root_id="+root+
			" tid=qp hop=0 leaf=a verdict=1 time_taken_us=500000\nflush\n")
	}
	both := reply(t, "batch time_us=1000000\nprovision root_id=r random_seed=1"+settings+"\n"+
		"provision root_id=s random_seed=1"+settings+"\n"+endpoints("s")+endpoints("r")+query("r", "q")+query("s", "q")+
		"flush\nbatch time_us=1500000\nended root_id=r tid=qp hop=0 leaf=a verdict=1 time_taken_us=500000\n"+
		"ended root_id=s tid=qp hop=0 leaf=a verdict=1 time_taken_us=500000\nflush\n")
	pick := func(text, root string) (kept string) {
		for line := range strings.Lines(text) {
			if strings.Contains(line, "root_id="+root+" ") || strings.HasSuffix(line, "root_id="+root+"\n") {
				kept += line
			}
		}
		return kept
	}
	for _, root := range []string{"r", "s"} {
		if got, want := pick(both, root), pick(alone(root), root); got != want || want == "" {
			t.Errorf("instance %s: replies together %q, alone %q", root, got, want)
		}
	}
}

func TestImpossibleSettingsEndTheRun(t *testing.T) {
	err := run(strings.NewReader("batch time_us=1\nprovision root_id=r random_seed=1"+
		strings.Replace(settings, "reach=1", "reach=9", 1)+"\nflush\n"), &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "line 2") || !strings.Contains(err.Error(), "ReplicationFactor") {
		t.Errorf("error %v, want one that names line 2 and ReplicationFactor", err)
	}
}
