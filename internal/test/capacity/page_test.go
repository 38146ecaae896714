package capacity

import (
	"os"
	"strings"
	"testing"
)

const (
	pageFile  = "../../../docs/CAPACITY.md"
	runFolder = "../../../docs/capacity"
)

// The page's tables are those that its runs give: whoever changes one of them by hand, or a run, has to make the page anew.
func TestPageIsMadeFromItsRuns(t *testing.T) {
	results, err := LoadResults(runFolder)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	text, err := Rewrite(string(page), results.Regions())
	if err != nil {
		t.Fatal(err)
	}
	if text != string(page) {
		t.Error("the page differs from its runs: bin/lab capacity-page makes it anew")
	}
	if begun, known := strings.Count(text, "<!-- generated: "), len(results.Regions()); begun != known {
		t.Errorf("%d regions on the page, %d are made", begun, known)
	}
}

// A run that misses nothing it states is the only one that the page may hold as held.
func TestRunsHoldWhatTheyState(t *testing.T) {
	results, err := LoadResults(runFolder)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Run{results.Baseline, results.Current} {
		if r != nil && len(r.Missed()) > 0 {
			t.Errorf("commit %s: %v", r.Commit, r.Missed())
		}
	}
}

// Rows over their bound stand by their ratio, and what nothing bounds comes first.
func TestOverIsSortedByRatio(t *testing.T) {
	results, err := LoadResults(runFolder)
	if err != nil {
		t.Fatal(err)
	}
	over := Over(Rows(Asked, results.Baseline, nil, false))
	for i, r := range over {
		if r.Ratio() <= 1 || i > 0 && r.Ratio() > over[i-1].Ratio() {
			t.Errorf("row %d, %s, has ratio %g", i, r.Key, r.Ratio())
		}
	}
}

// A page without a region, or with one twice, is not taken for one that was rewritten.
func TestRewriteWantsEachRegionOnce(t *testing.T) {
	const region = "<!-- generated: a -->\nold\n<!-- end of generated -->\n"
	made := map[string]string{"a": "new\n"}
	text, err := Rewrite("head\n"+region+"tail\n", made)
	if want := "head\n<!-- generated: a -->\n\nnew\n\n<!-- end of generated -->\ntail\n"; err != nil || text != want {
		t.Errorf("%v: %q", err, text)
	}
	for _, page := range []string{"", region + region, strings.Replace(region, "end", "and", 1)} {
		if _, err := Rewrite(page, made); err == nil {
			t.Errorf("%q was rewritten", page)
		}
	}
}
