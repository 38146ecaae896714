package main

import (
	"bytes"
	"strings"
	"testing"
)

const settings = " balancers=1 caps.most_tries=3 classes.count=1 classes.0.name=c classes.0.objective_us=2000000 " +
	"classes.0.hard_limit_us=6000000 classes.0.repeat=free family_info.positions=1 family_info.reach=1 round_us=5000"

func list(root string) string {
	return "sheet table=0 members=1\nrow state=active position=0 leaf=a\nbackends_changed root_id=" + root +
		" table=0 scope=remembered\n"
}

func ask(root, q string) string {
	return "ask root_id=" + root + " tid=" + q + " band=c valid_until_us=7000000 group_no=1 segment_no=-1 heft=1\n" +
		"ask root_id=" + root + " tid=" + q + "p band=c valid_until_us=7000000 group_no=1 segment_no=0 heft=1\n"
}

func play(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestEmptyBatchAndCleanEnd(t *testing.T) {
	if got := play(t, "batch time_us=8412250\nflush\n"); got != "eor\n" {
		t.Errorf("got %q", got)
	}
}

// An instance that is killed and started again in one batch keeps nothing of what it held.
func TestKilledAndStartedInOneBatch(t *testing.T) {
	got := play(t, "batch time_us=1000000\nprovision root_id=r random_seed=1"+settings+"\n"+list("r")+ask("r", "old")+
		"stop root_id=r\nprovision root_id=r random_seed=2"+settings+"\n"+list("r")+ask("r", "new")+"flush\n")
	if strings.Contains(got, "tid=oldp") || !strings.Contains(got, "transmit root_id=r tid=newp") {
		t.Errorf("got %q", got)
	}
}

// Instances interleaved in one process act as each does alone.
func TestInstancesShareNothing(t *testing.T) {
	alone := func(root string) string {
		return play(t, "batch time_us=1000000\nprovision root_id="+root+" random_seed=1"+settings+"\n"+list(root)+
			ask(root, "q")+"flush\nbatch time_us=1500000\nended root_id="+root+
			" tid=qp hop=0 leaf=a verdict=1 time_taken_us=500000\nflush\n")
	}
	both := play(t, "batch time_us=1000000\nprovision root_id=r random_seed=1"+settings+"\n"+
		"provision root_id=s random_seed=1"+settings+"\n"+list("s")+list("r")+ask("r", "q")+ask("s", "q")+
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
			t.Errorf("%s together %q, alone %q", root, got, want)
		}
	}
}

func TestImpossibleSettingsEndTheRun(t *testing.T) {
	err := run(strings.NewReader("batch time_us=1\nprovision root_id=r random_seed=1"+
		strings.Replace(settings, "reach=1", "reach=9", 1)+"\nflush\n"), &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "line 2") || !strings.Contains(err.Error(), "ReplicationFactor") {
		t.Errorf("error %v names neither line nor field", err)
	}
}
